package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// unreadableEnd is the report of a worker that runs nothing and lists an end that cannot
// be read, behind which others may be hidden.
var unreadableEnd = sched.RenewReport{Unreadable: 1, UnreadableEnds: 1}

// leasesLeft is a time within which the leases on a worker have not expired, and
// leasesGone one within which they have, both counted from the first unreadable report.
const (
	leasesLeft = 5 * time.Second
	leasesGone = 10 * time.Second
)

// Guards against a task that starts again although its success may be behind an end that
// cannot be read, and against one that waits for such an end for ever.
func TestUnreadableEndHidesOthersUntilLeasesExpire(t *testing.T) {
	t.Run("known run", func(t *testing.T) {
		s := newSteered(1, time.Unix(1_700_000_000, 0), []sched.WorkerName{"w", "v"}).takeOver(nil)
		first := s.run(t, "job")
		w := s.starts[0].Member.Worker
		s.reports[w] = unreadableEnd
		s.pass(leasesLeft)
		require.Len(t, s.starts, 1)
		s.pass(leasesGone - leasesLeft)
		require.Len(t, s.starts, 2)
		require.NotEqual(t, w, s.starts[1].Member.Worker, "the worker's ends are still unreadable")
		require.Greater(t, s.starts[1].Order.Run.Number, first.Number)
	})
	t.Run("run of an earlier leader", func(t *testing.T) {
		s := newSteered(2, time.Unix(1_700_000_000, 0), []sched.WorkerName{"w", "v"})
		s.reports["w"] = unreadableEnd
		s.takeOver(nil, "job")
		s.pass(leasesLeft)
		s.requireStarted(t)
		s.pass(leasesGone - leasesLeft)
		s.requireStarted(t, "job")
		require.Equal(t, sched.WorkerName("v"), s.starts[0].Member.Worker)
	})
	t.Run("readable again", func(t *testing.T) {
		s := newSteered(2, time.Unix(1_700_000_000, 0), []sched.WorkerName{"w", "v"})
		s.reports["w"] = unreadableEnd
		s.takeOver(nil, "job")
		s.pass(time.Second)
		s.requireStarted(t)
		s.reports["w"] = sched.RenewReport{}
		s.pass(time.Second)
		s.requireStarted(t, "job")
	})
}

// Guards against a new leader that takes a full list of ends for a whole one, and starts
// a task again whose success is in the next part.
func TestFullReportAccountsForNoInheritedTask(t *testing.T) {
	s := newSteered(2, time.Unix(1_700_000_000, 0), []sched.WorkerName{"w", "v"})
	s.reports["w"] = sched.RenewReport{MoreEnds: true}
	s.takeOver(nil, "job")
	s.pass(20 * time.Second)
	s.requireStarted(t)
	require.NotEmpty(t, s.extended, "leases are renewed meanwhile")
	s.reports["w"] = sched.RenewReport{Ended: []sched.RunEnd{{
		Seq: 501, Run: sched.Run{Task: sched.RunTask{Job: "job"}, Number: 1}, How: sched.EndDone,
	}}}
	s.pass(time.Second)
	s.requireStarted(t)
	state, _, _ := s.m.State("job")
	require.Equal(t, sched.JobCompleted, state)
}
