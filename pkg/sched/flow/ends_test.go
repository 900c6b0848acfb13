package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// submitTask submits a job with one task of the given duration.
func submitTask(e *emul.Emulator, id sched.JobID, d time.Duration) {
	step := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 1000, Memory: gib}, Estimate: d}
	e.Submit(&sched.Workflow{ID: id, Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{Duration: d})
}

// requireCompleted asserts that a job is completed within a time.
func requireCompleted(t *testing.T, e *emul.Emulator, l *emul.Leader, id sched.JobID, within time.Duration) {
	t.Helper()
	require.True(t, e.RunUntil(within, func() bool {
		state, _, _ := l.Machine.State(id)
		return state == sched.JobCompleted
	}), "%s is not completed", id)
}

// Guards against ends that are noticed late because a worker is not asked again after it
// reported an earlier one.
func TestEndsInQuickSuccessionAreNoticed(t *testing.T) {
	e := emul.New(41)
	e.AddWorkers(1, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	l := e.Lead()
	e.RunFor(time.Second)
	submitTask(e, "first", time.Second)
	submitTask(e, "second", 1100*time.Millisecond)
	submitTask(e, "third", 1200*time.Millisecond)
	before := e.Counts["Holds"]
	requireCompleted(t, e, l, "first", 1100*time.Millisecond)
	requireCompleted(t, e, l, "second", 100*time.Millisecond)
	requireCompleted(t, e, l, "third", 100*time.Millisecond)
	require.LessOrEqual(t, e.Counts["Holds"]-before, 4, "one renewal for the start, and one for each end")
}

// Guards against leases that expire while ends cannot be recorded.
func TestLeasesAreRenewedWhileEndsAreNotRecorded(t *testing.T) {
	e := emul.New(42)
	e.AddWorkers(1, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	l := e.Lead()
	e.RunFor(time.Second)
	submitTask(e, "short", time.Second)
	submitTask(e, "long", 10*time.Second)
	e.RunFor(900 * time.Millisecond)
	e.LoseCommits(1)
	e.RunFor(7 * time.Second)
	e.LoseCommits(0)
	requireCompleted(t, e, l, "long", 14*time.Second)
	require.Equal(t, 2, e.Counts["Runs"], "each task runs once")
	requireNoViolations(t, e)
}
