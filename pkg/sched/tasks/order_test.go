package tasks_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// startedJobs returns the jobs of the started tasks in the order of the starts.
func startedJobs(cl *cluster) []sched.JobID {
	var out []sched.JobID
	for _, s := range cl.starts {
		out = append(out, s.Start.Lease.Task.Job)
	}
	return out
}

// Guards against tasks that wait without bound because shorter, smaller or
// other teams' tasks are started before them.
func TestOrder(t *testing.T) {
	declared := func(id sched.JobID, team sched.TeamName, run time.Duration) sched.JobSpec {
		s := spec(id, 1, 3, 4000)
		s.Team, s.Tasks[0].RunTime = team, run
		return s
	}
	busy := func(t *testing.T) *cluster {
		cl := newCluster(t, 1)
		cl.submitSpec(declared("busy", "Desk", time.Second))
		cl.runFor(1)
		return cl
	}
	t.Run("short before long, but a long task is not overtaken without bound", func(t *testing.T) {
		cl := busy(t)
		cl.submitSpec(declared("long", "Desk", time.Hour))
		cl.submitSpec(declared("short", "Desk", time.Second))
		cl.runFor(10)
		require.Equal(t, []sched.JobID{"busy", "short", "long"}, startedJobs(cl))

		cl = busy(t)
		cl.submitSpec(declared("long", "Desk", time.Hour))
		for i := range 150 {
			cl.submitSpec(declared(sched.JobID(rune('A'+i)), "Desk", time.Second))
			cl.runFor(3)
		}
		require.Contains(t, startedJobs(cl), sched.JobID("long"))
	})
	t.Run("the team that uses less of its quota goes first", func(t *testing.T) {
		cl := newCluster(t, 2)
		cl.send(tasks.ConfigMsg{Config: &sched.Config{Teams: []sched.Team{
			{Name: "Alpha", Quota: sched.Resources{CPU: 1000}}, {Name: "Omega", Quota: sched.Resources{CPU: 8000}},
		}}})
		for _, id := range []sched.JobID{"s1", "s2", "s3"} {
			cl.submitSpec(declared(id, "Alpha", time.Second))
		}
		cl.runFor(1)
		cl.submitSpec(declared("l1", "Omega", time.Second))
		require.Equal(t, []sched.JobID{"s1", "s2"}, startedJobs(cl))
		require.Equal(t, sched.WaitQuota, cl.m.Explain("s3")[0].Wait)
		cl.runFor(8)
		require.Equal(t, sched.JobID("l1"), startedJobs(cl)[2])
	})
	t.Run("big tasks of one team do not block those of another", func(t *testing.T) {
		cl := newCluster(t, 1)
		cl.submit("busy", 1, 60, 2000)
		cl.runFor(1)
		big := spec("big", 1000, 1, 3000)
		big.Team = "Alpha"
		cl.submitSpec(big)
		cl.runFor(1)
		small := spec("small", 1, 1, 1000)
		small.Team = "Desk"
		cl.submitSpec(small)
		cl.runFor(1)
		require.Equal(t, []sched.JobID{"busy", "small"}, startedJobs(cl))
	})
	t.Run("a big task is not starved by small ones", func(t *testing.T) {
		cl := newCluster(t, 1)
		for i := range 90 {
			cl.submit(sched.JobID(rune('A'+i)), 2, 5, 1000)
			if i == 1 {
				cl.submit("big", 1, 1, 4000)
			}
			cl.runFor(2)
		}
		requirePhases(cl, "big", sched.PhaseSucceeded)
	})
}

// Guards against values that change when they are encoded and decoded, and
// against checkpoints and acknowledgements that are lost when an append or a
// call fails.
func TestRecords(t *testing.T) {
	t.Run("codecs return what they were given", func(t *testing.T) {
		s := spec("a", 2, 1, 1000)
		got, err := tasks.DecodeJob(tasks.EncodeJob(s))
		require.NoError(t, err)
		require.Equal(t, s, got)
		e := tasks.Event{Kind: tasks.EventAssign, Task: sched.TaskID{Job: "a", Index: 1}, Spec: s.Tasks[1], Team: "Desk"}
		back, err := tasks.DecodeEvent(tasks.EncodeEvent(e))
		require.NoError(t, err)
		require.Equal(t, e, back)
		_, err = tasks.DecodeEvent([]byte{0xff})
		require.Error(t, err)
	})
	t.Run("a late append of an older checkpoint does not replace a newer one", func(t *testing.T) {
		cl := newCluster(t, 3)
		cl.submit("a", 1, 30, 1000)
		cl.runFor(1)
		cl.storeDown = true
		cl.send(tasks.EvictMsg{Worker: runningWorker(cl).name})
		cl.runFor(4)
		cl.send(tasks.EvictMsg{Worker: runningWorker(cl).name})
		cl.steps(8)
		cl.storeDown = false
		cl.runFor(5)
		require.Len(t, cl.starts, 3)
		runningWorker(cl).unreachable = true
		cl.takeover(true)
		cl.runFor(20)
		require.Len(t, cl.starts, 4)
		require.Equal(t, cl.starts[2].Start.Checkpoint, cl.starts[3].Start.Checkpoint)
	})
	t.Run("a report whose acknowledgement is lost is acknowledged again", func(t *testing.T) {
		cl := newCluster(t, 1)
		cl.workers[0].dropAcks = true
		cl.submit("a", 1, 1, 1000)
		cl.runFor(5)
		cl.workers[0].dropAcks = false
		cl.runFor(2)
		require.Empty(t, cl.workers[0].ended)
	})
}

// Guards against tasks that a new owner starts although they may still run, or
// whose end it loses, in rare orders of events.
func TestRecoveryDetails(t *testing.T) {
	id := sched.TaskID{Job: "a"}
	t.Run("an old checkpoint does not start a task that may run on a silent worker", func(t *testing.T) {
		cl := newCluster(t, 3)
		cl.submit("a", 1, 40, 1000)
		cl.runFor(1)
		cl.storeDown = true
		cl.send(tasks.EvictMsg{Worker: runningWorker(cl).name})
		cl.runFor(2)
		require.Len(t, cl.starts, 2)
		runningWorker(cl).unreachable = true
		cl.takeover(true)
		cl.storeDown = false
		cl.runFor(5)
		require.Len(t, cl.starts, 2)
		cl.runFor(15)
		require.Len(t, cl.starts, 3)
		requireExclusive(cl)
	})
	t.Run("a worker that is listed during the recovery is waited for", func(t *testing.T) {
		cl := newCluster(t, 3)
		cl.submit("a", 1, 40, 1000)
		cl.runFor(1)
		all, f := cl.workers, runningWorker(cl)
		cl.workers = nil
		for _, g := range all {
			g.unreachable = true
			if g != f {
				cl.workers = append(cl.workers, g)
			}
		}
		cl.takeover(true)
		cl.workers = all
		cl.send(tasks.WorkersMsg{Workers: cl.list()})
		eachWorker(cl, func(g *fakeWorker) { g.unreachable = g == f })
		cl.runFor(5)
		require.Len(t, cl.starts, 1)
		cl.runFor(15)
		require.Len(t, cl.starts, 2)
		requireExclusive(cl)
	})
	t.Run("the highest attempt wins and the lower one is stopped", func(t *testing.T) {
		cl := newCluster(t, 2)
		cl.submit("a", 1, 40, 1000)
		cl.runFor(1)
		f, other := runningWorker(cl), cl.workers[0]
		if other == f {
			other = cl.workers[1]
		}
		low := *f.runs[id]
		low.report.Attempt--
		other.runs[id] = &low
		cl.cmds = nil
		cl.takeover(true)
		cl.runFor(3)
		require.Nil(t, other.runs[id])
		require.NotNil(t, f.runs[id])
		require.Len(t, cl.starts, 1)
	})
	t.Run("a cancel during the recovery does not hide a success", func(t *testing.T) {
		cl := newCluster(t, 2)
		cl.submit("a", 1, 4, 1000)
		cl.runFor(2)
		f := runningWorker(cl)
		f.unreachable = true
		cl.takeover(true)
		cl.send(tasks.CancelMsg{Job: "a"})
		cl.runFor(5)
		f.unreachable = false
		cl.runFor(5)
		requirePhases(cl, "a", sched.PhaseSucceeded)
	})
	t.Run("a takeover at any step loses no end", func(t *testing.T) {
		for steps := range 60 {
			cl := newCluster(t, 1)
			cl.submit("a", 1, 2, 1000)
			// Each iteration advances time by half a step and delivers one
			// message, so that the takeover also happens while messages wait
			// for their delivery.
			for range steps {
				cl.now = cl.now.Add(step / 2)
				cl.advanceRuns()
				if len(cl.delayedCalls) > 0 {
					d := cl.delayedCalls[0]
					cl.delayedCalls = cl.delayedCalls[1:]
					d.call()
				}
				cl.send(sched.TickMsg{})
			}
			cl.takeover(true)
			if _, ok := cl.m.Job("a"); ok {
				cl.runFor(8)
				requirePhases(cl, "a", sched.PhaseSucceeded)
			}
		}
	})
	t.Run("a cancel after the end changes nothing", func(t *testing.T) {
		cl := newCluster(t, 1)
		cl.submit("a", 1, 2, 1000)
		cl.runFor(1)
		cl.storeDown = true
		cl.runFor(3)
		cl.send(tasks.EventMsg{From: shard, Event: tasks.Event{Kind: tasks.EventCancel, Task: id}})
		cl.storeDown = false
		cl.runFor(10)
		requirePhases(cl, "a", sched.PhaseSucceeded)
	})
}
