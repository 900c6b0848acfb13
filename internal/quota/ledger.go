package quota

import (
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/clock"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Ledger is the record of what the leader has granted lately. It is kept in the memory of
// its process, so a new leader does not know the grants of the one before; they are used
// up or have expired soon. It is safe for concurrent use.
type Ledger struct {
	bound sched.Bytes

	mu sync.Mutex
	// recent holds what was granted since shiftedAt and is not used as far as is known,
	// and earlier the same of the period before.
	recent, earlier sched.Bytes
	shiftedAt       time.Time
	// added is as in [sched.KeptJobs], when it was last seen.
	added sched.Bytes
}

// NewLedger returns a ledger with a bound on all jobs together.
func NewLedger(bound sched.Bytes) *Ledger { return &Ledger{bound: bound} }

// Bound returns the bound.
func (l *Ledger) Bound() sched.Bytes { return l.bound }

// Grant decides on a request for a cost, beside what the leader keeps. It grants the cost
// and, for a small job that another entry asks for, as much more as there is room for at
// each of the given number of entries. With 0 entries it grants the cost only.
func (l *Ledger) Grant(kept sched.KeptJobs, cost sched.Bytes, entries int) (sched.Bytes, Verdict) {
	limit := l.bound
	if cost > flow.LargeCost {
		limit -= l.bound / flow.LargeShare
	}
	if cost > limit {
		return 0, TooLarge
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shift(clock.Now())
	l.use(kept.Added)
	free := limit - kept.Cost - l.recent - l.earlier
	if cost > free {
		return 0, Full
	}
	granted := cost
	if entries > 0 && cost <= flow.LargeCost {
		granted = max(cost, free/sched.Bytes(chunkShare*entries))
	}
	l.recent += granted
	return granted, Granted
}

// shift forgets the grants that were made two periods ago.
func (l *Ledger) shift(now time.Time) {
	since := now.Sub(l.shiftedAt)
	if since < countTime {
		return
	}
	l.earlier, l.recent, l.shiftedAt = l.recent, 0, now
	if since >= 2*countTime {
		l.earlier = 0
	}
}

// use takes the jobs that the leader got from the grants, the oldest first. Otherwise
// they would count twice.
func (l *Ledger) use(added sched.Bytes) {
	used := max(added-l.added, 0) // A new term counts from 0.
	l.added = added
	fromEarlier := min(used, l.earlier)
	l.earlier -= fromEarlier
	l.recent = max(l.recent-(used-fromEarlier), 0)
}
