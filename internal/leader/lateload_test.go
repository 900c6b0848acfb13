package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Guards against a leader that shows an empty list of late jobs while it loads the
// stored state, or after its state machine has panicked.
func TestLateJobsAreNotKnownWhileLoading(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := flow.New(3)
	for _, msg := range []sched.Msg{flow.ConfirmedMsg{Asked: now}, flow.TakeoverMsg{}, sched.TickMsg{}} {
		m.Update(now, msg)
	}
	l := &Leader{now: func() time.Time { return now }}
	l.term = &term{l: l, number: 3, machine: m}
	for _, c := range []struct{ loaded, broken, known bool }{{false, false, false}, {true, false, true}, {true, true, false}} {
		l.term.loaded, l.term.broken = c.loaded, c.broken
		_, known, leads := l.LateJobs("", 1)
		require.Equal(t, c.known, known)
		require.True(t, leads)
	}
}
