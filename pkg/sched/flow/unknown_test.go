package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// newTakeover returns a leader that takes over, and its first renewal of the worker.
func newTakeover(t *testing.T) (*leaderOfOne, flow.RenewCmd) {
	t.Helper()
	l := &leaderOfOne{m: flow.New(2), now: time.Unix(1_700_000_000, 0)}
	l.update(flow.ConfirmedMsg{Asked: l.now})
	l.update(flow.ConfigMsg{Fleet: &sched.FleetConfig{
		Revision: 1, Queues: map[sched.QueueName]sched.Queue{"Q": {Name: "Q", Service: "Pool"}},
	}})
	l.listed(1)
	renewals := l.handle(flow.TakeoverMsg{})
	require.Len(t, renewals, 1)
	return l, renewals[0]
}

// Guards against a run of a job that a new leader does not know, such as a cancelled
// one, that goes on because the only stop was lost.
func TestUnknownRunIsStoppedAgain(t *testing.T) {
	l, first := newTakeover(t)
	run := sched.Run{Task: sched.RunTask{Job: "gone"}, Number: 1}
	renewals := l.reported(first, 1, run)
	require.Len(t, l.stops, 1)
	for n := range 3 {
		if len(renewals) == 0 {
			renewals = append(renewals, l.nextRenewal(t))
		}
		require.Len(t, renewals, 1)
		require.False(t, renewals[0].Order.HasDeadline, "the lease of the run is not renewed")
		require.NotZero(t, renewals[0].Order.Wait, "the worker is not asked again at once")
		require.Less(t, renewals[0].Order.Wait, time.Second)
		l.now = l.now.Add(renewals[0].Order.Wait)
		l.handle(flow.ConfirmedMsg{Asked: l.now})
		renewals = l.reported(renewals[0], 1, run)
		require.Len(t, l.stops, n+2)
	}
	require.Empty(t, l.reported(renewals[0], 1), "the run is gone")
	l.now = l.now.Add(time.Second)
	l.handle(flow.ConfirmedMsg{Asked: l.now})
	require.Empty(t, l.handle(sched.TickMsg{}))
	require.Len(t, l.stops, 4)
}

// Guards against a stop of an unknown run that is repeated late because the worker also
// has other runs and delays its answers.
func TestUnknownRunBesideOthersIsStoppedAgain(t *testing.T) {
	l, first := newTakeover(t)
	l.reported(first, 1)
	known := l.requireStart(t, "1")
	unknown := sched.Run{Task: sched.RunTask{Job: "gone"}, Number: 1}
	renewals := l.reported(l.waiting, 1, known, unknown)
	require.Len(t, l.stops, 1)
	require.Len(t, renewals, 1)
	require.True(t, renewals[0].Order.HasDeadline)
	require.Less(t, renewals[0].Order.Wait, time.Second)
	renewals = l.reported(renewals[0], 1, known)
	require.Len(t, renewals, 1)
	require.Greater(t, renewals[0].Order.Wait, time.Second)
}
