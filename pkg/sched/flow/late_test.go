package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// newLateLeader leads one worker. Queue Q has an objective of twice the chain and a
// second, R of a second more than the chain, and Free has none.
func newLateLeader() *leaderOfOne {
	l := newLeaderOfOne()
	l.update(flow.ConfigMsg{Fleet: &sched.FleetConfig{Revision: 2, Queues: map[sched.QueueName]sched.Queue{
		"Q": {Service: "Pool", Stretch: 2, Target: time.Second}, "R": {Service: "Pool", Target: time.Second}, "S": {Service: "Pool", Stretch: 2}, "Free": {Service: "Pool"},
	}}})
	return l
}

// accept adds a job of two steps of 1 s, whose objective in queue Q is 5 s. They fit on
// the worker only if cpu is at most 8000. The worker accepts the starts that follow.
func (l *leaderOfOne) accept(id sched.JobID, q sched.QueueName, cpu sched.MilliCPU, repeat int) {
	step := sched.StepSpec{Count: 1, Estimate: time.Second, Resources: sched.Resources{CPU: cpu}}
	if q == "S" {
		step.Estimate = 0
	}
	next := step
	next.After = []int{0}
	starts, _ := l.update(flow.JobMsg{Accepted: l.now.UnixMilli(), Job: &sched.Workflow{
		ID: id, Queue: q, Steps: []sched.StepSpec{step, next},
		Repeat: repeat, Interval: 10 * time.Second, First: l.now.Add(10 * time.Second).UnixMilli(),
	}})
	for _, c := range starts {
		l.running = append(l.running, sched.RunReport{Run: c.Order.Run})
		l.update(flow.StartResultMsg{Result: flow.Result{Worker: "w", Sent: l.now}, Run: c.Order.Run, Reply: sched.OrderReply{Clock: time.Duration(l.now.UnixNano()), HasClock: true}})
	}
}

// runFor lets time pass while the worker reports its runs, and ends with a tick. All
// steps but the first are of a second.
func (l *leaderOfOne) runFor(d time.Duration) {
	for d > 0 {
		step := (d-1)%time.Second + 1
		d -= step
		l.now = l.now.Add(step)
		l.update(flow.ConfirmedMsg{Asked: l.now})
		l.update(sched.TickMsg{})
		l.report(sched.RenewReport{Running: l.running})
	}
}

// requireLate asserts which jobs of a queue are late, the most late first.
func requireLate(t *testing.T, l *leaderOfOne, q sched.QueueName, ids ...sched.JobID) []sched.LateJob {
	t.Helper()
	list, known := l.m.LateJobs(l.now, q, sched.MaxLateJobs)
	require.True(t, known)
	var got []sched.JobID
	for _, j := range list.Jobs {
		got = append(got, j.Job)
	}
	require.Equal(t, ids, got)
	return list.Jobs
}

// Guards against a job that is shown as late although it can still complete in time, or
// that is not shown although it cannot.
func TestLateAtTheBorder(t *testing.T) {
	for _, c := range []struct {
		name        string
		queue       sched.QueueName
		cpu         sched.MilliCPU
		repeat      int
		after, late time.Duration
	}{
		{"waiting, just in time", "Q", 9000, 0, 3 * time.Second, 0},
		{"waiting, too late", "Q", 9000, 0, 3*time.Second + time.Millisecond, time.Millisecond},
		{"running, just in time", "Q", 1000, 0, 4 * time.Second, 0},
		{"running, too late", "Q", 1000, 0, 4*time.Second + time.Millisecond, time.Millisecond},
		{"past its objective", "Q", 1000, 0, 7 * time.Second, 3 * time.Second},
		{"objective without stretch", "R", 9000, 0, 2 * time.Second, time.Second},
		{"no objective", "Free", 9000, 0, time.Minute, 0},
		{"unknown queue", "Gone", 9000, 0, time.Minute, 0},
		{"neither estimate nor target", "S", 9000, 0, time.Minute, 0},
		{"first occurrence in time", "Q", 9000, 3, 13 * time.Second, 0},
		{"first occurrence late", "Q", 9000, 3, 24 * time.Second, 11 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLateLeader()
			l.runFor(time.Second)
			l.accept("a", c.queue, c.cpu, c.repeat)
			l.runFor(c.after)
			if c.late == 0 {
				requireLate(t, l, "")
				return
			}
			j := requireLate(t, l, "", "a")[0]
			require.Equal(t, c.late, j.Late)
			require.Equal(t, 2, j.TasksLeft)
			require.Equal(t, c.cpu == 9000, j.Waits == "no suitable worker with free capacity")
		})
	}
}

// Guards against a perpetual job that is late by its age, and against one whose task has
// no run for longer than the objective and that is not shown.
func TestPerpetualJobIsLateWhileATaskIsAway(t *testing.T) {
	e := emul.New(7)
	e.AddWorkers(1, sched.Resources{CPU: 8000, Memory: 32 * gib})
	e.AddQueue(sched.Queue{Name: "Q", Target: 5 * time.Second})
	l := e.Lead()
	step := sched.StepSpec{Count: 2, Resources: sched.Resources{CPU: 3000, Memory: gib}, Perpetual: true}
	e.Submit(&sched.Workflow{ID: "serve", Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{})
	lateAfter := func(d time.Duration) int {
		e.RunFor(d)
		list, known := l.Machine.LateJobs(e.Now(), "Q", 1)
		require.True(t, known)
		return len(list.Jobs)
	}
	require.Zero(t, lateAfter(time.Minute))
	more := e.Submit(&sched.Workflow{ID: "more", Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{})
	require.Zero(t, lateAfter(4*time.Second), "it has not run yet")
	require.Equal(t, 1, lateAfter(3*time.Second))
	e.Cancel(more)
	require.Zero(t, lateAfter(2*time.Second))
	e.Workers[0].Drain(time.Minute)
	require.Zero(t, lateAfter(4*time.Second))
	require.Equal(t, 1, lateAfter(8*time.Second))
}

// Guards against an empty list that looks as if no job were late, from a machine that
// has not loaded its state, was paused, may have been replaced, or has resigned.
func TestLateJobsAreNotKnown(t *testing.T) {
	for name, f := range map[string]func(*leaderOfOne){
		"loading": func(l *leaderOfOne) { l.m = flow.New(2); l.runFor(time.Second) },
		"paused":  func(l *leaderOfOne) { l.now = l.now.Add(4 * time.Second) },
		"not confirmed": func(l *leaderOfOne) {
			l.update(flow.MembersMsg{Members: []sched.Member{{Worker: "x"}, {Worker: "y"}, {Worker: "z"}}})
			l.now = l.now.Add(2500 * time.Millisecond)
			l.update(sched.TickMsg{})
		},
		"resigned": func(l *leaderOfOne) { l.update(flow.ResignMsg{}) },
	} {
		t.Run(name, func(t *testing.T) {
			l := newLateLeader()
			l.runFor(time.Second)
			requireLate(t, l, "")
			f(l)
			_, known := l.m.LateJobs(l.now, "", 1)
			require.False(t, known)
		})
	}
}

// Guards against a list without bound or order, and against one with jobs that ended.
func TestLateJobsAreBounded(t *testing.T) {
	l := newLateLeader()
	for i := range 5 {
		l.accept(sched.JobID(fmt.Sprint(i)), []sched.QueueName{"Q", "R"}[i%2], 9000, 0)
		l.runFor(time.Second)
	}
	l.runFor(time.Minute)
	requireLate(t, l, "", "1", "0", "3", "2", "4")
	requireLate(t, l, "R", "1", "3")
	list, _ := l.m.LateJobs(l.now, "Q", 2)
	require.Len(t, list.Jobs, 2)
	require.Equal(t, 1, list.More)
	l.update(flow.CancelMsg{Job: "0"})
	requireLate(t, l, "", "1", "3", "2", "4")
	require.Equal(t, 4, l.m.Totals().Late)
}

// Guards against a late job that is logged again and again, against a flood of lines
// when many become late at once, and against a pass over all jobs at each tick.
func TestLateJobsAreLoggedOnce(t *testing.T) {
	l := newLateLeader()
	for i := range 20 {
		l.accept(sched.JobID(fmt.Sprint(i)), "Q", 9000, 0)
	}
	lines := func(d time.Duration) (n int) {
		l.cmds = nil
		l.runFor(d)
		for _, c := range l.cmds {
			if c, ok := c.(flow.LogCmd); ok && c.Event == "job is late" {
				require.Equal(t, "no suitable worker with free capacity", attrsOf(c)["reason"])
				n++
			}
		}
		return n
	}
	require.Zero(t, lines(3*time.Second))
	for _, want := range []int{8, 8, 4, 0} {
		require.Equal(t, want, lines(time.Second))
		require.Zero(t, lines(10*time.Millisecond))
	}
}
