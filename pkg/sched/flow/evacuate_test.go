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
		w.Member.DataCentre = sched.DataCentre([]string{"a", "b", "b"}[i/8])
	}
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	return e
}

// newEvacuable returns the workers of newDataCentres and their leader, which reads the
// evacuations.
func newEvacuable(evacuated ...sched.DataCentre) (*emul.Emulator, *emul.Leader) {
	e := newDataCentres()
	e.Evacuate(evacuated...)
	l := e.Lead()
	l.KeepEvents = true
	e.RunFor(time.Second)
	return e, l
}

// submitTasks submits a job of tasks of 6 s that need half of a worker each.
func submitTasks(e *emul.Emulator, step sched.StepSpec) {
	id := sched.JobID(fmt.Sprint(len(e.Jobs())))
	step.Resources, step.Estimate = sched.Resources{CPU: 8000, Memory: gib}, time.Minute
	e.Submit(&sched.Workflow{ID: id, Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{Duration: 6 * time.Second})
}

// requireRunning asserts how many runs there are in data centres a and b after a time.
func requireRunning(t *testing.T, e *emul.Emulator, after time.Duration, a, b int) {
	t.Helper()
	e.RunFor(after)
	requireNoViolations(t, e)
	got := map[sched.DataCentre]int{}
	for _, w := range e.Workers {
		got[w.Member.DataCentre] += w.Running()
	}
	require.Equal(t, map[sched.DataCentre]int{"a": a, "b": b}, got)
}

// Guards against starts in an evacuated data centre, against ending what runs there,
// and against capacity that counts although it cannot be used, or is not used afterwards.
func TestEvacuation(t *testing.T) {
	t.Run("runs continue and tasks start elsewhere", func(t *testing.T) {
		e, l := newEvacuable()
		submitTasks(e, sched.StepSpec{Count: 48})
		requireRunning(t, e, time.Second, 16, 32)
		e.Evacuate("a")
		submitTasks(e, sched.StepSpec{Count: 48})
		requireRunning(t, e, 4*time.Second, 16, 32)
		require.Equal(t, 16, l.Machine.Totals().EvacuatedRuns)
		requireRunning(t, e, 4*time.Second, 0, 32)
		waits := requireEvent(t, l, "task waits")
		require.Equal(t, []any{8, sched.MilliCPU(16 * 16000)}, []any{waits["evacuated"], waits["total"]})
		e.Evacuate()
		requireRunning(t, e, time.Second, 16, 32)
		require.Equal(t, 8, requireEvent(t, l, "evacuation begins")["workers"])
		require.Equal(t, sched.DataCentre("a"), requireEvent(t, l, "evacuation ends")["dataCentre"])
	})
	t.Run("a lost run starts elsewhere", func(t *testing.T) {
		e, _ := newEvacuable()
		submitTasks(e, sched.StepSpec{Count: 30, Perpetual: true})
		e.RunFor(3 * time.Second)
		e.Evacuate("a")
		e.RunFor(time.Second)
		for _, w := range e.Workers[:8] {
			w.Crash(20 * time.Millisecond)
		}
		requireRunning(t, e, 10*time.Second, 0, 30)
	})
	t.Run("a rack there is not waited for", func(t *testing.T) {
		e, _ := newEvacuable("a")
		submitTasks(e, sched.StepSpec{Count: 2, Affinity: "r0"})
		submitTasks(e, sched.StepSpec{Count: 4, Affinity: "r0", Gang: true})
		requireRunning(t, e, 300*time.Millisecond, 0, 6)
	})
	t.Run("all data centres", func(t *testing.T) {
		e, _ := newEvacuable("a", "b")
		submitTasks(e, sched.StepSpec{Count: 3})
		requireRunning(t, e, 20*time.Second, 0, 0)
		e.Evacuate("a")
		requireRunning(t, e, time.Second, 0, 3)
	})
	t.Run("a gang that is partly started", func(t *testing.T) {
		e, l := newEvacuable()
		l.OrderCost = 5 * time.Millisecond
		e.RunFor(390 * time.Millisecond) // The next read comes after some of the starts.
		submitTasks(e, sched.StepSpec{Count: 6, Affinity: "r0", Gang: true})
		e.Evacuate("a")
		requireRunning(t, e, 3*time.Second, 0, 6)
		require.Equal(t, true, requireEvent(t, l, "start withdrawn")["evacuated"])
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
	l.now = l.now.Add(100 * time.Millisecond)
	return l
}

// Guards against a start without an answer that is sent again, or left to be carried out.
func TestEvacuationRepeatsNoStart(t *testing.T) {
	l := newEvacuableOne()
	starts, _ := l.submit("1")
	l.update(flow.EvacuationsMsg{DataCentres: []sched.DataCentre{"a"}, Asked: l.now})
	lost := flow.Result{Worker: "w", Sent: l.now, Err: sched.ErrLost}
	again, _ := l.update(flow.StartResultMsg{Result: lost, Run: starts[0].Order.Run})
	require.Empty(t, again)
	require.Len(t, l.stops, 1)
}

// Guards against starts while an evacuation may be unknown, and against tasks that wait
// for the end of an outage in which nobody can ask for one.
func TestStartsNeedRecentEvacuations(t *testing.T) {
	l := newLeaderWith(flow.WithEvacuateTime(5 * time.Second))
	l.now = l.now.Add(100 * time.Millisecond)
	requireStarts := func(want int, msg sched.Msg, why string) {
		t.Helper()
		starts, _ := l.update(msg)
		require.Len(t, starts, want, why)
	}
	starts, _ := l.submit("1")
	require.Empty(t, starts, "never read")
	requireStarts(1, flow.EvacuationsMsg{Asked: l.now}, "read")
	l.now = l.now.Add(time.Second)
	l.update(flow.ConfirmedMsg{Asked: l.now})
	l.now = l.now.Add(1600 * time.Millisecond)
	starts, _ = l.submit("2")
	require.Empty(t, starts, "the store may answer other entries")
	requireStarts(1, flow.PeersAskedMsg{Asked: l.now}, "the store is down for all")
	l.now = l.now.Add(100 * time.Millisecond)
	l.update(flow.ConfirmedMsg{Asked: l.now})
	starts, _ = l.submit("3")
	require.Empty(t, starts, "read long ago")
	requireStarts(1, flow.EvacuationsMsg{Asked: l.now}, "read again")
}

// Guards against cold workers that are preferred to others of the same suitability, and
// against workers that count as cold for ever because their registration is read again.
func TestColdWorkersComeLast(t *testing.T) {
	for name, c := range map[string]struct {
		evacuable bool
		wait      time.Duration
		count     int
		a, b      int
	}{
		"after others":                        {true, time.Second, 38, 6, 32},
		"not for ever":                        {true, 5 * time.Second, 8, 8, 0},
		"as before where nobody can evacuate": {false, time.Second, 8, 8, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newDataCentres()
			if c.evacuable {
				e.Evacuate()
			}
			e.Lead()
			for _, w := range e.Workers[:8] {
				w.Member.ColdLeft = 4 * time.Second
			}
			e.RunFor(c.wait)
			submitTasks(e, sched.StepSpec{Count: c.count})
			requireRunning(t, e, time.Second, c.a, c.b)
		})
	}
	warm, cold := []sched.Member{{Worker: "w"}}, []sched.Member{{Worker: "w", ColdLeft: time.Second}}
	require.Equal(t, flow.EncodeRoster(warm), flow.EncodeRoster(cold), "the roster does not change")
}
