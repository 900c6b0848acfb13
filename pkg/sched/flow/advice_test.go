package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// advisedScenario submits four jobs of two steps to a queue with an adviser, on
// 40 workers.
func advisedScenario(permittedShare float64) (*emul.Emulator, []*emul.Job) {
	e := emul.New(41)
	e.AddWorkers(40, sched.Resources{CPU: 16000, Memory: 64 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3, Advised: true})
	e.Adviser = emul.Adviser{Share: permittedShare, Decide: 20 * time.Millisecond, Each: 2 * time.Millisecond, Valid: 3 * time.Second}
	e.Lead()
	e.RunFor(time.Second)
	first := sched.StepSpec{Count: 4, Resources: sched.Resources{CPU: 4000, Memory: gib}}
	second := first
	second.After = []int{0}
	var out []*emul.Job
	for _, id := range []sched.JobID{"a", "b", "c", "d"} {
		w := &sched.Workflow{ID: id, Queue: "Q", Steps: []sched.StepSpec{first, second}}
		out = append(out, e.Submit(w, emul.Work{Duration: 500 * time.Millisecond}))
	}
	return e, out
}

// Guards against starts without a ticket, against a step that waits although
// the adviser permits a worker, and against calls that ask about every worker.
func TestAdvisedQueue(t *testing.T) {
	t.Run("ManyWorkers", func(t *testing.T) {
		e, _ := advisedScenario(0.5)
		requireAllEnded(t, e, 4*time.Second)
		requireNoViolations(t, e)
		require.Zero(t, e.Counts["NoTicket"])
		require.LessOrEqual(t, e.Counts["Advice"], 16, "two calls for a step at most")
	})
	t.Run("FewWorkers", func(t *testing.T) {
		e, _ := advisedScenario(0.05)
		requireAllEnded(t, e, 20*time.Second)
		requireNoViolations(t, e)
		require.Zero(t, e.Counts["NoTicket"])
	})
	t.Run("AdviserIsDown", func(t *testing.T) {
		e, jobs := advisedScenario(0.5)
		e.Adviser.Down = true
		e.RunFor(3 * time.Second)
		e.Adviser.Down = false
		requireAllEnded(t, e, 6*time.Second)
		requireNoViolations(t, e)
		require.Equal(t, sched.JobCompleted, jobs[3].State)
	})
	t.Run("WorkersAreBornAgain", func(t *testing.T) {
		e, _ := advisedScenario(0.5)
		e.RunFor(200 * time.Millisecond)
		for _, w := range e.Workers {
			w.Crash(20 * time.Millisecond)
		}
		requireAllEnded(t, e, 10*time.Second)
		requireNoViolations(t, e)
	})
}

// Guards against a run of a queue with an adviser that a new leader stops
// instead of adopting, because the new leader has no ticket for it.
func TestAdvisedRunOutlivesItsLeader(t *testing.T) {
	e, _ := advisedScenario(0.5)
	e.RunFor(300 * time.Millisecond)
	e.Newest().Kill()
	e.RunFor(1500 * time.Millisecond)
	e.Lead()
	requireAllEnded(t, e, 6*time.Second)
	requireNoViolations(t, e)
}
