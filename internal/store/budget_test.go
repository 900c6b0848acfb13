package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against waits beyond the context's deadline or the maximum wait, and
// against refusals where a short wait is enough.
func TestBudgetWait(t *testing.T) {
	cases := []struct {
		name              string
		maxWait, deadline time.Duration
		want              error
		waited            time.Duration
	}{
		{"token in time", time.Second, time.Second, nil, 125 * time.Millisecond},
		{"deadline before the token", time.Second, 100 * time.Millisecond, sched.ErrBudget, 0},
		{"patience before the token", 100 * time.Millisecond, time.Second, sched.ErrBudget, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBudget(settings{writes: 10, reservedWrites: 2, maxWait: c.maxWait})
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				defer cancel()
				for range 8 {
					require.NoError(t, b.take(ctx, true, false))
				}
				start := time.Now()
				require.ErrorIs(t, b.take(ctx, true, false), c.want)
				require.Equal(t, c.waited, time.Since(start))
				require.NoError(t, b.take(ctx, true, true), "general calls must not use the reserved tokens")
			})
		})
	}
}
