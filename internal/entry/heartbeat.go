package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// Times of calls between entries.
const (
	// heartbeatInterval is well below the 2 s after which a hint of free slots
	// is too old to be used.
	heartbeatInterval = 300 * time.Millisecond
	// peerCallTimeout bounds one call to a peer other than a heartbeat.
	peerCallTimeout = 2 * time.Second
)

// heartbeat periodically exchanges heartbeats with all listed entries until this
// entry ends.
func (e *Entry) heartbeat(ctx context.Context) {
	for {
		var wg sync.WaitGroup
		for name, in := range e.listView.Load().entries {
			if name == e.Name {
				continue
			}
			wg.Go(func() { e.sendHeartbeat(ctx, name, in) })
		}
		wg.Wait()
		e.forgetUnlisted()
		if !pause(ctx, heartbeatInterval) {
			return
		}
	}
}

// sendHeartbeat sends a heartbeat to a peer and processes its reply.
func (e *Entry) sendHeartbeat(ctx context.Context, name sched.EntryName, in sched.Instance) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
	defer cancel()
	sent := e.now()
	v, err := e.peers.Dial(in.Control).Heartbeat(ctx, e.ownView())
	if err != nil {
		e.stats.Count("Peers", "HeartbeatFailed")
		e.forgetHints(name)
		return
	}
	e.postOwner(owner.RelayedMsg{
		SentAt: sent, Peer: name, Stopping: v.Stopping, Table: v.Table, Version: v.TableVersion, TableAge: v.TableAge,
		ListedGeneration: v.ListedGeneration, ListAge: v.ListAge,
	})
	e.recordHints(name, in.DataCentre, v, sent)
	e.peerRevision(name, v.Revision)
}

// Heartbeat implements peer.Backend. Its reply includes the ownership table as
// this entry last read it and the generation under which the instance list shows
// the sender at its address. With these the sender can confirm its ownership while it cannot read
// the table or the list itself.
func (e *Entry) Heartbeat(_ context.Context, v peer.View) peer.View {
	if in, ok := e.listView.Load().entries[v.From]; ok {
		e.recordHints(v.From, in.DataCentre, v, e.now())
	}
	e.peerRevision(v.From, v.Revision)
	out := e.ownView()
	now := e.now()
	e.own.Lock()
	defer e.own.Unlock()
	if e.own.m == nil {
		return out
	}
	value, version, sent := e.own.m.LastTable()
	if version != 0 {
		out.Table, out.TableVersion, out.TableAge = value, version, now.Sub(sent)
	}
	generation, listAt := e.own.m.ListedGeneration(v.From, v.Address)
	out.ListedGeneration, out.ListAge = generation, now.Sub(listAt)
	if listAt.IsZero() {
		out.ListAge = -1
	}
	return out
}

// ownView returns the part of a heartbeat that does not depend on the receiver:
// the revision in force, the free slots and whether this entry is draining. It
// sets the ages to -1, which means unknown.
func (e *Entry) ownView() peer.View {
	v := peer.View{From: e.Name, Address: e.PeerAddr, Revision: e.conf.revision(), Slots: map[sched.ServiceName]int{}, TableAge: -1, ListAge: -1, Stopping: e.draining.Load()}
	cfg := e.conf.inForce()
	if cfg == nil || e.draining.Load() {
		return v
	}
	for _, s := range e.shards.Load().byID {
		if !s.serving() {
			continue
		}
		s.mu.Lock()
		for i := range cfg.Services {
			name := cfg.Services[i].Name
			v.Slots[name] += s.pool.Free(name)
		}
		s.mu.Unlock()
	}
	return v
}

// recordHints records the free slots that a peer reported.
func (e *Entry) recordHints(name sched.EntryName, dc sched.DataCentre, v peer.View, at time.Time) {
	e.hints.Lock()
	defer e.hints.Unlock()
	e.hints.views[name] = v
	if len(v.Slots) == 0 {
		// A peer that shuts down reports no slots. Earlier hints no longer hold.
		e.hints.placer.Forget(name)
		return
	}
	for s, free := range v.Slots {
		e.hints.placer.Hint(s, name, dc, free, at)
	}
}

// forgetHints discards the free slots that a peer reported.
func (e *Entry) forgetHints(name sched.EntryName) {
	e.hints.Lock()
	defer e.hints.Unlock()
	e.hints.placer.Forget(name)
}

// goneAfter is how long an entry must be missing from the instance list before the
// requests with an idempotency key that it ran count as ended. An entry that
// restarts is missing for a moment while its new process already runs requests.
const goneAfter = 5 * time.Second

// forgetUnlisted discards the hints of entries that left the instance list. Once
// an entry has been missing for goneAfter, forgetUnlisted notifies all shards, so
// that the requests with an idempotency key that the entry ran count as ended.
func (e *Entry) forgetUnlisted() {
	listed := e.listView.Load().entries
	now := e.now()
	var gone []sched.EntryName
	e.hints.Lock()
	for name := range e.hints.views {
		if _, ok := listed[name]; !ok {
			delete(e.hints.views, name)
			e.hints.placer.Forget(name)
			e.hints.missing[name] = now
		}
	}
	for name, since := range e.hints.missing {
		if _, ok := listed[name]; ok {
			delete(e.hints.missing, name)
		} else if now.Sub(since) >= goneAfter {
			delete(e.hints.missing, name)
			gone = append(gone, name)
		}
	}
	e.hints.Unlock()
	for _, name := range gone {
		for _, s := range e.shards.Load().byID {
			s.entryGone(name)
		}
	}
}

// dialEntry returns a client of another entry. It reports false if the entry is
// not listed.
func (e *Entry) dialEntry(name sched.EntryName) (*peer.Client, bool) {
	in, ok := e.listView.Load().entries[name]
	if !ok || in.Control == (netip.AddrPort{}) {
		return nil, false
	}
	return e.peers.Dial(in.Control), true
}
