package store

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// budget limits the store calls of one entry, with separate token buckets for
// writes and reads.
type budget struct {
	writes, reads bucketPair
	// maxWait is the longest wait for a token.
	maxWait time.Duration
}

// bucketPair holds the token buckets for general calls and for the ownership
// calls that a part of the rate is reserved for.
type bucketPair struct{ general, reserved *rate.Limiter }

func newBudget(s settings) budget {
	return budget{
		writes:  newBucketPair(s.writes, s.reservedWrites),
		reads:   newBucketPair(s.reads, s.reservedReads),
		maxWait: s.maxWait,
	}
}

func newBucketPair(total, reserved float64) bucketPair {
	return bucketPair{general: bucket(total - reserved), reserved: bucket(reserved)}
}

// bucket returns a limiter whose burst is the number of calls per second, and at
// least 1.
func bucket(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(max(perSecond, 0)), max(int(perSecond), 1))
}

// take waits for a token, at most until the context's deadline and for maxWait.
// A reserved call uses a token of the reserved or the general bucket if one is
// available, and waits for the reserved bucket otherwise.
func (b *budget) take(ctx context.Context, write, reserved bool) error {
	l := b.reads
	if write {
		l = b.writes
	}
	limiter := l.general
	if reserved {
		if l.reserved.Allow() || l.general.Allow() {
			return nil
		}
		limiter = l.reserved
	}
	ctx, cancel := context.WithTimeout(ctx, b.maxWait)
	defer cancel()
	if err := limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", sched.ErrBudget, err)
	}
	return nil
}
