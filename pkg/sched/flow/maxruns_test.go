package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Guards against tasks that need nothing of a worker and all run at once, so that the
// leader follows more runs than it has memory for, and against a bound that keeps other
// jobs from running for ever.
func TestMaxRuns(t *testing.T) {
	const most = 400
	for name, c := range map[string]struct {
		step sched.StepSpec
		want sched.JobState
	}{
		"Tasks":     {sched.StepSpec{Count: 1000}, sched.JobCompleted},
		"Gang":      {sched.StepSpec{Count: most * 3 / 4, Gang: true}, sched.JobCompleted},
		"LargeGang": {sched.StepSpec{Count: most + 1, Gang: true}, sched.JobQueued},
		"Perpetual": {sched.StepSpec{Count: 1000, Perpetual: true}, sched.JobRunning},
	} {
		t.Run(name, func(t *testing.T) {
			e := emul.New(1)
			e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
			e.AddWorkers(2, sched.Resources{CPU: 16000, Memory: 64 << 30})
			leader := e.Lead(flow.WithMaxRuns(most))
			e.Submit(&sched.Workflow{ID: "1", Queue: "Q", Steps: []sched.StepSpec{c.step}}, emul.Work{Duration: time.Second})
			e.Submit(&sched.Workflow{ID: "2", Queue: "Q", Steps: []sched.StepSpec{{Count: 1}}}, emul.Work{Duration: time.Second})
			for range 200 {
				e.RunFor(100 * time.Millisecond)
				require.LessOrEqual(t, leader.Machine.Totals().Runs, most)
			}
			state, _, _ := leader.Machine.State("1")
			require.Equal(t, c.want, state)
			state, _, _ = leader.Machine.State("2")
			require.Equal(t, sched.JobCompleted, state)
			require.NoError(t, e.Check())
		})
	}
}
