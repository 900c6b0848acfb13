// Package limit bounds the requests in progress of a team ([Quota]), the requests
// in progress of a service, depending on its latency ([Gradient]), and the bytes
// of buffered request bodies ([Memory]).
//
// # Usage
//
//	g := limit.NewGradient(64)
//	if reason, ok := g.Acquire(now); !ok {
//		// refuse with reason
//	}
//	g.Release(now, latency, sched.Ran)
//
// The types of this package are not safe for concurrent use.
package limit

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// TeamLimit bounds the requests in progress of one team in one shard.
type TeamLimit struct {
	bound    int
	inFlight int
}

var _ sched.Limiter = (*TeamLimit)(nil)

// Share returns a shard's part of a team's bound, in the proportion of own to
// total, for example of a service's targets. The part is rounded up, so that
// every shard gets at least 1. A bound of 0 means no bound.
func Share(bound, own, total int) int {
	if bound <= 0 || total <= 0 || own >= total {
		return bound
	}
	return max(1, (bound*own+total-1)/total)
}

// Set changes the bound; 0 means no bound. Requests in progress may finish even
// if they exceed a lower bound.
func (l *TeamLimit) Set(bound int) { l.bound = bound }

// Acquire implements [sched.Limiter].
func (l *TeamLimit) Acquire(time.Time) (sched.Reason, bool) {
	if l.bound > 0 && l.inFlight >= l.bound {
		return sched.ReasonQuotaExceeded, false
	}
	l.inFlight++
	return "", true
}

// Release implements [sched.Limiter].
func (l *TeamLimit) Release(time.Time, time.Duration, sched.Outcome) { l.inFlight-- }

// InFlight returns the number of requests in progress.
func (l *TeamLimit) InFlight() int { return l.inFlight }

// Memory bounds the bytes of buffered bodies.
type Memory struct {
	bound sched.Bytes
	used  sched.Bytes
}

// NewMemory returns a Memory with a bound; 0 means no bound.
func NewMemory(bound sched.Bytes) *Memory { return &Memory{bound: bound} }

// Acquire adds n bytes if they fit, and reports whether they do.
func (m *Memory) Acquire(n sched.Bytes) bool {
	if n < 0 || m.bound > 0 && m.used+n > m.bound {
		return false
	}
	m.used += n
	return true
}

// Release subtracts n bytes that Acquire has added.
func (m *Memory) Release(n sched.Bytes) { m.used -= n }

// Used returns the bytes in use.
func (m *Memory) Used() sched.Bytes { return m.used }
