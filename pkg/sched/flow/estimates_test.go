package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against a new leader that loses the interference estimates and learns
// them again by letting latency-critical tasks miss their targets.
func TestEstimatesSurviveLeaderChange(t *testing.T) {
	blamedAfter := func(keepEstimates bool) int {
		e := emul.New(51)
		e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
		e.AddQueue(sched.Queue{Name: "Serve"})
		e.AddQueue(sched.Queue{Name: "Fill", Priority: 2, MaxAttempts: 3})
		e.Lead()
		critical := sched.StepSpec{
			Count: 6, AntiAffinity: 1, Resources: sched.Resources{CPU: 6000, Memory: gib}, Perpetual: true,
			Image: "serve-a", TailTarget: 100 * time.Millisecond,
		}
		e.Submit(&sched.Workflow{ID: "serve", Queue: "Serve", Steps: []sched.StepSpec{critical}}, emul.Work{})
		submitBestEffort := func(id sched.JobID) {
			step := sched.StepSpec{
				Count: 12, Resources: sched.Resources{CPU: 8000, Memory: gib}, Checkpoint: true, BestEffort: true, Image: "fill-a",
			}
			e.Submit(&sched.Workflow{ID: id, Queue: "Fill", Steps: []sched.StepSpec{step}}, emul.Work{Duration: 2 * time.Second})
		}
		e.RunFor(2 * time.Second)
		submitBestEffort("before")
		e.RunFor(20 * time.Second)
		e.Newest().Kill()
		if !keepEstimates {
			e.ForgetEstimates()
		}
		e.Lead()
		e.RunFor(2 * time.Second)
		blamed := e.Counts["Note.images interfere"]
		submitBestEffort("after")
		requireAllEnded(t, e, time.Minute)
		requireNoViolations(t, e)
		return e.Counts["Note.images interfere"] - blamed
	}
	require.NotZero(t, blamedAfter(false), "without the stored estimates the pair is learned again")
	require.Zero(t, blamedAfter(true))
}
