package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against runs that end because their worker answers slowly for a while.
// The worker gets the lease renewals, so the runs can continue.
func TestSlowAnswersEndNoRuns(t *testing.T) {
	for _, delay := range []time.Duration{350 * time.Millisecond, 700 * time.Millisecond, time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			e := emul.New(31)
			e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
			e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
			e.Lead()
			step := sched.StepSpec{Count: 32, Resources: sched.Resources{CPU: 6000, Memory: gib}, Estimate: 30 * time.Second}
			e.Submit(&sched.Workflow{ID: "job", Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{Duration: 30 * time.Second})
			e.RunFor(time.Second)
			require.Equal(t, 32, e.Running())
			for _, w := range e.Workers[:3] {
				w.AnswerDelay = delay
			}
			e.RunFor(12 * time.Second)
			for _, w := range e.Workers {
				w.AnswerDelay = 0
			}
			requireAllEnded(t, e, 40*time.Second)
			requireNoViolations(t, e)
			require.Equal(t, 32, e.Counts["Runs"], "each task runs once")
		})
	}
}
