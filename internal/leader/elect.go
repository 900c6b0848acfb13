package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// campaignInput is what an entry reads from the store before it campaigns.
// lastTerm is the zero item if there has been no term yet. vacantSince is when this
// entry noticed that no entry leads.
type campaignInput struct {
	lastTerm    sched.Item
	vacantSince time.Time
}

// term decodes the last term. It returns the zero term if there has been none yet.
func (in campaignInput) term() (last layout.Term, err error) {
	if in.lastTerm.Version != 0 {
		err = layout.Decode(in.lastTerm.Value, &last)
	}
	return last, sched.Wrap(err, "decode term", layout.TermKey)
}

// follow waits until no entry leads. It also reports whether the store was
// unreachable just before.
func (l *Leader) follow(ctx context.Context) (campaignInput, bool) {
	outage := false
	retry := newStoreBackoff()
	vacantSince := l.now()
	for ctx.Err() == nil {
		// Range also returns the version of the store, from which a watch can
		// start. The version of the item may be older than the history that the
		// store keeps.
		items, version, err := l.store.Range(ctx, layout.LeaderKey, false)
		if err == nil && len(items) == 0 {
			term, err := l.store.Get(ctx, layout.TermKey)
			if err == nil || errors.Is(err, sched.ErrNotFound) {
				return campaignInput{term, vacantSince}, outage
			}
		}
		if err == nil && len(items) > 0 {
			retry.Reset()
			outage = l.watchLeader(ctx, items[0], version)
			vacantSince = l.now()
			continue
		}
		if !outage && ctx.Err() == nil {
			l.log.Warn("store lost", "step", "read leader", "error", err)
		}
		outage = true
		pause(ctx, retry.NextBackOff())
	}
	return campaignInput{}, outage
}

// watchLeader watches the leader's key and returns when it may have been
// removed. It reports whether the store was unreachable.
func (l *Leader) watchLeader(ctx context.Context, item sched.Item, after sched.Version) bool {
	l.recordLeader(item)
	for ctx.Err() == nil {
		changes, next, err := l.store.Watch(ctx, layout.LeaderKey, after, watchWait)
		switch {
		case errors.Is(err, sched.ErrCompacted):
			pause(ctx, retryPause)
			return false
		case err != nil && ctx.Err() != nil:
			return false // The entry stops and has ended its own watch.
		case err != nil:
			l.log.Warn("store lost", "step", "watch leader", "error", err)
			pause(ctx, retryPause)
			return true
		}
		after = next
		for _, c := range changes {
			if c.Removed {
				l.log.Info("leader's key is gone", "version", c.Version)
				return false
			}
			l.recordLeader(c.Item)
		}
	}
	return false
}

// recordLeader records which entry leads, as the leader's key shows it.
func (l *Leader) recordLeader(item sched.Item) {
	var v layout.Leader
	if err := layout.Decode(item.Value, &v); err != nil {
		l.log.Warn("leader's key is damaged", "version", item.Version, "error", err)
		return
	}
	l.setKnownLeader(v, "store")
}

// campaign tries to begin the next term with this entry as the leader.
func (l *Leader) campaign(ctx context.Context, in campaignInput) (*term, error) {
	last, err := in.term()
	if err != nil {
		return nil, err
	}
	began := l.now()
	lease, ttl, err := l.store.Grant(ctx, l.ttl)
	if err != nil {
		return nil, err
	}
	next := layout.Term{Number: last.Number + 1, Name: l.Name, ID: rand.Uint64()}
	me := layout.Leader{Name: l.Name, Addr: l.Addr, Term: next.Number}
	version, err := l.store.Commit(ctx, sched.Txn{
		Conditions: []sched.Condition{
			{Key: layout.LeaderKey}, {Key: layout.TermKey, Version: in.lastTerm.Version},
		},
		Writes: []sched.Write{
			{Key: layout.LeaderKey, Value: layout.Encode(me), Lease: lease},
			{Key: layout.TermKey, Value: layout.Encode(next)},
		},
	})
	if errors.Is(err, sched.ErrLost) {
		version, err = l.resolve(ctx, next)
	}
	if err != nil {
		return nil, err
	}
	l.log.Info("term begins", "term", next.Number, "version", version, "ttl", ttl, "previous", last.Name,
		"vacant", l.now().Sub(in.vacantSince), "took", l.now().Sub(began))
	t := newTerm(ctx, l, next, version, lease)
	l.mu.Lock()
	l.term, l.knownLeader = t, me
	l.mu.Unlock()
	l.announce(me)
	return t, nil
}

// resolve finds out who won after the answer to a campaign was lost. It returns
// the version of the term if this entry won.
func (l *Leader) resolve(ctx context.Context, want layout.Term) (sched.Version, error) {
	item, err := l.store.Get(ctx, layout.TermKey)
	if err != nil {
		return 0, err
	}
	var got layout.Term
	if err := layout.Decode(item.Value, &got); err != nil {
		return 0, err
	}
	if got != want {
		return 0, sched.Wrap(sched.ErrConflict, "resolve campaign", string(got.Name))
	}
	return item.Version, nil
}
