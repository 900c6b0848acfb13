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

// newDataCentres returns workers of which the first rack of 8 is in data centre a, and the
// two others in b.
func newDataCentres() *emul.Emulator {
	e := emul.New(31)
	e.AddWorkers(24, sched.Resources{CPU: 16000, Memory: 64 * gib})
	for i, w := range e.Workers {
		w.Member.DataCentre = "b"
		if i < 8 {
			w.Member.DataCentre = "a"
		}
	}
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	return e
}

// newEvacuable returns these workers and their leader.
func newEvacuable(evacuated ...sched.DataCentre) (*emul.Emulator, *emul.Leader) {
	e := newDataCentres()
	e.Evacuate(evacuated...)
	l := e.Lead()
	l.KeepEvents = true
	e.RunFor(time.Second)
	return e, l
}

// submitTasks submits a job of tasks that need half of a worker each.
func submitTasks(e *emul.Emulator, id sched.JobID, step sched.StepSpec, duration time.Duration) *emul.Job {
	step.Resources = sched.Resources{CPU: 8000, Memory: gib}
	return e.Submit(&sched.Workflow{ID: id, Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{Duration: duration})
}

// requireRunning asserts how many runs there are in data centres a and b.
func requireRunning(t *testing.T, e *emul.Emulator, a, b int) {
	t.Helper()
	requireNoViolations(t, e)
	var got [2]int
	for _, w := range e.Workers {
		if w.Member.DataCentre == "a" {
			got[0] += w.Running()
		} else {
			got[1] += w.Running()
		}
	}
	require.Equal(t, [2]int{a, b}, got)
}

// Guards against starts in an evacuated data centre, against ending what runs there,
// and against capacity that stays unused afterwards.
func TestEvacuation(t *testing.T) {
	perpetual := sched.StepSpec{Count: 46, Perpetual: true}
	t.Run("runs continue and tasks start elsewhere", func(t *testing.T) {
		e, l := newEvacuable()
		submitTasks(e, "short", sched.StepSpec{Count: 48}, 6*time.Second)
		e.RunFor(time.Second)
		requireRunning(t, e, 16, 32)
		e.Evacuate("a")
		e.RunFor(time.Second)
		submitTasks(e, "next", sched.StepSpec{Count: 48}, 6*time.Second)
		e.RunFor(3 * time.Second)
		requireRunning(t, e, 16, 32)
		e.RunFor(4 * time.Second)
		requireRunning(t, e, 0, 32)
		require.Equal(t, 8, requireEvent(t, l, "task waits")["evacuated"])
		e.Evacuate()
		e.RunFor(time.Second)
		requireRunning(t, e, 16, 32)
		require.Equal(t, 8, requireEvent(t, l, "evacuation begins")["workers"])
		require.Equal(t, sched.DataCentre("a"), requireEvent(t, l, "evacuation ends")["dataCentre"])
		requireAllEnded(t, e, endTimeout)
	})
	t.Run("a lost run starts elsewhere", func(t *testing.T) {
		e, l := newEvacuable()
		submitTasks(e, "p", sched.StepSpec{Count: 30, Perpetual: true}, 0)
		e.RunFor(3 * time.Second)
		e.Evacuate("a")
		e.RunFor(time.Second)
		before := l.Machine.Totals()
		require.Equal(t, 1, before.EvacuatedDataCentres)
		require.Positive(t, before.EvacuatedRuns)
		for _, w := range e.Workers[:8] {
			w.Crash(20 * time.Millisecond)
		}
		e.RunFor(10 * time.Second)
		requireRunning(t, e, 0, 30)
	})
	t.Run("a rack there is not waited for", func(t *testing.T) {
		e, _ := newEvacuable("a")
		submitTasks(e, "near", sched.StepSpec{Count: 2, Affinity: "r0", Estimate: time.Minute}, 20*time.Second)
		submitTasks(e, "gang", sched.StepSpec{Count: 4, Affinity: "r0", Estimate: time.Minute, Gang: true}, 20*time.Second)
		e.RunFor(300 * time.Millisecond)
		requireRunning(t, e, 0, 6)
	})
	t.Run("capacity there is not free", func(t *testing.T) {
		e, l := newEvacuable("a")
		submitTasks(e, "p", perpetual, 0)
		e.RunFor(3 * time.Second)
		a := requireEvent(t, l, "task waits")
		require.Equal(t, sched.MilliCPU(16*16000), a["total"])
		require.Equal(t, 8, a["evacuated"])
	})
	t.Run("all data centres", func(t *testing.T) {
		e, _ := newEvacuable("a", "b")
		submitTasks(e, "j", sched.StepSpec{Count: 3}, time.Second)
		e.RunFor(20 * time.Second)
		requireRunning(t, e, 0, 0)
		e.Evacuate("a")
		e.RunFor(time.Second)
		requireRunning(t, e, 0, 3)
		requireAllEnded(t, e, endTimeout)
	})
	t.Run("a gang that is partly started", func(t *testing.T) {
		e, l := newEvacuable()
		l.OrderCost = 5 * time.Millisecond
		e.RunFor(390 * time.Millisecond)
		submitTasks(e, "gang", sched.StepSpec{Count: 6, Affinity: "r0", Estimate: time.Minute, Gang: true}, 20*time.Second)
		e.Evacuate("a")
		e.RunFor(3 * time.Second)
		require.Equal(t, true, requireEvent(t, l, "start withdrawn")["evacuated"])
		requireRunning(t, e, 0, 6)
	})
	t.Run("an unknown data centre", func(t *testing.T) {
		l := newEvacuableOne()
		unknown := []sched.DataCentre{"A", "", "a "}
		for i := range 1000 {
			unknown = append(unknown, sched.DataCentre(fmt.Sprint(i)))
		}
		lines := len(l.cmds)
		l.update(flow.EvacuationsMsg{DataCentres: unknown, Asked: l.now})
		require.Less(t, len(l.cmds)-lines, 20)
		l.requireStart(t, "1")
		require.Zero(t, l.m.Totals().EvacuatedDataCentres)
	})
	t.Run("a new leader", func(t *testing.T) {
		e, l := newEvacuable()
		submitTasks(e, "j", sched.StepSpec{Count: 48}, 12*time.Second)
		e.RunFor(2 * time.Second)
		e.Evacuate("a")
		submitTasks(e, "next", sched.StepSpec{Count: 48}, 6*time.Second)
		l.Kill()
		e.RunFor(2 * time.Second)
		e.Lead()
		e.RunFor(5 * time.Second)
		requireRunning(t, e, 16, 32)
		requireAllEnded(t, e, endTimeout)
		requireNoViolations(t, e)
	})
}

// Guards against a start that comes later than the bound because orders are lost or
// held up on their way.
func TestEvacuationWhileOrdersAreLate(t *testing.T) {
	for seed := range uint64(8) {
		e := newScenario(seed+50, 24, 20*time.Second)
		e.Evacuate()
		l := e.Lead()
		e.LateShare, e.LoseAnswers, l.OrderCost = 0.1, 0.1, 3*time.Millisecond
		e.RunFor(4 * time.Second)
		e.Evacuate("dc0", "dc1")
		e.RunFor(7 * time.Second)
		e.Evacuate("dc2")
		e.RunFor(7 * time.Second)
		e.Evacuate()
		e.LateShare, e.LoseAnswers = 0, 0
		requireAllEnded(t, e, endTimeout)
		requireNoViolations(t, e)
	}
}

// newEvacuableOne returns a leader of one worker in data centre a that has read that
// nothing is evacuated.
func newEvacuableOne() *leaderOfOne {
	l := newLeaderWith(flow.WithEvacuateTime(5 * time.Second))
	l.update(flow.EvacuationsMsg{Asked: l.now})
	return l
}

// wait lets time pass while everything but the evacuations is read.
func (l *leaderOfOne) wait(d time.Duration) (starts []flow.StartCmd) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(100 * time.Millisecond)
		l.update(flow.ConfirmedMsg{Asked: l.now})
		more, _ := l.update(flow.WorkReadMsg{Asked: l.now})
		starts = append(starts, more...)
	}
	return starts
}

// Guards against starts that were ordered before the evacuation was known and that are
// sent, or sent again, afterwards.
func TestEvacuationWithdrawsStarts(t *testing.T) {
	evacuate := func(l *leaderOfOne) {
		l.update(flow.EvacuationsMsg{DataCentres: []sched.DataCentre{"a"}, Asked: l.now})
	}
	t.Run("not sent", func(t *testing.T) {
		l := newEvacuableOne()
		l.wait(100 * time.Millisecond)
		starts, _ := l.submit("1")
		require.Len(t, starts, 1)
		require.True(t, l.m.Wanted(l.now, "w", starts[0].Order.Run))
		evacuate(l)
		require.False(t, l.m.Wanted(l.now, "w", starts[0].Order.Run))
	})
	t.Run("not repeated", func(t *testing.T) {
		l := newEvacuableOne()
		l.wait(100 * time.Millisecond)
		starts, _ := l.submit("1")
		evacuate(l)
		lost := flow.Result{Worker: "w", Sent: l.now, Err: sched.ErrLost}
		again, _ := l.update(flow.StartResultMsg{Result: lost, Run: starts[0].Order.Run})
		require.Empty(t, again)
		require.Len(t, l.stops, 1, "the first copy may still be carried out")
	})
}

// Guards against starts while an evacuation may be unknown, and against tasks that wait
// for the end of an outage in which nobody can ask for one.
func TestStartsNeedRecentEvacuations(t *testing.T) {
	t.Run("never read", func(t *testing.T) {
		l := newLeaderWith(flow.WithEvacuateTime(5 * time.Second))
		l.wait(100 * time.Millisecond)
		starts, _ := l.submit("1")
		require.Empty(t, starts)
		starts, _ = l.update(flow.EvacuationsMsg{Asked: l.now})
		require.Len(t, starts, 1)
	})
	t.Run("read long ago", func(t *testing.T) {
		l := newEvacuableOne()
		l.wait(2600 * time.Millisecond)
		starts, _ := l.submit("1")
		require.Empty(t, starts)
		starts, _ = l.update(flow.EvacuationsMsg{Asked: l.now})
		require.Len(t, starts, 1)
	})
	t.Run("store is down for all", func(t *testing.T) {
		l := newEvacuableOne()
		l.wait(time.Second)
		l.now = l.now.Add(1600 * time.Millisecond)
		starts, _ := l.submit("1")
		require.Empty(t, starts, "the store may answer other entries")
		starts, _ = l.update(flow.PeersAskedMsg{Asked: l.now})
		require.Len(t, starts, 1)
	})
}

// Guards against cold workers that are preferred to others of the same suitability, and
// against workers that count as cold for ever because their registration is read again.
func TestColdWorkersComeLast(t *testing.T) {
	newCold := func(evacuable bool) *emul.Emulator {
		e := newDataCentres()
		if evacuable {
			e.Evacuate()
		}
		e.Lead()
		for _, w := range e.Workers[:8] {
			w.Member.ColdLeft = 4 * time.Second
		}
		e.RunFor(time.Second)
		submitTasks(e, "warm", sched.StepSpec{Count: 8}, time.Minute)
		e.RunFor(time.Second)
		return e
	}
	t.Run("after others", func(t *testing.T) {
		e := newCold(true)
		requireRunning(t, e, 0, 8)
		submitTasks(e, "more", sched.StepSpec{Count: 30}, time.Minute)
		e.RunFor(time.Second)
		requireRunning(t, e, 6, 32)
	})
	t.Run("not for ever", func(t *testing.T) {
		e := newCold(true)
		e.RunFor(4 * time.Second)
		submitTasks(e, "later", sched.StepSpec{Count: 8}, time.Minute)
		e.RunFor(time.Second)
		requireRunning(t, e, 8, 8)
	})
	t.Run("as before where nothing is evacuated", func(t *testing.T) { requireRunning(t, newCold(false), 8, 0) })
	t.Run("not recorded", func(t *testing.T) {
		warm, cold := []sched.Member{{Worker: "w"}}, []sched.Member{{Worker: "w", ColdLeft: time.Second}}
		require.Equal(t, flow.EncodeRoster(warm), flow.EncodeRoster(cold))
	})
}
