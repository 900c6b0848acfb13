package entry

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Settings configures an entry. In the settings of an Entry, an address with port
// 0 is replaced by the one that was bound.
type Settings struct {
	Name       sched.EntryName
	DataCentre sched.DataCentre
	// FrontAddr, PeerAddr and AdminAddr are the addresses on which the entry
	// serves callers, other entries and operators.
	FrontAddr netip.AddrPort
	PeerAddr  netip.AddrPort
	AdminAddr netip.AddrPort
	// Token is the bearer token of operators and peers.
	Token string
	// StoreWrites is the number of store writes per second that the journals of
	// the entry's shards share. 0 means DefaultStoreWrites.
	StoreWrites float64
	// DrainWait is the time that a graceful shutdown gives the load balancer to
	// notice that the entry is no longer ready.
	DrainWait time.Duration
	// DrainTimeout bounds the time that a graceful shutdown waits for requests
	// in progress.
	DrainTimeout time.Duration
}

// DefaultStoreWrites is the default of Settings.StoreWrites: of 25 writes per
// second, 3 are reserved for the ownership table.
const DefaultStoreWrites = 22

// Defaults of Settings.DrainWait and Settings.DrainTimeout.
const (
	DefaultDrainWait    = 3 * time.Second
	DefaultDrainTimeout = 30 * time.Second
)

// check validates the settings and fills in defaults.
func (s *Settings) check() error {
	switch {
	case s.Name == "":
		return eris.New("entry name is not set")
	case s.DataCentre == "":
		return eris.New("data centre is not set")
	case s.Token == "":
		return eris.New("token is not set: peers and operators need one")
	case s.StoreWrites < 0:
		return eris.New("store writes must not be negative")
	case s.DrainWait < 0 || s.DrainTimeout < 0:
		return eris.New("drain times must not be negative")
	}
	if s.StoreWrites == 0 {
		s.StoreWrites = DefaultStoreWrites
	}
	for name, a := range map[string]netip.AddrPort{"front": s.FrontAddr, "peer": s.PeerAddr, "admin": s.AdminAddr} {
		if !a.IsValid() {
			return eris.Errorf("%s address is not set", name)
		}
	}
	return nil
}

// instance returns the record of this entry for the instance list.
func (e *Entry) instance() sched.Instance {
	return sched.Instance{
		Name: string(e.Name), Role: sched.RoleEntry, State: sched.StateLive,
		DataCentre: e.DataCentre, Data: e.FrontAddr, Control: e.PeerAddr,
	}
}

// Instance returns the record of this entry that the instance list should show.
func (e *Entry) Instance() sched.Instance { return e.instance() }
