package logger_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/logger"
)

// logOutput runs f with a logger and returns the output of the log.
func logOutput(t *testing.T, budget int, f func(log *slog.Logger)) string {
	t.Helper()
	var out bytes.Buffer
	synctest.Test(t, func(*testing.T) {
		w := logger.New(&out, logger.WithBudget(budget))
		f(slog.New(w.Handler(slog.LevelInfo)))
		w.Close()
	})
	return out.String()
}

// Guards against a frequent event that crowds out a rare one, and against lines
// that are left out without a count in the log.
func TestBudget(t *testing.T) {
	out := logOutput(t, 5, func(log *slog.Logger) {
		for i := range 100 {
			log.Info("frequent", "n", i)
		}
		log.Info("rare")
		log.Error("failed")
	})
	require.Equal(t, 5, strings.Count(out, "msg=frequent"))
	require.Contains(t, out, "msg=rare")
	require.Contains(t, out, "msg=failed")
	require.Contains(t, out, "lines=95")
}

// Guards against ids of which only some lines are kept, so that no job can be
// traced through the log.
func TestKeepsAllLinesOfAnID(t *testing.T) {
	const ids = 40
	out := logOutput(t, 100, func(log *slog.Logger) {
		for range 100 {
			log.Info("decision", "id", "other")
		}
		for i := range ids {
			log.Info("decision", "id", fmt.Sprint("job", i))
			log.Info("decision", "id", fmt.Sprint("job", i))
		}
	})
	kept := 0
	for i := range ids {
		n := strings.Count(out, fmt.Sprintf("id=job%d\n", i))
		require.Contains(t, []int{0, 2}, n, "id %d", i)
		kept += n / 2
	}
	require.NotZero(t, kept)
	require.Less(t, kept, ids)
}

// blockedWriter is a writer whose calls block until released.
type blockedWriter struct {
	release chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a caller that blocks because the output of the log does.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		b := &blockedWriter{release: make(chan struct{})}
		w := logger.New(b, logger.WithBudget(1<<20))
		log := slog.New(w.Handler(slog.LevelInfo))
		for range 20_000 {
			log.Info("line", "text", strings.Repeat("x", 200))
		}
		require.NotZero(t, w.Skipped(), "the buffer is bounded")
		close(b.release)
		w.Close()
	})
}
