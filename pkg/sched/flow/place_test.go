package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// runOneJob runs one job on 24 workers of 32 cores in racks of 8. It returns
// the worker of each run after two seconds.
func runOneJob(t *testing.T, step sched.StepSpec, prepare func(e *emul.Emulator)) (*emul.Emulator, []*emul.Worker) {
	t.Helper()
	e := emul.New(7)
	e.AddWorkers(24, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3, Stretch: 2, Target: time.Second})
	if prepare != nil {
		prepare(e)
	}
	e.Lead()
	e.Submit(&sched.Workflow{ID: "job", Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{Duration: 10 * time.Second})
	e.RunFor(2 * time.Second)
	requireNoViolations(t, e)
	var out []*emul.Worker
	for _, w := range e.Workers {
		for range w.Running() {
			out = append(out, w)
		}
	}
	return e, out
}

// Guards against small tasks that are spread so evenly that no worker keeps
// free capacity for a large one.
func TestSmallTasksLeaveCapacity(t *testing.T) {
	e := emul.New(11)
	e.AddWorkers(4, sched.Resources{CPU: 16000, Memory: 64 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3, Stretch: 2, Target: time.Second})
	e.Lead()
	step := func(count int, cpu sched.MilliCPU) []sched.StepSpec {
		return []sched.StepSpec{{Count: count, Resources: sched.Resources{CPU: cpu, Memory: gib}, Estimate: 4 * time.Second}}
	}
	e.Submit(&sched.Workflow{ID: "small", Queue: "Q", Steps: step(8, 2000)}, emul.Work{Duration: 4 * time.Second})
	e.RunFor(500 * time.Millisecond)
	e.Submit(&sched.Workflow{ID: "large", Queue: "Q", Steps: step(3, 15000)}, emul.Work{Duration: time.Second})
	e.RunFor(time.Second)
	requireNoViolations(t, e)
	running := 0
	for _, w := range e.Workers {
		running += w.Running()
	}
	require.Equal(t, 11, running, "all tasks run at once")
}

// Guards against tasks on workers that their job does not permit, and against
// tasks far from their data while there is free capacity near it.
func TestPlacement(t *testing.T) {
	step := sched.StepSpec{Count: 4, Resources: sched.Resources{CPU: 2000, Memory: gib}, Estimate: 10 * time.Second}
	t.Run("Label", func(t *testing.T) {
		s := step
		s.Requires = "special"
		_, on := runOneJob(t, s, func(e *emul.Emulator) {
			for _, w := range e.Workers[3:5] {
				w.Member.Labels = []string{"special", "r0"}
			}
		})
		require.Len(t, on, 4)
		for _, w := range on {
			require.Equal(t, "special", w.Member.Labels[0])
		}
	})
	t.Run("Affinity", func(t *testing.T) {
		s := step
		s.Affinity = "r1"
		_, on := runOneJob(t, s, nil)
		require.Len(t, on, 4)
		for _, w := range on {
			require.Equal(t, "r1", w.Member.Rack())
		}
	})
	t.Run("AffinityWithoutRoom", func(t *testing.T) {
		s := step
		s.Affinity, s.Count, s.Estimate = "r1", 16, time.Minute
		s.Resources.CPU = 30000
		e, on := runOneJob(t, s, nil)
		require.Len(t, on, 8, "the others wait for the rack")
		e.RunFor(2 * time.Second)
		require.Equal(t, 16, e.Running(), "but not for long while other racks have free capacity")
	})
	t.Run("AntiAffinity", func(t *testing.T) {
		s := step
		s.Count, s.AntiAffinity = 30, 1
		_, on := runOneJob(t, s, nil)
		require.Len(t, on, 24, "one on each worker, the others wait")
	})
	t.Run("Memory", func(t *testing.T) {
		s := step
		s.Count, s.BestEffort, s.Resources.Memory = 60, true, 60*gib
		_, on := runOneJob(t, s, nil)
		require.Len(t, on, 48, "best-effort tasks take memory")
	})
}

// Guards against a gang of which only some members run, and against one that is
// spread over racks although one rack has enough free capacity.
func TestGangStartsTogether(t *testing.T) {
	step := sched.StepSpec{Count: 8, Resources: sched.Resources{CPU: 20000, Memory: gib}, Gang: true, SameRack: true}
	t.Run("Fits", func(t *testing.T) {
		_, on := runOneJob(t, step, nil)
		require.Len(t, on, 8)
		for _, w := range on {
			require.Equal(t, on[0].Member.Rack(), w.Member.Rack())
		}
	})
	t.Run("DoesNotFit", func(t *testing.T) {
		s := step
		s.Count, s.SameRack = 30, false
		_, on := runOneJob(t, s, nil)
		require.Empty(t, on)
	})
}

// Guards against occurrences of a repeated job that start too early or not at
// all.
func TestRepeatedJob(t *testing.T) {
	e := emul.New(8)
	e.AddWorkers(4, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3, Stretch: 2, Target: time.Second})
	e.Lead()
	e.Submit(&sched.Workflow{
		ID: "job", Queue: "Q", Repeat: 3, First: e.Now().Add(2 * time.Second).UnixMilli(), Interval: 3 * time.Second,
		Steps: []sched.StepSpec{{Count: 2, Resources: sched.Resources{CPU: 1000}}},
	}, emul.Work{Duration: time.Second})
	e.RunFor(1900 * time.Millisecond)
	require.Zero(t, e.Counts["Runs"])
	e.RunFor(300 * time.Millisecond)
	require.Equal(t, 2, e.Counts["Runs"])
	e.RunFor(2500 * time.Millisecond)
	require.Equal(t, 2, e.Counts["Runs"])
	requireAllEnded(t, e, 20*time.Second)
	require.Equal(t, 6, e.Counts["Runs"])
	requireNoViolations(t, e)
}

// Guards against short work that waits behind long work of a lower priority
// instead of preempting it.
func TestHighPriorityPreempts(t *testing.T) {
	e := emul.New(9)
	e.AddWorkers(4, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Low", Priority: 2, MaxAttempts: 3})
	e.AddQueue(sched.Queue{Name: "High", Priority: 0, MaxAttempts: 3})
	e.Lead()
	task := sched.Resources{CPU: 8000, Memory: gib}
	e.Submit(&sched.Workflow{ID: "low", Queue: "Low", Steps: []sched.StepSpec{{Count: 16, Resources: task, Checkpoint: true}}},
		emul.Work{Duration: 30 * time.Second})
	e.RunFor(2 * time.Second)
	j := e.Submit(&sched.Workflow{ID: "high", Queue: "High", Steps: []sched.StepSpec{{Count: 2, Resources: task}}},
		emul.Work{Duration: time.Second})
	require.True(t, e.RunUntil(3*time.Second, func() bool { return j.State.Final() }), "done in %s", e.Now().Sub(j.Submitted))
	requireAllEnded(t, e, endTimeout)
	requireNoViolations(t, e)
}

// Guards against latency-critical tasks that miss their target for longer than
// permitted because of best-effort tasks, and against the opposite, best-effort
// tasks that never end.
func TestInterferingBestEffortIsThrottled(t *testing.T) {
	for seed := range uint64(6) {
		e := newScenario(seed+50, 24, 15*time.Second)
		e.Lead()
		e.RunFor(40 * time.Second)
		require.Less(t, e.LongestMiss(), 4*time.Second, "seed %d", seed)
		requireAllEnded(t, e, endTimeout)
		requireNoViolations(t, e)
	}
}

// bestEffortScenario returns eight workers with a latency-critical task on
// each, and a function that submits jobs of compatible best-effort tasks.
func bestEffortScenario() (*emul.Emulator, func(from, n int)) {
	e := emul.New(17)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Serve"})
	e.AddQueue(sched.Queue{Name: "Fill", Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second})
	critical := sched.StepSpec{
		Count: 8, AntiAffinity: 1, Resources: sched.Resources{CPU: 6000, Memory: gib}, Perpetual: true, Image: "serve-a",
		TailTarget: 100 * time.Millisecond,
	}
	bestEffort := sched.StepSpec{
		Count: 4, Resources: sched.Resources{CPU: 2000, Memory: gib}, Estimate: time.Second, Checkpoint: true,
		BestEffort: true, Image: "fill-b",
	}
	e.Lead()
	e.Submit(&sched.Workflow{ID: "serve", Queue: "Serve", Steps: []sched.StepSpec{critical}}, emul.Work{})
	return e, func(from, n int) {
		const gap = 200 * time.Millisecond
		for i := range n {
			id := sched.JobID(fmt.Sprintf("fill-%d", from+i))
			e.After(time.Duration(i)*gap, func() {
				e.Submit(&sched.Workflow{ID: id, Queue: "Fill", Steps: []sched.StepSpec{bestEffort}}, emul.Work{Duration: time.Second})
			})
		}
		e.RunFor(time.Duration(n) * gap)
	}
}

// Guards against best-effort tasks that are moved back and forth. A target that
// is missed for another cause throttles them, so they are moved, and the next
// tasks take their place.
func TestBestEffortAvoidsMissedTargets(t *testing.T) {
	e, arrive := bestEffortScenario()
	arrive(0, 50) // The estimates learn that the pair is compatible.
	for _, w := range e.Workers[:3] {
		w.TailFactor = 2.6
	}
	arrive(50, 20) // The missed targets become known.
	starts := e.Counts["Starts"]
	arrive(70, 50)
	requireAllEnded(t, e, 30*time.Second)
	requireNoViolations(t, e)
	require.LessOrEqual(t, e.Counts["Starts"]-starts, 50*4+20, "tasks are started about once")
}

// Guards against best-effort tasks that stay paused for ever beside a target
// that is missed for another cause, while other workers meet their targets.
func TestPausedBestEffortMoves(t *testing.T) {
	e, arrive := bestEffortScenario()
	arrive(0, 50)
	for _, w := range e.Workers[:3] {
		w.TailFactor = 4
	}
	arrive(50, 30)
	requireAllEnded(t, e, time.Minute)
	requireNoViolations(t, e)
}

// Guards against a resumed or adopted run that counts as nearly done because
// most of its work was done earlier. It would not be throttled although it
// makes a latency-critical task miss its target.
func TestResumedBestEffortIsThrottled(t *testing.T) {
	for _, name := range []string{"Resumed", "Adopted"} {
		t.Run(name, func(t *testing.T) {
			e := emul.New(61)
			e.AddWorkers(2, sched.Resources{CPU: 32000, Memory: 125 * gib})
			e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
			e.Lead()
			bestEffort := sched.StepSpec{
				Count: 1, Resources: sched.Resources{CPU: 16000, Memory: gib}, Estimate: 3 * time.Minute, Checkpoint: true,
				BestEffort: true, Image: "fill-a",
			}
			e.Submit(&sched.Workflow{ID: "fill", Queue: "Q", Steps: []sched.StepSpec{bestEffort}}, emul.Work{Duration: 3 * time.Minute})
			e.RunFor(171 * time.Second)
			on, other := e.Workers[0], e.Workers[1]
			if on.Running() == 0 {
				on, other = other, on
			}
			critical := sched.StepSpec{
				Count: 1, Resources: sched.Resources{CPU: 6000, Memory: gib}, Perpetual: true, Image: "serve-a",
				TailTarget: 100 * time.Millisecond,
			}
			if name == "Resumed" {
				on.Drain(time.Second)
				e.RunFor(2 * time.Second)
			} else {
				e.Newest().Kill()
				other.Drain(100 * time.Millisecond)
				e.RunFor(200 * time.Millisecond)
				e.Lead()
			}
			e.Submit(&sched.Workflow{ID: "serve", Queue: "Q", Steps: []sched.StepSpec{critical}}, emul.Work{})
			e.RunFor(15 * time.Second)
			requireNoViolations(t, e)
			require.Less(t, e.LongestMiss(), 4*time.Second)
		})
	}
}

// fullPoolScenario returns four workers on which perpetual jobs take all
// processors but the reserve, with more of them waiting.
func fullPoolScenario() *emul.Emulator {
	e := emul.New(71)
	e.AddWorkers(4, sched.Resources{CPU: 16000, Memory: 64 * gib})
	e.AddQueue(sched.Queue{Name: "Lasting"})
	e.AddQueue(sched.Queue{Name: "Short", MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond})
	e.Lead()
	perpetual := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 3000, Memory: gib}, Perpetual: true}
	for i := range 30 {
		id := sched.JobID(fmt.Sprintf("lasting-%02d", i))
		e.Submit(&sched.Workflow{ID: id, Queue: "Lasting", Steps: []sched.StepSpec{perpetual}}, emul.Work{})
	}
	e.RunFor(6 * time.Second)
	return e
}

// Guards against short tasks that wait behind perpetual tasks in a full pool,
// because every piece of capacity that became free went to the latter.
func TestShortTasksStartBeforePerpetual(t *testing.T) {
	e := fullPoolScenario()
	short := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 1500, Memory: gib}, Estimate: 500 * time.Millisecond}
	var jobs []*emul.Job
	for i := range 40 {
		e.After(time.Duration(i)*250*time.Millisecond, func() {
			id := sched.JobID(fmt.Sprintf("short-%02d", i))
			jobs = append(jobs, e.Submit(&sched.Workflow{ID: id, Queue: "Short", Steps: []sched.StepSpec{short}}, emul.Work{Duration: 500 * time.Millisecond}))
		})
	}
	for i, j := range e.Jobs()[:8] {
		e.After(time.Duration(i)*time.Second, func() { e.Cancel(j) })
	}
	e.RunFor(12 * time.Second)
	late := 0
	for _, j := range jobs {
		if j.FinalAt.IsZero() || j.FinalAt.Sub(j.Submitted) > time.Second {
			late++
		}
	}
	require.Zero(t, late, "short jobs that took more than a second")
	requireNoViolations(t, e)
}

// Guards against perpetual tasks that wait although there is free capacity for
// two of them. The reserve is kept for short tasks, but not for ever.
func TestPerpetualTasksUseFreeCapacity(t *testing.T) {
	e := fullPoolScenario()
	running := e.Running()
	for _, j := range e.Jobs()[:3] {
		e.Cancel(j)
	}
	e.RunFor(3 * time.Second)
	require.GreaterOrEqual(t, e.Running(), running-1, "capacity for at most one task stays reserved")
	requireNoViolations(t, e)
}
