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
	// entryTTL is the time to live of an entry's key. The list of entries is a
	// hint for whom to ask; nothing rests on it.
	entryTTL     = 10 * time.Second
	entryKeep    = 2500 * time.Millisecond
	answeredFor  = 3 * time.Second
	gaugeEvery   = time.Second
	forgetAfter  = 30 * time.Second
	registerWait = 700 * time.Millisecond
	// carrierSeen is how lately an entry must have been listed to carry orders,
	// and carrierRest how long one that failed does not.
	carrierSeen = 8 * time.Second
	carrierRest = 3 * time.Second
)

// peers is what an entry knows of the others.
type peers struct {
	mu      sync.Mutex
	entries map[sched.EntryName]known
	lastOK  time.Time
}

type known struct {
	layout.Entry
	seen   time.Time
	failed time.Time
}

// set takes in the entries that the store lists.
func (p *peers) set(list []layout.Entry, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries == nil {
		p.entries = map[sched.EntryName]known{}
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

// list returns the entries but one, those that failed last at the end.
func (p *peers) list(but sched.EntryName) []layout.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []known
	for _, k := range p.entries {
		if k.Name != but {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b known) int {
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

// carriers returns the addresses of the entries that may carry orders: those
// with the most processor time among the ones that answer.
func (p *peers) carriers(but sched.EntryName, most int, now time.Time) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []known
	for _, k := range p.entries {
		if k.Name != but && now.Sub(k.seen) < carrierSeen && now.Sub(k.failed) > carrierRest {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b known) int {
		return cmp.Or(cmp.Compare(b.Processors, a.Processors), cmp.Compare(a.Name, b.Name))
	})
	out := make([]netip.AddrPort, 0, most)
	for _, k := range all[:min(most, len(all))] {
		out = append(out, k.Addr)
	}
	return out
}

// note takes in the result of a call.
func (p *peers) note(name sched.EntryName, err error, now time.Time) {
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

// answered reports whether another entry answered lately.
func (p *peers) answered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastOK) < answeredFor
}

// asker implements jobs.Peers.
type asker Entry

// List implements jobs.Peers: the leader first.
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

// Ask implements jobs.Peers.
func (a *asker) Ask(ctx context.Context, e layout.Entry, q relay.Question) (relay.Answer, error) {
	answer, err := a.client.Ask(ctx, e.Addr, q)
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		a.peers.note(e.Name, err, time.Now())
	}
	return answer, err
}

// register keeps the entry's key alive and reads those of the others.
func (e *Entry) register(ctx context.Context) {
	var lease sched.LeaseID
	for ctx.Err() == nil {
		lease = e.keepEntry(ctx, lease)
		e.readEntries(ctx)
		if lease == 0 {
			pause(ctx, registerWait)
		} else {
			pause(ctx, entryKeep)
		}
		if e.jobs.Health().Lost() {
			e.probePeers(ctx)
		}
	}
}

// keepEntry renews the entry's lease, or writes the key under a new one.
func (e *Entry) keepEntry(ctx context.Context, lease sched.LeaseID) sched.LeaseID {
	if lease != 0 {
		err := e.Store.Keep(ctx, lease)
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
	value := layout.Encode(layout.Entry{Name: e.Name, Addr: e.Peer, Processors: e.Leader.Processors})
	if _, err = e.Store.Commit(ctx, sched.Txn{Writes: []sched.Write{{Key: key, Value: value, Lease: lease}}}); err != nil {
		e.log.Info("entry not registered", "error", err)
		return 0
	}
	e.log.Info("entry registered", "peer", e.Peer)
	return lease
}

// readEntries reads which entries there are. A stale list serves as well.
func (e *Entry) readEntries(ctx context.Context) {
	items, _, err := e.Store.Range(ctx, layout.EntryPrefix, true)
	if err != nil {
		return
	}
	var list []layout.Entry
	for _, i := range items {
		var x layout.Entry
		if err := layout.Decode(i.Value, &x); err != nil {
			e.log.Warn("entry's key is damaged", "key", i.Key, "error", err)
			continue
		}
		list = append(list, x)
	}
	e.peers.set(list, time.Now())
}

// probePeers asks another entry who leads while the store is lost, which also
// tells whether requests can be passed on.
func (e *Entry) probePeers(ctx context.Context) {
	for _, p := range (*asker)(e).List() {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		a, err := (*asker)(e).Ask(ctx, p, relay.Question{Verb: relay.VerbLeader, Leader: e.leader.Current()})
		cancel()
		if err == nil {
			e.leader.Heard(a.Leader)
			return
		}
	}
}

// unregister removes the entry's key in a planned stop.
func (e *Entry) unregister(ctx context.Context) {
	key := layout.EntryPrefix + string(e.Name)
	if _, err := e.Store.Commit(ctx, sched.Txn{Removes: []string{key}}); err != nil {
		e.log.Info("entry's key not removed", "error", err)
	}
}

// gauge publishes the sums of the machine.
func (e *Entry) gauge(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, gaugeEvery)
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
		e.stats.Gauge("RecordsWaiting", int64(t.Undurable))
	}
}
