package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// newLeaderWithWork returns a leader of one worker that has read the work.
func newLeaderWithWork() *leaderOfOne {
	l := newLeaderOfOne()
	l.update(flow.WorkReadMsg{Asked: l.now})
	l.now = l.now.Add(100 * time.Millisecond)
	return l
}

// Guards against starts while cancellations may be unknown that the store has acknowledged.
func TestStartsNeedRecentWork(t *testing.T) {
	l := newLeaderWithWork()
	l.now = l.now.Add(1700 * time.Millisecond)
	l.update(flow.ConfirmedMsg{Asked: l.now})
	starts, _ := l.submit("1")
	require.Empty(t, starts)
	starts, _ = l.update(flow.WorkReadMsg{Asked: l.now})
	require.Len(t, starts, 1)
}

// Guards against tasks that wait for the end of an outage in which nobody can record a
// cancellation, and against starts on old work without the word of other entries.
func TestStartsDuringOutage(t *testing.T) {
	l := newLeaderWithWork()
	l.now = l.now.Add(1600 * time.Millisecond)
	starts, _ := l.submit("1")
	require.Empty(t, starts, "the store may answer other entries")
	l.update(flow.StoreAnsweredMsg{At: l.now.Add(-1600 * time.Millisecond)})
	starts, _ = l.update(flow.PeersAskedMsg{Asked: l.now})
	require.Len(t, starts, 1)
	l.now = l.now.Add(50 * time.Millisecond)
	l.update(flow.StoreAnsweredMsg{At: l.now})
	l.update(flow.StoreAnsweredMsg{At: l.now.Add(-time.Minute)})
	l.update(flow.PeersAskedMsg{Asked: l.now})
	starts, _ = l.submit("2")
	require.Empty(t, starts, "the store answers another entry")
	starts, _ = l.update(flow.WorkReadMsg{Asked: l.now})
	require.Len(t, starts, 1)
}

// Guards against starts on a worker that may have begun to drain since the register was read.
func TestStartsNeedRecentRegister(t *testing.T) {
	l := newLeaderWithWork()
	register := flow.MembersMsg{Asked: l.now}
	for range 16 {
		l.now = l.now.Add(100 * time.Millisecond)
		l.update(flow.ConfirmedMsg{Asked: l.now})
		l.update(flow.WorkReadMsg{Asked: l.now})
		if register.Members == nil {
			register.Members = []sched.Member{{Worker: "w", Service: "Pool", Capacity: sched.Resources{CPU: 8000, Memory: gib}, Born: 1}}
			l.update(register)
		}
	}
	starts, _ := l.submit("1")
	require.Empty(t, starts)
	register.Asked = l.now
	starts, _ = l.update(register)
	require.Len(t, starts, 1)
}

// Guards against starts after the process was suspended, when the work and the answers
// of other entries are equally old.
func TestSuspendedLeaderStartsNothingOnOldWork(t *testing.T) {
	l := newLeaderWithWork()
	l.update(flow.PeersAskedMsg{Asked: l.now})
	asked := l.now
	l.now = l.now.Add(5 * time.Second)
	l.update(flow.StartResultMsg{Result: flow.Result{Worker: "w", Sent: l.now}})
	starts, _ := l.submit("1")
	require.Empty(t, starts)
	starts, _ = l.update(flow.PeersAskedMsg{Asked: asked})
	require.Empty(t, starts, "the entries were asked before")
}

// Guards against a start that is repeated although the job may have been cancelled.
func TestStartIsNotRepeatedOnOldWork(t *testing.T) {
	l := newLeaderWithWork()
	starts, _ := l.submit("1")
	require.Len(t, starts, 1)
	l.now = l.now.Add(1700 * time.Millisecond)
	l.update(flow.ConfirmedMsg{Asked: l.now})
	starts, _ = l.update(flow.StartResultMsg{Result: flow.Result{Worker: "w", Sent: l.now, Err: sched.ErrLost}, Run: starts[0].Order.Run})
	require.Empty(t, starts)
}

// draining returns the member as it is listed while it drains.
func draining(m sched.Member) sched.Member {
	m.Draining = true
	return m
}

// Guards against a start that is repeated although its worker drains.
func TestStartIsNotRepeatedOnDrainingWorker(t *testing.T) {
	l := newLeaderWithWork()
	starts, _ := l.submit("1")
	l.update(flow.MembersMsg{Members: []sched.Member{draining(starts[0].Member)}})
	lost := flow.Result{Worker: "w", Sent: l.now, Err: sched.ErrLost}
	starts, _ = l.update(flow.StartResultMsg{Result: lost, Run: starts[0].Order.Run})
	require.Empty(t, starts)
}

// Guards against a withdrawn start that leaves its capacity in use or ends a run.
func TestWithdrawnStart(t *testing.T) {
	withdraw := func(l *leaderOfOne, c flow.StartCmd) (starts []flow.StartCmd) {
		starts, _ = l.update(flow.StartResultMsg{
			Result: flow.Result{Worker: "w", Sent: l.now, Err: flow.ErrWithdrawn}, Run: c.Order.Run,
		})
		return starts
	}
	t.Run("never sent", func(t *testing.T) {
		l := newLeaderWithWork()
		starts, _ := l.submit("1")
		require.True(t, l.m.Wanted(l.now, "w", starts[0].Order.Run))
		l.now = l.now.Add(100 * time.Millisecond)
		again := withdraw(l, starts[0])
		require.False(t, l.m.Wanted(l.now, "w", starts[0].Order.Run))
		require.Len(t, again, 1)
		require.Greater(t, again[0].Order.Run.Number, starts[0].Order.Run.Number)
	})
	t.Run("cancelled", func(t *testing.T) {
		l := newLeaderWithWork()
		starts, _ := l.submit("1")
		l.update(flow.CancelMsg{Job: "1", Recorded: l.now.UnixMilli()})
		require.False(t, l.m.Wanted(l.now, "w", starts[0].Order.Run))
		require.Empty(t, withdraw(l, starts[0]))
		require.Zero(t, l.m.Totals().Runs)
	})
	t.Run("suspended", func(t *testing.T) {
		l := newLeaderWithWork()
		starts, _ := l.submit("1")
		require.False(t, l.m.Wanted(l.now.Add(1600*time.Millisecond), "w", starts[0].Order.Run), "the work is old")
		l.now = l.now.Add(time.Second)
		l.update(flow.WorkReadMsg{Asked: l.now})
		require.True(t, l.m.Wanted(l.now.Add(500*time.Millisecond), "w", starts[0].Order.Run))
		require.False(t, l.m.Wanted(l.now.Add(1400*time.Millisecond), "w", starts[0].Order.Run), "the term is not confirmed")
	})
	t.Run("worker drains", func(t *testing.T) {
		l := newLeaderWithWork()
		starts, _ := l.submit("1")
		l.update(flow.MembersMsg{Members: []sched.Member{draining(starts[0].Member)}})
		require.False(t, l.m.Wanted(l.now, "w", starts[0].Order.Run))
	})
	// repeat returns a leader and the second copy of a start that got no answer.
	repeat := func(t *testing.T) (l *leaderOfOne, starts, repeated []flow.StartCmd) {
		l = newLeaderWithWork()
		starts, _ = l.submit("1")
		lost := flow.Result{Worker: "w", Sent: l.now, Err: sched.ErrLost}
		repeated, _ = l.update(flow.StartResultMsg{Result: lost, Run: starts[0].Order.Run})
		require.Len(t, repeated, 1)
		return l, starts, repeated
	}
	t.Run("an earlier copy may run", func(t *testing.T) {
		l, _, repeated := repeat(t)
		require.Empty(t, withdraw(l, repeated[0]))
		require.Len(t, l.stops, 1)
		require.Equal(t, 1, l.m.Totals().Runs)
	})
	t.Run("an earlier copy runs", func(t *testing.T) {
		l, starts, repeated := repeat(t)
		l.now = l.now.Add(100 * time.Millisecond)
		l.update(sched.TickMsg{})
		l.report(sched.RenewReport{Running: []sched.RunReport{{Run: starts[0].Order.Run}}})
		require.False(t, l.m.Wanted(l.now, "w", starts[0].Order.Run))
		require.Empty(t, withdraw(l, repeated[0]))
		require.Empty(t, l.stops)
		require.Equal(t, 1, l.m.Totals().Runs)
	})
}

// Guards against a leader that was suspended and that issues orders, without the store,
// because answers count as fresh that workers gave before the suspension.
func TestAnswerFromBeforeSuspensionGivesNoPermission(t *testing.T) {
	l := newLeaderOfOne()
	run := l.requireStart(t, "1")
	l.now = l.now.Add(10 * time.Second)
	renewals := l.handle(flow.RenewResultMsg{
		Result: flow.Result{Worker: "w", Sent: l.now.Add(-10 * time.Second)}, Seq: l.waiting.Seq,
		Report: sched.RenewReport{Clock: time.Duration(l.now.UnixNano()), Born: 1, Running: []sched.RunReport{{Run: run}}},
	})
	require.Len(t, renewals, 1)
	l.now = l.now.Add(50 * time.Millisecond)
	starts, _ := l.update(sched.TickMsg{})
	require.Empty(t, starts)

	l.reported(renewals[0], 1, run) // This call was made after the suspension.
	l.now = l.now.Add(50 * time.Millisecond)
	starts, _ = l.update(sched.TickMsg{})
	require.Len(t, starts, 1, "the lease of the first run has expired")
}

// Guards against a healthy leader that loses its permission while the store is down,
// because its worker takes its time to answer.
func TestLateAnswersKeepPermission(t *testing.T) {
	l := newLeaderOfOne()
	run := l.requireStart(t, "1")
	renewal := l.waiting
	for range 60 {
		sent := l.now
		for end := l.now.Add(renewal.Order.Wait + 400*time.Millisecond); l.now.Before(end); l.now = l.now.Add(50 * time.Millisecond) {
			for _, c := range l.m.Update(l.now, sched.TickMsg{}) {
				if c, ok := c.(flow.LogCmd); ok {
					require.NotEqual(t, "permission to issue orders changed", c.Event)
				}
			}
		}
		renewals := l.handle(flow.RenewResultMsg{
			Result: flow.Result{Worker: "w", Sent: sent}, Seq: renewal.Seq,
			Report: sched.RenewReport{Clock: time.Duration(l.now.UnixNano()), Born: 1, Running: []sched.RunReport{{Run: run}}},
		})
		require.Len(t, renewals, 1)
		require.True(t, renewals[0].Order.HasDeadline)
		renewal = renewals[0]
	}
}
