package speed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/speed"
)

// fleet feeds an estimator with steps of ten tasks on ten workers.
type fleet struct {
	t     *testing.T
	e     *speed.Estimator
	now   time.Time
	steps int
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, e: speed.New(), now: time.Unix(1_700_000_000, 0)}
}

// step gives one sample of each task of a step, slow for the named workers. Task i is on
// worker i.
func (f *fleet) step(job string, slow ...int) []speed.Change {
	f.steps++
	f.now = f.now.Add(100 * time.Millisecond)
	for i := range 10 {
		rate := 1.0
		for _, s := range slow {
			if s == i {
				rate = 0.2
			}
		}
		f.e.Observe(speed.Sample{Worker: name(i), Task: sched.RunTask{Job: sched.JobID(job), Index: i}, Run: 1, Low: rate, High: rate * 1.05, At: f.now})
	}
	return f.e.Update(f.now)
}

// fresh gives samples of a step that was not seen before.
func (f *fleet) fresh(slow ...int) []speed.Change { return f.step(fmt.Sprint("job", f.steps), slow...) }

func (f *fleet) wait(d time.Duration) []speed.Change {
	f.now = f.now.Add(d)
	return f.e.Update(f.now)
}

func (f *fleet) requireSlow(workers ...int) {
	f.t.Helper()
	for i := range 10 {
		require.Equal(f.t, contains(workers, i), f.e.Slow(name(i)), "worker %d", i)
	}
	require.Equal(f.t, len(workers), f.e.SlowWorkers())
}

func name(i int) sched.WorkerName { return sched.WorkerName(fmt.Sprint("w", i)) }

func contains(list []int, i int) bool {
	for _, x := range list {
		if x == i {
			return true
		}
	}
	return false
}

// Guards against a worker that counts as slow because of tasks that need much work, and
// against one that is slow and not recognised.
func TestSlowTasks(t *testing.T) {
	t.Run("one task is no proof, however often it is reported", func(t *testing.T) {
		f := newFleet(t)
		for range 40 {
			f.step("job", 3)
			f.requireSlow()
		}
	})
	t.Run("tasks at normal speed between long ones speak for the worker", func(t *testing.T) {
		f := newFleet(t)
		for range 10 {
			f.fresh(3)
			f.fresh()
			f.requireSlow()
		}
	})
	t.Run("three different tasks are a proof", func(t *testing.T) {
		f := newFleet(t)
		f.fresh(3)
		f.fresh(3)
		f.requireSlow()
		changes := f.fresh(3)
		require.Equal(t, []speed.Change{{Worker: "w3", Slow: true, Speed: f.e.Speed("w3"), Tasks: 3}}, changes)
		require.InDelta(t, 0.2, f.e.Speed("w3"), 0.01)
	})
	t.Run("two tasks that became slow are a proof", func(t *testing.T) {
		f := newFleet(t)
		f.step("a")
		f.step("b")
		f.step("a", 3)
		f.requireSlow()
		f.step("b", 3)
		f.requireSlow(3)
	})
}

// Guards against a worker that stays out of use after it has recovered.
func TestRecovery(t *testing.T) {
	slow := func(t *testing.T) *fleet {
		f := newFleet(t)
		for range 3 {
			f.fresh(3)
		}
		f.requireSlow(3)
		return f
	}
	t.Run("by a run at normal speed", func(t *testing.T) {
		f := slow(t)
		f.fresh()
		f.requireSlow()
		f.fresh()
		require.False(t, f.e.Recent(f.now, "w3"))
	})
	t.Run("by the lack of evidence, at first on trial", func(t *testing.T) {
		f := slow(t)
		require.Empty(t, f.wait(2900*time.Millisecond))
		changes := f.wait(200 * time.Millisecond)
		require.Len(t, changes, 1)
		require.True(t, changes[0].Stale)
		f.requireSlow()
		require.True(t, f.e.Recent(f.now, "w3"))
		f.fresh(3)
		f.requireSlow(3) // One task is enough so soon.
	})
	t.Run("trial ends", func(t *testing.T) {
		f := slow(t)
		f.wait(3100 * time.Millisecond)
		f.wait(10 * time.Second)
		require.False(t, f.e.Recent(f.now, "w3"))
		f.fresh(3)
		f.requireSlow()
	})
}

// Guards against a fleet of which many workers get no tasks because all are slow for a
// shared reason.
func TestSharedSlowness(t *testing.T) {
	f := newFleet(t)
	for range 20 {
		f.fresh(5, 6, 7, 8, 9)
		f.requireSlow()
	}
	for i := range 10 {
		require.False(t, f.e.Recent(f.now, name(i)))
	}
}

// Guards against conclusions from samples that are rough or have nothing to compare with.
func TestInconclusiveSamples(t *testing.T) {
	f := newFleet(t)
	for n := range 20 {
		f.fresh()
		job := sched.JobID(fmt.Sprint("single", n))
		rough := speed.Sample{Worker: "w3", Task: sched.RunTask{Job: sched.JobID(fmt.Sprint("job", n)), Index: 11}, Run: 1, High: 0.8, At: f.now}
		f.e.Observe(rough)
		f.e.Observe(speed.Sample{Worker: "w3", Task: sched.RunTask{Job: job}, Run: 1, Low: 0.01, High: 0.01, At: f.now})
		wrongEstimate := speed.Sample{Worker: "w3", Task: sched.RunTask{Job: job + "e"}, Run: 1, Low: 0.5, High: 0.5, Expected: 500 * time.Millisecond, At: f.now}
		f.e.Observe(wrongEstimate)
		f.e.Update(f.now)
		f.requireSlow()
		require.False(t, f.e.Suspected("w3"))
	}
}
