package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// idleWorker is a leader of one worker that runs nothing. rate is how fast the worker's
// clock runs; the machine gets readings of it.
type idleWorker struct {
	*leaderOfOne
	began time.Time
	rate  float64
	asked int
}

func newIdleWorker(rate float64) *idleWorker {
	l := &leaderOfOne{m: flow.New(1), now: time.Unix(1_700_000_000, 0)}
	w := &idleWorker{l, l.now, rate, 0}
	l.m.Update(l.now, flow.ConfirmedMsg{Asked: l.now})
	l.m.Update(l.now, flow.ConfigMsg{Fleet: &sched.FleetConfig{
		Revision: 1, Queues: map[sched.QueueName]sched.Queue{"Q": {Name: "Q", Service: "Pool"}},
	}})
	member := sched.Member{Worker: "w", Service: "Pool", Capacity: sched.Resources{CPU: 8000, Memory: gib}, Born: 1}
	w.answer(flow.MembersMsg{Members: []sched.Member{member}})
	w.answer(flow.TakeoverMsg{})
	return w
}

// clock returns the reading of the worker's clock.
func (w *idleWorker) clock() time.Duration {
	return time.Hour + time.Duration(w.rate*float64(w.now.Sub(w.began)))
}

// answer delivers a message, answers the renewals and commits that follow, and returns
// the starts.
func (w *idleWorker) answer(msg sched.Msg) (starts []flow.StartCmd) {
	for cmds := w.m.Update(w.now, msg); len(cmds) > 0; cmds = cmds[1:] {
		switch c := cmds[0].(type) {
		case flow.StartCmd:
			starts = append(starts, c)
		case flow.RenewCmd:
			w.asked++
			cmds = append(cmds, w.m.Update(w.now, flow.RenewResultMsg{
				Result: flow.Result{Worker: "w", Sent: w.now}, Seq: c.Seq, Report: sched.RenewReport{Clock: w.clock(), Born: 1},
			})...)
		case flow.CommitCmd:
			cmds = append(cmds, w.m.Update(w.now, flow.CommittedMsg{Seq: c.Seq, Version: 1})...)
		}
	}
	return starts
}

// leaseAfter returns how far the deadline of a start is ahead of the worker's clock
// after the worker was idle for some time.
func (w *idleWorker) leaseAfter(t *testing.T, idle time.Duration) time.Duration {
	t.Helper()
	for end := w.now.Add(idle); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		w.answer(flow.ConfirmedMsg{Asked: w.now})
		w.answer(sched.TickMsg{})
	}
	w.now = w.now.Add(100 * time.Millisecond)
	starts := w.answer(flow.JobMsg{Accepted: w.now.UnixMilli(), Job: &sched.Workflow{
		ID: "1", Queue: "Q", Steps: []sched.StepSpec{{Count: 1, Resources: sched.Resources{CPU: 1000}}},
	}})
	require.Len(t, starts, 1)
	return starts[0].Order.Deadline - w.clock()
}

// Guards against a task that runs twice because its first run outlasts the lease that the
// leader counts: the worker's clock is slow, and the leader extrapolates an old reading.
func TestLeaseOnIdleWorkerWithSlowClock(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, 10 * time.Second, 29 * time.Second, 5 * time.Minute} {
		require.LessOrEqual(t, newIdleWorker(0.98).leaseAfter(t, idle), 4*time.Second, idle)
	}
}

// Guards against a start that comes too late for its deadline, or a lease that ends
// before it is renewed, because the last reading of an idle worker's clock is old, and
// against many questions for a new one.
func TestLeaseOnIdleWorker(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, 29 * time.Second, 5 * time.Minute} {
		w := newIdleWorker(1)
		asked := w.asked
		require.Greater(t, w.leaseAfter(t, idle), 3*time.Second, idle)
		require.LessOrEqual(t, w.asked-asked, int(idle/(30*time.Second)))
	}
}

// Guards against questions without a pause for a reading of a clock that is behind what
// the leader takes for the lowest possible reading.
func TestClockThatStoodStillIsNotReadAgainAndAgain(t *testing.T) {
	w := newIdleWorker(0.5)
	asked := w.asked
	w.leaseAfter(t, 5*time.Minute)
	require.LessOrEqual(t, w.asked-asked, 10)
}
