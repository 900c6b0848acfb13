package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/limit"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// saturate keeps as many requests in progress as g admits, for a number of
// windows of 100 ms. It returns the time at the end.
func saturate(g *limit.Gradient, from time.Time, windows int, latency time.Duration) time.Time {
	for range windows {
		n := 0
		for {
			if _, ok := g.Acquire(from); !ok {
				break
			}
			n++
		}
		from = from.Add(100 * time.Millisecond)
		for range n {
			g.Release(from, latency, sched.Ran)
		}
	}
	return from
}

// Guards against a limit that does not fall while the latency rises, that does
// not recover when the latency falls, or that leaves its bounds.
func TestGradient(t *testing.T) {
	g := limit.NewGradient(100)
	now := saturate(g, start, 50, 10*time.Millisecond)
	require.Equal(t, 100, g.Limit())
	now = saturate(g, now, 50, 100*time.Millisecond)
	require.Less(t, g.Limit(), 50)
	require.GreaterOrEqual(t, g.Limit(), 10)
	now = saturate(g, now, 100, 10*time.Millisecond)
	require.Equal(t, 100, g.Limit())
	g.SetHardLimit(40)
	saturate(g, now, 50, time.Millisecond)
	require.Equal(t, 40, g.Limit())
	require.Zero(t, g.InFlight())
}

// Guards against slots that stay out of use after slow answers, because the limit
// rises only under load, and against a limit that rises while answers are slow.
func TestGradientRecoversWithoutLoad(t *testing.T) {
	g := limit.NewGradient(100)
	now := saturate(g, start, 50, 10*time.Millisecond)
	now = saturate(g, now, 50, 100*time.Millisecond)
	fallen := g.Limit()
	require.Less(t, fallen, 50)
	idle := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			g.Tick(now)
		}
	}
	idle(time.Second)
	require.Equal(t, fallen, g.Limit())
	idle(10 * time.Second)
	require.Equal(t, 100, g.Limit())
	saturate(g, now, 50, 100*time.Millisecond)
	require.Less(t, g.Limit(), 50, "the baseline is kept")
}

// Guards against fast refusals that count as samples of a low latency and so lower
// the baseline.
func TestGradientIgnoresRefusals(t *testing.T) {
	g := limit.NewGradient(100)
	now := saturate(g, start, 50, 10*time.Millisecond)
	for range 5000 {
		_, _ = g.Acquire(now)
		now = now.Add(time.Millisecond)
		g.Release(now, time.Microsecond, sched.NotRun)
	}
	saturate(g, now, 50, 10*time.Millisecond)
	require.Equal(t, 100, g.Limit())
}

// Guards against shares that add up to less than the bound, and against shares of
// zero, which would mean no bound.
func TestShare(t *testing.T) {
	require.Equal(t, 4, limit.Share(10, 8, 24))
	require.Equal(t, 1, limit.Share(1, 8, 24))
	require.Equal(t, 10, limit.Share(10, 8, 8))
	require.Zero(t, limit.Share(0, 8, 24))
}

// Guards against a quota or a memory bound that admits too much.
func TestBounds(t *testing.T) {
	t.Run("quota", func(t *testing.T) {
		l := &limit.TeamLimit{}
		l.Set(1)
		_, ok := l.Acquire(start)
		require.True(t, ok)
		reason, ok := l.Acquire(start)
		require.False(t, ok)
		require.Equal(t, sched.ReasonQuotaExceeded, reason)
	})
	t.Run("memory", func(t *testing.T) {
		m := limit.NewMemory(10)
		require.True(t, m.Acquire(10))
		require.False(t, m.Acquire(1))
		require.False(t, m.Acquire(-1))
		m.Release(10)
		require.True(t, m.Acquire(1))
	})
}
