// Package retry decides whether and when an attempt at a request may be
// repeated.
//
// A [Budget] is a token bucket: each first attempt adds a share of a token and
// each retry takes one token, so that retries add at most that share to the load
// of a service that already fails. In addition, a low constant rate of tokens
// (the floor) allows retries of a service with little traffic. [Eligible] reports
// which outcomes may be retried.
//
// # Usage
//
//	b := retry.New(retry.WithSeed(1))
//	b.Observe(now)
//	if retry.Eligible(outcome, reason, idempotent) {
//		delay, ok := b.Allow(now, deadline, 1)
//	}
//
// A Budget is not safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Defaults of a Budget.
const (
	// DefaultShare is the number of tokens that each first attempt adds.
	DefaultShare = 0.1
	// DefaultFloor is the number of tokens that are added each second without
	// any attempt.
	DefaultFloor = 1.0
	// DefaultAttempts bounds the attempts of one request, including the first.
	DefaultAttempts = 3
	// DefaultBase is the mean delay before the first retry.
	DefaultBase = 5 * time.Millisecond
	// DefaultMax bounds the delay before any retry.
	DefaultMax = 250 * time.Millisecond
	// burst bounds the tokens, so that a long time without failures does not
	// accumulate tokens for a large burst of retries.
	burst = 100.0
)

// Budget implements [sched.Retrier].
type Budget struct {
	share      float64
	floor      float64
	attempts   int
	base       time.Duration
	max        time.Duration
	rng        *rand.Rand
	tokens     float64
	refilledAt time.Time
}

var _ sched.Retrier = (*Budget)(nil)

// Option configures a Budget.
type Option func(*Budget)

// WithSeed sets the seed of the jitter.
func WithSeed(seed uint64) Option {
	return func(b *Budget) { b.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithShare sets the tokens that each first attempt adds, and the tokens that are
// added each second without any attempt.
func WithShare(share, floor float64) Option {
	return func(b *Budget) { b.share, b.floor = share, floor }
}

// WithAttempts bounds the attempts of one request, including the first.
func WithAttempts(n int) Option { return func(b *Budget) { b.attempts = n } }

// WithBackoff sets the mean delay before the first retry and the bound of all
// delays.
func WithBackoff(base, limit time.Duration) Option {
	return func(b *Budget) { b.base, b.max = base, limit }
}

// New returns a budget that starts with the tokens of one second of the floor.
func New(opts ...Option) *Budget {
	b := &Budget{
		share:    DefaultShare,
		floor:    DefaultFloor,
		attempts: DefaultAttempts,
		base:     DefaultBase,
		max:      DefaultMax,
		rng:      rand.New(rand.NewPCG(1, 1)),
	}
	for _, o := range opts {
		o(b)
	}
	b.tokens = b.floor
	return b
}

// Observe implements [sched.Retrier].
func (b *Budget) Observe(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.share, burst)
}

// Allow implements [sched.Retrier]. The parameter attempt is the number of
// attempts that have been made.
func (b *Budget) Allow(now, deadline time.Time, attempt int) (time.Duration, bool) {
	b.refill(now)
	if attempt >= b.attempts || b.tokens < 1 {
		return 0, false
	}
	delay := b.delay(attempt)
	if !now.Add(delay).Before(deadline) {
		return 0, false
	}
	b.tokens--
	return delay, true
}

// delay returns a random delay between half and one and a half times the
// exponential delay, but at most the maximum delay.
func (b *Budget) delay(attempt int) time.Duration {
	d := b.base
	for i := 1; i < attempt && d < b.max; i++ {
		d *= 2
	}
	d = time.Duration(float64(d) * (0.5 + b.rng.Float64()))
	return min(d, b.max)
}

// refill adds the tokens of the floor for the time that has passed. The floor
// alone never accumulates more than the tokens of one second.
func (b *Budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	earned := now.Sub(b.refilledAt).Seconds() * b.floor
	b.refilledAt = now
	if earned > 0 && b.tokens < b.floor {
		b.tokens = min(b.tokens+earned, b.floor)
	}
}

// Eligible reports whether an attempt that ended with this outcome and reason may
// be retried. An attempt that did not run may be retried if the reason is
// temporary, and an attempt with an unknown outcome if the request is idempotent.
// An attempt that ran is never retried.
func Eligible(o sched.Outcome, r sched.Reason, idempotent bool) bool {
	switch o {
	case sched.NotRun:
		return r.Retryable()
	case sched.Unknown:
		return idempotent
	default:
		return false
	}
}
