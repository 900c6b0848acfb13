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
// second, queue Free has none.
func newLateLeader() *leaderOfOne {
	l := newLeaderOfOne()
	l.update(flow.ConfigMsg{Fleet: &sched.FleetConfig{Revision: 2, Queues: map[sched.QueueName]sched.Queue{
		"Q": {Name: "Q", Service: "Pool", Stretch: 2, Target: time.Second}, "R": {Name: "R", Service: "Pool", Target: time.Second},
		"Free": {Name: "Free", Service: "Pool"},
	}}})
	return l
}

// twoSteps is a job of two steps of 1 s, whose objective in queue Q is 5 s. Its first
// step fits on the worker only if cpu is at most 8000.
func twoSteps(id sched.JobID, q sched.QueueName, cpu sched.MilliCPU) *sched.Workflow {
	step := sched.StepSpec{Count: 1, Estimate: time.Second, Resources: sched.Resources{CPU: cpu}}
	next := step
	next.After = []int{0}
	return &sched.Workflow{ID: id, Queue: q, Steps: []sched.StepSpec{step, next}}
}

// accept adds a job. The worker accepts the starts that follow.
func (l *leaderOfOne) accept(w *sched.Workflow) {
	starts, _ := l.update(flow.JobMsg{Accepted: l.now.UnixMilli(), Job: w})
	for _, c := range starts {
		l.running = append(l.running, sched.RunReport{Run: c.Order.Run})
		l.update(flow.StartResultMsg{Result: flow.Result{Worker: "w", Sent: l.now}, Run: c.Order.Run, Reply: sched.OrderReply{Clock: time.Duration(l.now.UnixNano()), HasClock: true}})
	}
}

// runFor lets time pass while the worker reports its runs each second.
func (l *leaderOfOne) runFor(d time.Duration) {
	for ; d >= 2*time.Second; d -= time.Second {
		l.tickAfter(time.Second)
		l.report(sched.RenewReport{Running: l.running})
	}
	l.tickAfter(d)
}

// tickAfter lets time pass without messages and then delivers a tick.
func (l *leaderOfOne) tickAfter(d time.Duration) {
	l.now = l.now.Add(d)
	l.update(flow.ConfirmedMsg{Asked: l.now})
	l.update(sched.TickMsg{})
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
		name  string
		queue sched.QueueName
		cpu   sched.MilliCPU
		after time.Duration
		late  time.Duration
	}{
		{"waiting, just in time", "Q", 9000, 3 * time.Second, 0},
		{"waiting, too late", "Q", 9000, 3*time.Second + time.Millisecond, time.Millisecond},
		{"running, just in time", "Q", 1000, 4 * time.Second, 0},
		{"running, too late", "Q", 1000, 4*time.Second + time.Millisecond, time.Millisecond},
		{"past its objective", "Q", 1000, 7 * time.Second, 3 * time.Second},
		{"objective without stretch", "R", 9000, 2 * time.Second, time.Second},
		{"no objective", "Free", 9000, time.Minute, 0},
		{"unknown queue", "Gone", 9000, time.Minute, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLateLeader()
			l.tickAfter(time.Second)
			l.accept(twoSteps("a", c.queue, c.cpu))
			l.runFor(c.after)
			if c.late == 0 {
				requireLate(t, l, "")
				return
			}
			j := requireLate(t, l, "", "a")[0]
			require.Equal(t, c.late, j.Late)
			require.Equal(t, c.after, j.Age)
			require.Equal(t, 2, j.TasksLeft)
			require.Equal(t, c.cpu == 9000, j.Waits == "no suitable worker with free capacity")
		})
	}
}

// Guards against a job that ended and is still shown as late, and against one that a
// caller's estimate of 0 makes late at once.
func TestNotLate(t *testing.T) {
	t.Run("cancelled after the pass", func(t *testing.T) {
		l := newLateLeader()
		l.accept(twoSteps("a", "Q", 9000))
		l.tickAfter(time.Minute)
		requireLate(t, l, "", "a")
		require.Equal(t, 1, l.m.Totals().Late)
		l.update(flow.CancelMsg{Job: "a"})
		requireLate(t, l, "")
		require.Zero(t, l.m.Totals().Late)
	})
	t.Run("no estimate and no target", func(t *testing.T) {
		l := newLateLeader()
		l.update(flow.ConfigMsg{Fleet: &sched.FleetConfig{
			Revision: 3, Queues: map[sched.QueueName]sched.Queue{"Q": {Name: "Q", Service: "Pool", Stretch: 2}},
		}})
		w := twoSteps("a", "Q", 9000)
		w.Steps[0].Estimate, w.Steps[1].Estimate = 0, 0
		l.accept(w)
		l.tickAfter(time.Minute)
		requireLate(t, l, "")
	})
}

// Guards against a repeated job that counts by occurrences which are not due yet.
func TestRepeatedJobIsLateByOpenOccurrences(t *testing.T) {
	l := newLateLeader()
	w := twoSteps("a", "Q", 9000)
	w.Repeat, w.Interval, w.First = 3, 10*time.Second, l.now.Add(10*time.Second).UnixMilli()
	l.accept(w)
	l.tickAfter(13 * time.Second)
	requireLate(t, l, "")
	l.tickAfter(11 * time.Second)
	j := requireLate(t, l, "", "a")[0]
	require.Equal(t, 14*time.Second, j.Age, "the first occurrence is the one that is most late")
	require.Equal(t, 11*time.Second, j.Late)
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
	late := func() []sched.LateJob {
		list, known := l.Machine.LateJobs(e.Now(), "Q", 1)
		require.True(t, known)
		return list.Jobs
	}
	e.RunFor(time.Minute)
	require.Empty(t, late())
	e.Workers[0].Drain(time.Minute)
	e.RunFor(4 * time.Second)
	require.Empty(t, late())
	e.RunFor(8 * time.Second)
	require.Len(t, late(), 1)
	require.Equal(t, 2, late()[0].TasksLeft)
	require.Less(t, late()[0].Late, 8*time.Second)
}

// Guards against an empty list that looks as if no job were late, from a machine that
// has not loaded its state, was paused, may have been replaced, or has resigned.
func TestLateJobsAreNotKnown(t *testing.T) {
	requireUnknown := func(t *testing.T, m *flow.Machine, now time.Time) {
		t.Helper()
		_, known := m.LateJobs(now, "", 1)
		require.False(t, known)
	}
	t.Run("loading", func(t *testing.T) {
		l := &leaderOfOne{m: flow.New(1), now: time.Unix(1_700_000_000, 0)}
		l.tickAfter(time.Second)
		requireUnknown(t, l.m, l.now)
	})
	t.Run("paused", func(t *testing.T) {
		l := newLateLeader()
		l.tickAfter(time.Second)
		requireLate(t, l, "")
		requireUnknown(t, l.m, l.now.Add(4*time.Second))
	})
	t.Run("not confirmed", func(t *testing.T) {
		l := newLateLeader()
		l.member.Worker = "silent"
		l.tickAfter(time.Second)
		l.update(flow.MembersMsg{Members: []sched.Member{{Worker: "x", Service: "Pool"}, {Worker: "y", Service: "Pool"}, {Worker: "z", Service: "Pool"}}})
		l.now = l.now.Add(2500 * time.Millisecond)
		l.update(sched.TickMsg{})
		requireUnknown(t, l.m, l.now)
	})
	t.Run("resigned", func(t *testing.T) {
		l := newLateLeader()
		l.tickAfter(time.Second)
		l.update(flow.ResignMsg{})
		requireUnknown(t, l.m, l.now)
	})
}

// Guards against a list without bound or order, and against jobs that are left out and
// not counted.
func TestLateJobsAreBounded(t *testing.T) {
	l := newLateLeader()
	for i := range 5 {
		l.accept(twoSteps(sched.JobID(fmt.Sprint(i)), []sched.QueueName{"Q", "R"}[i%2], 9000))
		l.now = l.now.Add(time.Second)
	}
	l.tickAfter(time.Minute)
	requireLate(t, l, "", "1", "0", "3", "2", "4")
	requireLate(t, l, "R", "1", "3")
	list, _ := l.m.LateJobs(l.now, "Q", 2)
	require.Len(t, list.Jobs, 2)
	require.Equal(t, 1, list.More)
}

// Guards against a late job that is logged again and again, against a flood of lines
// when many become late at once, and against a pass over all jobs at each tick.
func TestLateJobsAreLoggedOnce(t *testing.T) {
	l := newLateLeader()
	for i := range 20 {
		l.accept(twoSteps(sched.JobID(fmt.Sprint(i)), "Q", 9000))
	}
	lines := func(d time.Duration) (n int) {
		l.cmds = nil
		l.tickAfter(d)
		for _, c := range l.cmds {
			if c, ok := c.(flow.LogCmd); ok && c.Event == "job is late" {
				require.Equal(t, "no suitable worker with free capacity", attrsOf(c)["reason"])
				n++
			}
		}
		return n
	}
	require.Equal(t, 8, lines(time.Minute))
	require.Zero(t, lines(990*time.Millisecond))
	require.Equal(t, 8, lines(10*time.Millisecond))
	require.Equal(t, 4, lines(time.Second))
	require.Zero(t, lines(time.Second))
}
