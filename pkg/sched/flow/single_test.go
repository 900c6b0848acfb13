package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// leaderOfOne is a machine that leads one worker. The worker answers renewals at
// once, except those that wait for the end of a run.
type leaderOfOne struct {
	m   *flow.Machine
	now time.Time
	// waiting is the renewal that waits for the end of a run. throttles and stops
	// hold the throttle and stop orders.
	waiting   flow.RenewCmd
	throttles []sched.ThrottleOrder
	stops     []sched.StopOrder
	// runs holds the runs that were started with start.
	runs []sched.Run
	// member is the worker, and running what it reports to renewals that it answers
	// at once.
	member  sched.Member
	running []sched.RunReport
	// cmds holds all commands. While holdCommits is set, commits are not answered.
	cmds        []sched.Cmd
	holdCommits bool
}

func newLeaderOfOne() *leaderOfOne { return newLeaderWith() }

// newLeaderWith returns a leader of one worker with further options.
func newLeaderWith(opts ...flow.Option) *leaderOfOne {
	l := &leaderOfOne{m: flow.New(1, opts...), now: time.Unix(1_700_000_000, 0)}
	l.member = sched.Member{Worker: "w", Service: "Pool", DataCentre: "a", Capacity: sched.Resources{CPU: 8000, Memory: gib}, Born: 1}
	l.update(flow.ConfirmedMsg{Asked: l.now})
	l.update(flow.ConfigMsg{Fleet: &sched.FleetConfig{
		Revision: 1, Queues: map[sched.QueueName]sched.Queue{"Q": {Name: "Q", Service: "Pool"}},
	}})
	l.update(flow.MembersMsg{Members: []sched.Member{l.member}})
	l.update(flow.TakeoverMsg{})
	return l
}

// update delivers a message and answers the renewals and commits that result. It
// returns the starts and the renewals that extend a deadline.
func (l *leaderOfOne) update(msg sched.Msg) (starts []flow.StartCmd, extended []flow.RenewCmd) {
	cmds := l.m.Update(l.now, msg)
	for len(cmds) > 0 {
		c := cmds[0]
		cmds = cmds[1:]
		l.cmds = append(l.cmds, c)
		switch c := c.(type) {
		case flow.StartCmd:
			starts = append(starts, c)
		case flow.ThrottleCmd:
			l.throttles = append(l.throttles, c.Order)
		case flow.StopCmd:
			l.stops = append(l.stops, c.Order)
		case flow.RenewCmd:
			if c.Order.HasDeadline {
				extended = append(extended, c)
			}
			if c.Order.Wait > 0 {
				l.waiting = c
				continue
			}
			cmds = append(cmds, l.m.Update(l.now, flow.RenewResultMsg{
				Result: flow.Result{Worker: "w", Sent: l.now}, Seq: c.Seq,
				Report: sched.RenewReport{Clock: time.Duration(l.now.UnixNano()), Born: l.member.Born, Running: l.running},
			})...)
		case flow.CommitCmd:
			if l.holdCommits {
				continue
			}
			cmds = append(cmds, l.m.Update(l.now, flow.CommittedMsg{Seq: c.Seq, Version: 1})...)
		}
	}
	return starts, extended
}

// reborn begins a new incarnation of the worker.
func (l *leaderOfOne) reborn() { l.member.Born++ }

// heldCommit returns the success of the last commit.
func (l *leaderOfOne) heldCommit() flow.CommittedMsg {
	var last flow.CommitCmd
	for _, c := range l.cmds {
		if c, ok := c.(flow.CommitCmd); ok {
			last = c
		}
	}
	return flow.CommittedMsg{Seq: last.Seq, Version: 2}
}

// report answers the waiting renewal.
func (l *leaderOfOne) report(r sched.RenewReport) (starts []flow.StartCmd) {
	r.Clock, r.Born = time.Duration(l.now.UnixNano()), 1
	starts, _ = l.update(flow.RenewResultMsg{
		Result: flow.Result{Worker: "w", Sent: l.now}, Seq: l.waiting.Seq, Report: r,
	})
	return starts
}

func (l *leaderOfOne) submit(id sched.JobID) (starts []flow.StartCmd, extended []flow.RenewCmd) {
	return l.update(flow.JobMsg{Accepted: l.now.UnixMilli(), Job: &sched.Workflow{
		ID: id, Queue: "Q", Steps: []sched.StepSpec{{Count: 1, Resources: sched.Resources{CPU: 1000}}},
	}})
}

// Guards against a leader whose process was paused, and that starts a run or
// renews leases on a confirmation of its term that has expired meanwhile. The
// first message after the pause may be any.
func TestPausedLeaderIssuesNoOrders(t *testing.T) {
	l := newLeaderOfOne()
	l.now = l.now.Add(100 * time.Millisecond)
	starts, _ := l.submit("before")
	require.Len(t, starts, 1)

	l.now = l.now.Add(10 * time.Second)
	starts, extended := l.submit("after")
	require.Empty(t, starts)
	require.Empty(t, extended)

	l.now = l.now.Add(100 * time.Millisecond)
	starts, _ = l.update(flow.ConfirmedMsg{Asked: l.now})
	require.Len(t, starts, 1, "the task starts once the term is confirmed again")
}

// Guards against a run that counts as ended, and is started again, because a
// report does not list it of which rows could not be read.
func TestPartialReportEndsNoRun(t *testing.T) {
	l := newLeaderOfOne()
	l.now = l.now.Add(100 * time.Millisecond)
	starts, _ := l.submit("job")
	require.Len(t, starts, 1)
	run := starts[0].Order.Run
	l.update(flow.StartResultMsg{Result: flow.Result{Worker: "w", Sent: l.now}, Run: run, Reply: sched.OrderReply{Clock: time.Duration(l.now.UnixNano()), HasClock: true}})

	l.now = l.now.Add(time.Second)
	require.Empty(t, l.report(sched.RenewReport{Unreadable: 1}))
	l.now = l.now.Add(time.Second)
	l.update(flow.ConfirmedMsg{Asked: l.now})
	l.update(sched.TickMsg{})
	l.report(sched.RenewReport{})
	l.now = l.now.Add(100 * time.Millisecond)
	starts, _ = l.update(sched.TickMsg{})
	require.NotEmpty(t, starts, "a complete report shows that the run is gone")
}

// Guards against a run at another speed than was ordered, because an earlier
// throttle order was carried out seconds late, after the one that followed it.
func TestLateThrottleOrderIsCorrected(t *testing.T) {
	critical := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 2000}, Perpetual: true, Image: "serve", TailTarget: 20 * time.Millisecond}
	bestEffort := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 4000}, Perpetual: true, Image: "fill", BestEffort: true}
	t.Run("a paused run uses the processor", func(t *testing.T) {
		l := newLeaderOfOne()
		l.start(t, critical)
		l.start(t, bestEffort)
		require.Empty(t, l.throttlesAfter(10, 4000))
		for range 4 {
			for _, o := range l.throttlesAfter(200, 4000) {
				require.Zero(t, o.Percent)
				l.throttled(o)
			}
		}
		require.Empty(t, l.throttlesAfter(18, 0), "the run is paused, as ordered")
		corrected := l.throttlesAfter(18, 4000)
		require.Len(t, corrected, 1)
		require.Zero(t, corrected[0].Percent)
		l.throttled(corrected[0])
		require.Empty(t, l.throttlesAfter(18, 0))
	})
	t.Run("a run with full speed is paused", func(t *testing.T) {
		l := newLeaderOfOne()
		l.start(t, bestEffort)
		require.Empty(t, l.throttlesAfter(4000))
		require.Empty(t, l.throttlesAfter(900), "other tasks use the rest of the worker")
		corrected := l.throttlesAfter(0)
		require.Len(t, corrected, 1)
		require.Equal(t, 100, corrected[0].Percent)
	})
}

// start submits a job of one step with one task, and lets the worker accept its
// start.
func (l *leaderOfOne) start(t *testing.T, step sched.StepSpec) {
	t.Helper()
	l.now = l.now.Add(100 * time.Millisecond)
	starts, _ := l.update(flow.JobMsg{Accepted: l.now.UnixMilli(), Job: &sched.Workflow{
		ID: sched.JobID(step.Image), Queue: "Q", Steps: []sched.StepSpec{step},
	}})
	require.Len(t, starts, 1)
	run := starts[0].Order.Run
	l.runs = append(l.runs, run)
	l.update(flow.StartResultMsg{Result: flow.Result{Worker: "w", Sent: l.now}, Run: run, Reply: sched.OrderReply{Clock: time.Duration(l.now.UnixNano()), HasClock: true}})
}

// throttlesAfter reports the loads of the runs, in the order of their starts, and
// returns the throttle orders that follow.
func (l *leaderOfOne) throttlesAfter(loads ...float64) []sched.ThrottleOrder {
	l.throttles = nil
	l.now = l.now.Add(time.Second)
	l.update(flow.ConfirmedMsg{Asked: l.now})
	l.update(sched.TickMsg{})
	var rep sched.RenewReport
	for i, load := range loads {
		rep.Running = append(rep.Running, sched.RunReport{Run: l.runs[i], Percent: 100, Load: load})
	}
	l.report(rep)
	return l.throttles
}

// throttled confirms a throttle order.
func (l *leaderOfOne) throttled(o sched.ThrottleOrder) {
	l.update(flow.ThrottleResultMsg{Result: flow.Result{Worker: "w", Sent: l.now}, Run: o.Run, Percent: o.Percent})
}
