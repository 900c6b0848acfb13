package leader

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Guards against a log that does not tell that updates of the state machine take
// long, or that has a line for each quick one.
func TestSlowUpdatesAreLogged(t *testing.T) {
	for _, c := range []struct {
		name       string
		took, idle time.Duration
		slow, busy int
	}{
		{"quick", time.Millisecond, 9 * time.Millisecond, 0, 0},
		{"many", 6 * time.Millisecond, 4 * time.Millisecond, 0, 3},
		{"slow", 100 * time.Millisecond, 900 * time.Millisecond, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				l := &Leader{log: slog.New(slog.NewTextHandler(&out, nil))}
				x := &term{l: l, number: 3, machine: flow.New(3)}
				for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(c.idle) {
					m := x.measure(sched.TickMsg{})
					m.begin()
					time.Sleep(c.took)
					m.end()
					m.log()
				}
				require.Equal(t, c.slow, strings.Count(out.String(), `msg="slow update" term=3 message=sched.TickMsg took=100ms`), out.String())
				require.Equal(t, c.busy, strings.Count(out.String(), `msg="state machine is busy" term=3`), out.String())
				require.Zero(t, x.waiting.Load())
			})
		})
	}
}
