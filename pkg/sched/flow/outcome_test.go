package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Guards against an end that changes nothing, because its job has ended, and is
// acknowledged before the end of the job is recorded. The next leader would not know of
// either, and run the task again.
func TestEndsOfAJobWaitForItsRecord(t *testing.T) {
	l := newSteered(1, begin, two)
	l.update(flow.ConfigMsg{Fleet: &sched.FleetConfig{
		Revision: 2, Queues: map[sched.QueueName]sched.Queue{"Q": {Name: "Q", Service: "Pool", MaxAttempts: 1}},
	}})
	l.takeOver(nil)
	job := oneTask("job", l.now, false)
	job.Job.Steps[0].Count, job.Job.Steps[0].AntiAffinity = 2, 1
	l.update(job)
	l.pass(100 * time.Millisecond)
	require.Len(t, l.starts, 2)
	failing, other := l.starts[0].Member.Worker, l.starts[1].Member.Worker
	l.holdCommits = true
	l.reports[failing] = ended(l.starts[0].Order.Run, sched.EndFailed)
	l.answer(failing)
	require.Len(t, l.held, 1)
	l.reports[other] = ended(l.starts[1].Order.Run, sched.EndDone)
	l.answer(other)
	l.pass(2 * time.Second)
	require.Zero(t, l.waiting[other].Order.Seen, "the end of the job is not recorded")
	l.update(flow.CommittedMsg{Seq: l.held[0].Seq, Version: 2})
	l.pass(2 * time.Second)
	require.EqualValues(t, 1, l.waiting[other].Order.Seen)
}

// ended returns the report of a run that has ended.
func ended(r sched.Run, how sched.EndKind) sched.RenewReport {
	return sched.RenewReport{Ended: []sched.RunEnd{{Seq: 1, Run: r, How: how}}}
}
