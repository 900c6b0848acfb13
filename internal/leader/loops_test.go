package leader

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Guards against a replaced leader that starts a job of the newer term, because the items
// that it reads again are in the order of their keys.
func TestNewerTermComesBeforeItsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTestTerm(t, memory.New().Client())
		x.post(flow.TakeoverMsg{})
		w := &sched.Workflow{ID: "new", Queue: "Q", Steps: []sched.StepSpec{{Count: 1}}}
		x.postChanges([]sched.Change{
			{Item: sched.Item{Key: layout.JobKey("new"), Version: 9, Value: layout.Encode(layout.Job{Workflow: w})}},
			{Item: sched.Item{Key: layout.TermKey, Version: 8, Value: layout.Encode(layout.Term{Number: 2, Name: "b"})}},
		}, nil)
		require.Error(t, x.ctx.Err(), "the term has ended")
		_, _, known := x.machine.State("new")
		require.False(t, known)
	})
}
