package daemon

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// entryTTL is the time to live of an entry's key. The list of entries is only a
	// hint for whom to ask; correctness does not depend on it.
	entryTTL = 10 * time.Second
	// entryRenewInterval is the interval at which the lease of an entry's key is
	// renewed and the keys of the other entries are read.
	entryRenewInterval = 2500 * time.Millisecond
	// answerMaxAge is how long after an answer other entries count as reachable.
	answerMaxAge = 3 * time.Second
	// gaugeInterval is the interval at which gauges are published.
	gaugeInterval = time.Second
	// forgetAfter is how long an entry is kept after it was last listed.
	forgetAfter = 30 * time.Second
	// registerRetryPause is the pause after a registration that failed.
	registerRetryPause = 700 * time.Millisecond
	// dispatcherMaxAge is how recently an entry must have been listed to dispatch
	// orders, and dispatcherBackoff how long it gets none after a failed call.
	dispatcherMaxAge  = 8 * time.Second
	dispatcherBackoff = 3 * time.Second
)

// peers holds what an entry knows about the registered entries.
type peers struct {
	mu      sync.Mutex
	entries map[sched.EntryName]peerInfo
	// lastOK is the time of the last call that an entry answered.
	lastOK time.Time
}

// peerInfo is what is known about one entry.
type peerInfo struct {
	layout.Entry
	// seen is when the store last listed the entry.
	seen time.Time
	// failed is the time of the last call if it failed, and zero otherwise.
	failed time.Time
}

// update adds the entries that the store lists and drops those that it has not
// listed for a while.
func (p *peers) update(list []layout.Entry, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries == nil {
		p.entries = map[sched.EntryName]peerInfo{}
	}
	for _, e := range list {
		k := p.entries[e.Name]
		k.Entry, k.seen = e, now
		p.entries[e.Name] = k
	}
	for name, k := range p.entries {
		if now.Sub(k.seen) > forgetAfter {
			delete(p.entries, name)
		}
	}
}

// list returns all entries except one. Entries whose last call failed come at the
// end, the most recent failure last.
func (p *peers) list(except sched.EntryName) []layout.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []peerInfo
	for _, k := range p.entries {
		if k.Name != except {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b peerInfo) int {
		if c := a.failed.Compare(b.failed); c != 0 {
			return c
		}
		return b.seen.Compare(a.seen)
	})
	out := make([]layout.Entry, len(all))
	for i, k := range all {
		out[i] = k.Entry
	}
	return out
}

// dispatchers returns the addresses of the entries that may dispatch orders: the
// ones with the most processor time among those that were listed recently and did
// not fail recently. It leaves out one entry and returns at most limit addresses.
func (p *peers) dispatchers(except sched.EntryName, limit int, now time.Time) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []peerInfo
	for _, k := range p.entries {
		if k.Name != except && now.Sub(k.seen) < dispatcherMaxAge && now.Sub(k.failed) > dispatcherBackoff {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b peerInfo) int {
		return cmp.Or(cmp.Compare(b.Processors, a.Processors), cmp.Compare(a.Name, b.Name))
	})
	out := make([]netip.AddrPort, 0, limit)
	for _, k := range all[:min(limit, len(all))] {
		out = append(out, k.Addr)
	}
	return out
}

// recordResult records whether an entry answered a call.
func (p *peers) recordResult(name sched.EntryName, err error, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k, ok := p.entries[name]
	if err == nil {
		p.lastOK = now
		k.failed = time.Time{}
	} else {
		k.failed = now
	}
	if ok {
		p.entries[name] = k
	}
}

// answeredRecently reports whether another entry answered within answerMaxAge.
func (p *peers) answeredRecently() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastOK) < answerMaxAge
}

// asker is an Entry that implements jobs.Peers.
type asker Entry

// List implements jobs.Peers. The leader comes first.
func (a *asker) List() []layout.Entry {
	out := a.peers.list(a.Name)
	l := a.leader.Current()
	i := slices.IndexFunc(out, func(e layout.Entry) bool { return e.Name == l.Name })
	if i > 0 {
		e := out[i]
		out = slices.Insert(slices.Delete(out, i, i+1), 0, e)
	}
	return out
}

// Ask implements jobs.Peers. A call that the caller cancelled says nothing about
// the entry, so it does not count as failed.
func (a *asker) Ask(ctx context.Context, e layout.Entry, q relay.Question) (relay.Answer, error) {
	answer, err := a.client.Ask(ctx, e.Addr, q)
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		a.peers.recordResult(e.Name, err, time.Now())
	}
	return answer, err
}

// register keeps the entry's key alive and reads the keys of the other entries.
// While the store is unreachable it also probes the other entries.
func (e *Entry) register(ctx context.Context) {
	var lease sched.LeaseID
	for ctx.Err() == nil {
		lease = e.renewRegistration(ctx, lease)
		e.readEntries(ctx)
		if lease == 0 {
			pause(ctx, registerRetryPause)
		} else {
			pause(ctx, entryRenewInterval)
		}
		if e.jobs.Health().Unreachable() {
			e.probePeers(ctx)
		}
	}
}

// renewRegistration renews the lease of the entry's key, or writes the key under a
// new lease if there is none. It returns the lease, or 0 if the entry is not
// registered. The write is conditional on the key's version, so that one that takes
// effect late does not replace that of a later process with the same name.
func (e *Entry) renewRegistration(ctx context.Context, lease sched.LeaseID) sched.LeaseID {
	if lease != 0 {
		err := e.Store.Renew(ctx, lease)
		if !errors.Is(err, sched.ErrNoLease) {
			return lease
		}
		e.log.Info("entry's lease has ended")
	}
	lease, _, err := e.Store.Grant(ctx, entryTTL)
	if err != nil {
		return 0
	}
	key := layout.EntryPrefix + string(e.Name)
	current, err := e.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, sched.ErrNotFound) {
		return 0
	}
	value := layout.Encode(layout.Entry{Name: e.Name, Addr: e.Peer, Processors: e.Leader.Processors})
	version, err := e.Store.Commit(ctx, sched.Txn{
		Conditions: []sched.Condition{{Key: key, Version: current.Version}},
		Writes:     []sched.Write{{Key: key, Value: value, Lease: lease}},
	})
	if err != nil {
		e.log.Info("entry not registered", "error", err)
		return 0
	}
	e.registered.Store(uint64(version))
	e.log.Info("entry registered", "peer", e.Peer)
	return lease
}

// readEntries reads the keys of all entries. A stale read is sufficient.
func (e *Entry) readEntries(ctx context.Context) {
	items, _, err := e.Store.Range(ctx, layout.EntryPrefix, true)
	if err != nil {
		return
	}
	var list []layout.Entry
	for _, i := range items {
		x, err := layout.DecodeEntry(i.Key, i.Value)
		if err != nil {
			if e.damagedEntries.First(i.Key) {
				e.log.Warn("entry's key is damaged", "key", i.Key, "error", err)
			}
			continue
		}
		list = append(list, x)
	}
	e.peers.update(list, time.Now())
}

// probePeers asks the other entries who leads, until one answers. The answer also
// shows that requests can be passed on while the store is unreachable.
func (e *Entry) probePeers(ctx context.Context) {
	for _, p := range (*asker)(e).List() {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		a, err := (*asker)(e).Ask(ctx, p, relay.Question{Verb: relay.VerbLeader, Leader: e.leader.Current()})
		cancel()
		if err == nil {
			e.leader.ObserveLeader(a.Leader)
			return
		}
	}
}

// unregister removes the entry's key during a graceful shutdown, but not that of a
// later process with the same name.
func (e *Entry) unregister(ctx context.Context) {
	key := layout.EntryPrefix + string(e.Name)
	_, err := e.Store.Commit(ctx, sched.Txn{
		Conditions: []sched.Condition{{Key: key, Version: sched.Version(e.registered.Load())}},
		Removes:    []string{key},
	})
	if err != nil {
		e.log.Info("entry's key not removed", "error", err)
	}
}

// publishGauges publishes the totals of the leader's state machine as metrics.
func (e *Entry) publishGauges(ctx context.Context) {
	moved := 0
	for ctx.Err() == nil {
		pause(ctx, gaugeInterval)
		t, leads := e.leader.Totals()
		lead := int64(0)
		if leads {
			lead = 1
		}
		e.stats.Gauge("Leads", lead)
		e.stats.Gauge("JobsLive", int64(t.Live))
		e.stats.Gauge("Runs", int64(t.Runs))
		e.stats.Gauge("TasksQueued", int64(t.Queued))
		e.stats.Gauge("Workers", int64(t.Workers))
		e.stats.Gauge("RecordsWaiting", int64(t.Uncommitted))
		e.stats.Gauge("StartsUnanswered", int64(t.Unanswered))
		e.stats.Gauge("StartWindow", int64(t.StartWindow))
		e.stats.Gauge("EvacuatedDataCentres", int64(t.EvacuatedDataCentres))
		e.stats.Gauge("EvacuatedRuns", int64(t.EvacuatedRuns))
		e.stats.Gauge("SlowWorkers", int64(t.SlowWorkers))
		if t.RunsMovedSlow < moved {
			moved = 0 // A new term counts from 0.
		}
		e.stats.Count("RunsMoved.Slow", int64(t.RunsMovedSlow-moved))
		moved = t.RunsMovedSlow
		e.stats.Gauge("DelayedJobs", int64(t.DelayedJobs))
		e.stats.Gauge("ShortageCores", int64(t.ShortageCores))
		e.stats.Gauge("LateJobs", int64(t.Late))
		e.stats.Gauge("JobBytes", int64(t.Kept))
		e.stats.Gauge("JobBytesBound", int64(e.jobs.PublishQuota()))
		for _, g := range e.gates {
			g.Publish()
		}
	}
}
