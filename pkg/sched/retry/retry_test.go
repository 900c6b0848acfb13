package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/retry"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against retries that multiply the load of a failing service.
func TestBudget(t *testing.T) {
	b := retry.New()
	allowed := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.Observe(now)
		if _, ok := b.Allow(now, now.Add(time.Second), 1); ok {
			allowed++
		}
	}
	// A tenth of the attempts, plus the tokens at the start and those of the
	// floor in one second.
	require.GreaterOrEqual(t, allowed, 95)
	require.LessOrEqual(t, allowed, 102)
}

// Guards against a service with little traffic that can never retry, and against
// a floor that accumulates tokens over a long time.
func TestFloor(t *testing.T) {
	b := retry.New()
	now := start.Add(time.Hour)
	_, first := b.Allow(now, now.Add(time.Second), 1)
	_, second := b.Allow(now, now.Add(time.Second), 1)
	_, later := b.Allow(now.Add(time.Second), now.Add(time.Hour), 1)
	require.Equal(t, []bool{true, false, true}, []bool{first, second, later})
}

// Guards against delays that are all equal, exceed their bound or end after the
// deadline.
func TestDelay(t *testing.T) {
	b := retry.New(retry.WithShare(1, 1000), retry.WithAttempts(100))
	seen := map[time.Duration]bool{}
	for range 100 {
		d, ok := b.Allow(start, start.Add(time.Hour), 3)
		require.True(t, ok)
		require.GreaterOrEqual(t, d, 10*time.Millisecond)
		require.LessOrEqual(t, d, 30*time.Millisecond)
		seen[d] = true
	}
	require.Greater(t, len(seen), 50)
	d, _ := b.Allow(start, start.Add(time.Hour), 99)
	require.LessOrEqual(t, d, retry.DefaultMax)
	_, ok := b.Allow(start, start.Add(time.Millisecond), 3)
	require.False(t, ok)
	_, ok = retry.New().Allow(start, start.Add(time.Hour), retry.DefaultAttempts)
	require.False(t, ok)
}

// Guards against a retry of an attempt that ran, and of one that may have run
// although its request is not idempotent.
func TestEligible(t *testing.T) {
	require.True(t, retry.Eligible(sched.NotRun, sched.ReasonTargetRefused, false))
	require.False(t, retry.Eligible(sched.NotRun, sched.ReasonDeadlineTooShort, true))
	require.False(t, retry.Eligible(sched.Unknown, sched.ReasonTargetBroken, false))
	require.True(t, retry.Eligible(sched.Unknown, sched.ReasonTargetBroken, true))
	require.False(t, retry.Eligible(sched.Ran, "", true))
}
