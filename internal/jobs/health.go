package jobs

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/mangoslip/mangoslip/internal/clock"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Health tracks whether the store can be reached and, if not, since when.
type Health struct {
	failures atomic.Int64
	// since is the time of the first of the consecutive failures, in Unix
	// nanoseconds.
	since atomic.Int64
	// answered is when the store last answered, nil if it has not.
	answered atomic.Pointer[time.Time]
}

// unreachableAfter is the number of consecutive failed calls after which the
// store counts as unreachable.
const unreachableAfter = 2

// Record records the result of a call to the store. A conflict and a missing key
// count as success, because the store answered. A cancelled call is ignored.
func (h *Health) Record(err error) {
	switch {
	case err == nil, errors.Is(err, sched.ErrConflict), errors.Is(err, sched.ErrNotFound):
		h.failures.Store(0)
		now := clock.Now()
		h.answered.Store(&now)
	case errors.Is(err, context.Canceled):
	default:
		if h.failures.Add(1) == 1 {
			h.since.Store(time.Now().UnixNano())
		}
	}
}

// SinceAnswer returns how long ago the store last answered, and whether it has
// answered at all.
func (h *Health) SinceAnswer() (time.Duration, bool) {
	at := h.answered.Load()
	if at == nil {
		return 0, false
	}
	return clock.Now().Sub(*at), true
}

// UnreachableFor returns how long the store has been unreachable, or 0 if it is
// not.
func (h *Health) UnreachableFor(now time.Time) time.Duration {
	if !h.Unreachable() {
		return 0
	}
	return max(now.Sub(time.Unix(0, h.since.Load())), 0)
}

// Unreachable reports whether the store counts as unreachable.
func (h *Health) Unreachable() bool { return h.failures.Load() >= unreachableAfter }
