package tasks_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// requireExclusive checks that no task ran on two workers at the same time, that
// no attempt number was used twice, and that no worker is over its capacity.
func requireExclusive(cl *cluster) {
	cl.t.Helper()
	for id, list := range cl.intervals {
		for i, a := range list {
			for _, b := range list[i+1:] {
				require.False(cl.t, a.from.Before(b.to) && b.from.Before(a.to),
					"two attempts of task %s ran at the same time: %+v %+v", id, a, b)
				require.NotEqual(cl.t, a.attempt, b.attempt, "attempt number of task %s is used twice", id)
			}
			for _, f := range cl.workers {
				r := f.runs[id]
				require.False(cl.t, r != nil && r.from.Before(a.to), "task %s still runs during attempt %+v", id, a)
			}
		}
	}
	for _, f := range cl.workers {
		require.True(cl.t, cl.used[f.name].Fits(cl.capacity), "worker %s is over its capacity", f.name)
	}
}

// requirePhases checks the phases of a job's tasks, and that no two different
// final states of a task were reported to the home shard.
func requirePhases(cl *cluster, id sched.JobID, want ...sched.TaskPhase) {
	cl.t.Helper()
	requireExclusive(cl)
	s, ok := cl.m.Job(id)
	require.True(cl.t, ok)
	var got []sched.TaskPhase
	for i, t := range s.Tasks {
		got = append(got, t.Phase)
		require.LessOrEqual(cl.t, len(cl.reported[sched.TaskID{Job: id, Index: i}]), 1)
	}
	require.Equal(cl.t, want, got)
}

// Guards against a job that is answered before it is durable, that does not run
// to its end, or that a resubmission starts again.
func TestLifecycle(t *testing.T) {
	t.Run("a submitted job is answered after its commit and runs to the end", func(t *testing.T) {
		cl := newCluster(t, 2)
		cl.submit("a", 2, 3, 1000)
		require.Empty(t, cl.replies)
		cl.runFor(6)
		require.Len(t, cl.replies, 1)
		requirePhases(cl, "a", sched.PhaseSucceeded, sched.PhaseSucceeded)
		require.Len(t, cl.starts, 2)
		require.Zero(t, cl.used["w0"].CPU+cl.used["w1"].CPU)
	})
	t.Run("a resubmission finds the same job", func(t *testing.T) {
		cl := newCluster(t, 1)
		cl.submit("a", 1, 3, 1000)
		cl.submit("a", 1, 3, 1000)
		cl.runFor(1)
		cl.submit("a", 1, 3, 1000)
		cl.submit("a", 2, 3, 1000)
		require.Len(t, cl.replies, 4)
		require.Equal(t, sched.ReasonKeyReused, cl.replies[3].Reason)
		require.Len(t, cl.starts, 1)
	})
}
