package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Guards against jobs that count for ever once they have ended, so that callers are
// refused although there is room, and against a job that is forgotten with its tasks.
func TestEndedJobsAreReleased(t *testing.T) {
	e := emul.New(1)
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	e.AddWorkers(2, sched.Resources{CPU: 16000, Memory: 64 << 30})
	leader := e.Lead()
	w := &sched.Workflow{ID: "1", Queue: "Q", Steps: []sched.StepSpec{{Count: 4, Resources: sched.Resources{CPU: 1000}}}}
	e.Submit(w, emul.Work{Duration: time.Second})
	e.RunFor(5 * time.Second)
	kept, _ := leader.Machine.Kept(e.Now())
	require.Equal(t, flow.Cost(w), kept.Cost, "the job has just ended")
	e.RunFor(20 * time.Second)
	kept, _ = leader.Machine.Kept(e.Now())
	require.Zero(t, kept.Cost)
	state, queue, known := leader.Machine.State("1")
	require.True(t, known)
	require.Equal(t, sched.JobCompleted, state)
	require.Equal(t, sched.QueueName("Q"), queue)
	require.NoError(t, e.Check())
}
