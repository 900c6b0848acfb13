package guard_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/guard"
)

// Guards against a panic that ends the process, and against one that leaves no
// trace in the log.
func TestPanicIsConfined(t *testing.T) {
	err := guard.Run(func() { panic("broken") })
	require.ErrorContains(t, err, "broken")
	var out bytes.Buffer
	guard.Log(slog.New(slog.NewTextHandler(&out, nil)), "read members", err)
	require.Contains(t, out.String(), "read members")
	require.Contains(t, out.String(), "guard_test.go")
	require.NoError(t, guard.Run(func() {}))
}

// Guards against a loop that does not run any more after a panic.
func TestLoopIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		calls := 0
		guard.Loop(ctx, slog.New(slog.DiscardHandler), "step", func(context.Context) {
			if calls++; calls < 3 {
				panic("broken")
			}
		})
		require.Equal(t, 3, calls)
		cancel()
		guard.Loop(ctx, slog.New(slog.DiscardHandler), "step", func(context.Context) { panic("broken") })
	})
}
