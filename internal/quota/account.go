package quota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/clock"
	"github.com/mangoslip/mangoslip/internal/stats"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Asker asks the leader for room, which may be this entry.
type Asker interface {
	// AskRoom asks for a cost, and returns what was granted.
	AskRoom(ctx context.Context, cost sched.Bytes) (sched.Bytes, Verdict)
	// Entries returns the number of entries.
	Entries() int
}

// Account holds the room that an entry has for the jobs that it accepts. It is safe for
// concurrent use.
type Account struct {
	asker Asker
	bound sched.Bytes
	log   *slog.Logger
	stats *stats.Stats

	mu sync.Mutex
	// credit is what is left of the last grant.
	credit  sched.Bytes
	expires time.Time
	// ungranted is what was accepted since a leader last answered.
	ungranted sched.Bytes
	// fullUntil is until when jobs that take fullCost or more are refused.
	fullUntil time.Time
	fullCost  sched.Bytes
	// refused counts the refusals since the last log line.
	refused map[Verdict]int64
}

// Option changes a setting of an [Account].
type Option func(*Account)

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(a *Account) { a.log = l } }

// WithStats sets the registry of metrics.
func WithStats(s *stats.Stats) Option { return func(a *Account) { a.stats = s } }

// NewAccount returns an account without credit. The bound is that of this machine, of
// which the entry may use its share while no leader answers.
func NewAccount(asker Asker, bound sched.Bytes, opts ...Option) *Account {
	a := &Account{
		asker: asker, bound: bound, log: slog.New(slog.DiscardHandler), stats: stats.New(), refused: map[Verdict]int64{},
	}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Reserve takes room for a job with the given cost. Only [Granted] means that there is
// room.
func (a *Account) Reserve(ctx context.Context, cost sched.Bytes) Verdict {
	v, decided := a.take(cost)
	if !decided {
		granted, answer := a.asker.AskRoom(ctx, cost)
		v = a.answered(cost, granted, answer)
	}
	if v != Granted {
		a.count(v)
	}
	return v
}

// take decides without asking, if the credit suffices or if room was just refused.
func (a *Account) take(cost sched.Bytes) (v Verdict, decided bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	if now.After(a.expires) {
		a.credit = 0
	}
	switch {
	case cost <= a.credit:
		a.credit -= cost
		return Granted, true
	case now.Before(a.fullUntil) && cost >= a.fullCost:
		return Full, true
	}
	return Unknown, false
}

// answered records the answer to a request for a cost.
func (a *Account) answered(cost, granted sched.Bytes, v Verdict) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	switch v {
	case Granted:
		a.ungranted = 0
		a.credit = granted - cost // What is left of earlier grants may not count on the leader any more.
		a.expires = now.Add(grantTime)
	case Full:
		a.ungranted = 0
		a.fullUntil, a.fullCost = now.Add(refusalTime), cost
	case Unknown:
		return a.takeUngranted(cost)
	}
	return v
}

// takeUngranted takes room from the share of this entry, while no leader answers.
func (a *Account) takeUngranted(cost sched.Bytes) Verdict {
	if a.ungranted+cost > a.bound/sched.Bytes(max(a.asker.Entries(), 1)) {
		return Unknown
	}
	a.ungranted += cost
	return Granted
}

// count counts a refusal.
func (a *Account) count(v Verdict) {
	a.stats.Count("JobsRefused."+v.String(), 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused[v]++
}

// Publish logs one line if jobs were refused since the last call.
func (a *Account) Publish() {
	a.mu.Lock()
	refused := a.refused
	a.refused = map[Verdict]int64{}
	a.mu.Unlock()
	if len(refused) == 0 {
		return
	}
	a.log.Warn("jobs refused for want of memory", "full", refused[Full], "tooLarge", refused[TooLarge], "noLeader", refused[Unknown])
}
