package flow_test

import (
	"fmt"
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

// manyTasks returns a deployment with one worker that runs n small tasks of one job, a
// perpetual task, and a step that depends on the small ones. All small tasks end soon.
func manyTasks(n int) (*emul.Emulator, *emul.Leader) {
	e := emul.New(43)
	e.AddWorkers(1, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	l := e.Lead()
	e.RunFor(time.Second)
	lasting := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 1000, Memory: gib}, Perpetual: true}
	e.Submit(&sched.Workflow{ID: "lasting", Queue: "Q", Steps: []sched.StepSpec{lasting}}, emul.Work{})
	small := sched.StepSpec{Count: n, Resources: sched.Resources{CPU: 10}, Estimate: 3 * time.Second}
	last := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 10}, Estimate: time.Second, After: []int{0}}
	e.Submit(&sched.Workflow{ID: "many", Queue: "Q", Steps: []sched.StepSpec{small, last}}, emul.Work{Duration: 3 * time.Second})
	e.RunUntil(2*time.Second, func() bool { return e.Running() == n+1 })
	return e, l
}

// requireEachRanOnce asserts that the jobs of manyTasks end without a second run of any
// of their tasks.
func requireEachRanOnce(t *testing.T, e *emul.Emulator, n int) {
	t.Helper()
	requireAllEnded(t, e, 12*time.Second)
	requireNoViolations(t, e)
	require.Equal(t, n+2, e.Counts["Runs"], "each task runs once")
	require.Equal(t, 1, e.Running(), "the perpetual task runs on")
}

// Guards against tasks that have succeeded and start again, because the worker has more
// ends than one report lists and a run that the report leaves out counts as lost.
func TestEndsBeyondOneReportAreNotLostRuns(t *testing.T) {
	for _, n := range []int{499, 500, 501, 1700} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			e, _ := manyTasks(n)
			e.SetStoreDown(true)
			e.RunFor(7 * time.Second)
			e.SetStoreDown(false)
			requireEachRanOnce(t, e, n)
		})
	}
}

// Guards against tasks that have succeeded and start again, and against leases that
// expire, because a new leader cannot record ends and so does not get the others listed.
func TestEndsBeyondOneReportAfterTakeover(t *testing.T) {
	for _, n := range []int{501, 1700} {
		for _, outage := range []time.Duration{3 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprint(n, outage), func(t *testing.T) {
				e, l := manyTasks(n)
				l.Kill()
				e.RunFor(3500 * time.Millisecond)
				e.Lead()
				e.SetStoreDown(true)
				e.RunFor(outage)
				e.SetStoreDown(false)
				requireEachRanOnce(t, e, n)
			})
		}
	}
}

// Guards against a leader that asks a worker again without a pause while it cannot record
// the ends that the worker lists.
func TestPartialReportsAreNotAskedForWithoutPause(t *testing.T) {
	e, l := manyTasks(700)
	l.Kill()
	e.RunFor(3500 * time.Millisecond)
	e.Lead()
	e.SetStoreDown(true)
	before := e.Counts["Holds"]
	e.RunFor(3 * time.Second)
	require.Less(t, e.Counts["Holds"]-before, 20)
}
