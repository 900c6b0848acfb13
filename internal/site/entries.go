package site

import (
	"cmp"
	"context"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/agent"
	"github.com/mangoslip/mangoslip/internal/entry"
	"github.com/mangoslip/mangoslip/internal/fleet"
	"github.com/mangoslip/mangoslip/internal/store"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Entry is a running entry together with its clients and the means to stop it.
type Entry struct {
	*entry.Entry
	// clients are closed after the entry has stopped.
	clients []interface{ Close() }
	stop    context.CancelFunc
	result  chan error
}

// kill stops the entry without a graceful shutdown.
func (e *Entry) kill() {
	e.Kill()
	e.stop()
}

// wait waits until the entry has stopped, closes the idle connections of its
// clients and returns its error.
func (e *Entry) wait() error {
	err := <-e.result
	for _, c := range e.clients {
		c.Close()
	}
	return err
}

// startEntry starts an entry and registers it in the instance list.
func (s *Site) startEntry(name string, dc sched.DataCentre) error {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	kv, list := store.New(s.addrs.store), fleet.New(s.addrs.list)
	workers, targets := agent.NewControlClient(), agent.NewTargetClient()
	e, err := entry.New(entry.Settings{
		Name: sched.EntryName(name), DataCentre: dc,
		FrontAddr: loopback, PeerAddr: loopback, AdminAddr: loopback, Token: s.token,
		DrainWait: s.drainWait, DrainTimeout: entry.DefaultDrainTimeout,
	}, entry.Platform{
		Store: kv, OwnershipStore: kv.Reserved(), List: list,
		Workers: workers, Targets: targets,
	}, entry.WithLogger(s.log.With("entry", name)))
	if err != nil {
		return err
	}
	s.List.Register(e.Instance())
	ctx, stop := context.WithCancel(context.Background())
	r := &Entry{
		Entry: e, clients: []interface{ Close() }{kv, list, workers, targets},
		stop: stop, result: make(chan error, 1),
	}
	s.mu.Lock()
	s.entries[name], s.entryDataCentres[name] = r, dc
	s.mu.Unlock()
	go func() { r.result <- e.Run(ctx) }()
	return nil
}

// remove deletes an entry from the running entries and returns it, or nil if it
// is not running.
func (s *Site) remove(name string) *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	delete(s.entries, name)
	return e
}

// Crash kills an entry without marking it as leaving first, and drops it from
// the instance list.
func (s *Site) Crash(name string) {
	e := s.remove(name)
	if e == nil {
		return
	}
	e.kill()
	s.List.Drop(name)
	go func() { _ = e.wait() }()
}

// Stop marks an entry as leaving in the instance list, shuts it down gracefully
// and returns the error of the shutdown.
func (s *Site) Stop(name string) error {
	s.List.Leave(name)
	s.mu.Lock()
	e := s.entries[name]
	s.mu.Unlock()
	if e == nil {
		return eris.Errorf("entry %s is not running", name)
	}
	e.stop()
	err := e.wait()
	s.remove(name)
	s.List.Drop(name)
	return err
}

// Restart starts an entry again that crashed or was stopped.
func (s *Site) Restart(name string) error {
	s.mu.Lock()
	dc, ok := s.entryDataCentres[name]
	s.mu.Unlock()
	if !ok {
		return eris.Errorf("entry %s never ran", name)
	}
	return s.startEntry(name, dc)
}

// Entries returns the running entries, sorted by name.
func (s *Site) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Live returns the running entries that are ready, sorted by name. These are
// the ones that a load balancer would send requests to.
func (s *Site) Live() []*Entry {
	return slices.DeleteFunc(s.Entries(), func(e *Entry) bool { return !e.Ready() })
}

// Apply makes a services text the current configuration and returns its
// revision.
func (s *Site) Apply(ctx context.Context, t string) (sched.Revision, error) {
	entries := s.Entries()
	if len(entries) == 0 {
		return 0, eris.New("no entry runs")
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	// An entry that has just restarted may not know the current revision yet.
	e := slices.MaxFunc(entries, func(a, b *Entry) int { return cmp.Compare(a.Revision(), b.Revision()) })
	return e.Edit(ctx, t, s.author, e.Revision())
}
