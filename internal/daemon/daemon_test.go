package daemon

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/leader"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// newEntry returns an entry that is not running. It appends the configurations
// that it applies to applied.
func newEntry(applied *[]string) *Entry {
	return New(Settings{Name: "e"}, Platform{
		Store: memory.New().Client(), ConfigKey: "op",
		Apply: func(value []byte) (*sched.FleetConfig, error) {
			if string(value) == "bad" {
				return nil, errors.New("not a configuration")
			}
			*applied = append(*applied, string(value))
			return &sched.FleetConfig{Revision: uint64(len(*applied))}, nil
		},
		Leader: leader.Settings{MembersPrefix: "m/"},
	})
}

// item returns the stored item of a configuration.
func item(version sched.Version, value string) sched.Item {
	return sched.Item{Key: "op", Version: version, Value: []byte(value)}
}

// Guards against a configuration that is replaced by an older one because the read
// or the watch delivers the older one late.
func TestConfigurationNeverReverts(t *testing.T) {
	var applied []string
	e := newEntry(&applied)
	e.applyConfig(item(5, "five"), "watch")
	e.applyConfig(item(4, "four"), "read")
	e.applyConfig(item(5, "five"), "read")
	e.applyConfig(item(9, "bad"), "watch")
	e.applyConfig(item(7, "seven"), "read")
	require.Equal(t, []string{"five"}, applied, "version 9 was accepted by the store, so 7 is older")
	e.applyConfig(item(11, "eleven"), "watch")
	require.Equal(t, []string{"five", "eleven"}, applied)
}

// ready returns the HTTP status of the load balancer's readiness check.
func ready(e *Entry) int {
	w := httptest.NewRecorder()
	e.serveReady(w, httptest.NewRequest(http.MethodGet, "/", nil))
	return w.Code
}

// Guards against an entry that reports itself as ready although it would refuse
// every caller: without a configuration, without the store and other entries, or
// during a graceful shutdown.
func TestReady(t *testing.T) {
	var applied []string
	e := newEntry(&applied)
	require.Equal(t, http.StatusServiceUnavailable, ready(e), "no configuration yet")
	e.applyConfig(item(1, "one"), "read")
	require.Equal(t, http.StatusOK, ready(e))
	lost := errors.New("reset")
	e.jobs.Health().Record(lost)
	e.jobs.Health().Record(lost)
	require.Equal(t, http.StatusServiceUnavailable, ready(e), "neither store nor peers")
	e.peers.recordResult("other", nil, time.Now())
	require.Equal(t, http.StatusOK, ready(e), "another entry answers")
	e.stopping.Store(true)
	require.Equal(t, http.StatusServiceUnavailable, ready(e), "graceful shutdown")
}

// entryOf returns a registered entry on the loopback address.
func entryOf(name string, port uint16, processors float64) layout.Entry {
	return layout.Entry{
		Name: sched.EntryName(name), Processors: processors,
		Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
	}
}

// Guards against orders that are dispatched through entries that do not answer, and
// against the choice of entries with little processor time while ones with more
// are available.
func TestDispatchers(t *testing.T) {
	var p peers
	now := time.Now()
	p.update([]layout.Entry{entryOf("a", 1, 0.1), entryOf("b", 2, 0.8), entryOf("c", 3, 0.8), entryOf("me", 4, 0.8)}, now)
	addrs := func(at time.Time) []uint16 {
		var out []uint16
		for _, a := range p.dispatchers("me", 2, at) {
			out = append(out, a.Port())
		}
		return out
	}
	require.Equal(t, []uint16{2, 3}, addrs(now))
	p.recordResult("b", errors.New("reset"), now)
	require.Equal(t, []uint16{3, 1}, addrs(now))
	require.Equal(t, []uint16{2, 3}, addrs(now.Add(dispatcherBackoff+time.Second)))
	require.Empty(t, addrs(now.Add(dispatcherMaxAge+time.Second)), "not listed recently")
}

// Guards against a leader that sends more orders itself than its processor time
// allows: 48 workers are too many for 0.16 cores and few for a whole core.
func TestNeedsDispatchers(t *testing.T) {
	entry := func(cores float64) *Entry {
		e := newEntry(nil)
		e.DispatchFrom, e.Leader.Processors = 250, cores
		return e
	}
	require.True(t, entry(0.16).needsDispatchers(48))
	require.False(t, entry(0.4).needsDispatchers(66))
	require.False(t, entry(1).needsDispatchers(48))
	require.False(t, entry(0).needsDispatchers(48), "an unknown share counts as one core")
	require.True(t, entry(0.8).needsDispatchers(350))
}
