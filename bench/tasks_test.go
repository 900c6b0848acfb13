package bench

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// hostedTasks returns a machine with n queued tasks whose workers have answered
// their first inventory. The machine is suspended, so no task has started.
func hostedTasks(n int, l *taskLedger) (*tasks.Machine, time.Time) {
	m := tasks.New(taskShard, l, place.NewPack())
	now := benchStart
	m.Update(now, tasks.SuspendMsg{})
	for _, cmd := range m.Update(now, tasks.AcquiredMsg{Epoch: 1, Workers: l.instances, HistoryLongEnough: true}) {
		if c, ok := cmd.(tasks.InventoryCmd); ok {
			m.Update(now, tasks.InventoryMsg{Worker: c.Worker, Seq: c.Seq, Outcome: tasks.CallOK})
		}
	}
	m.Update(now, tasks.SuspendMsg{})
	for i := range n {
		e := tasks.Event{
			Kind: tasks.EventAssign, Team: sched.TeamName(fmt.Sprint("Team", i%100)),
			Task: sched.TaskID{Job: sched.JobID(fmt.Sprint("job-", i/10)), Index: i % 10},
			Spec: sched.TaskSpec{Class: "Tracking", Resources: taskResources, RunTime: time.Duration(i%600) * time.Second},
		}
		for _, cmd := range m.Update(now, tasks.EventMsg{From: taskShard, Event: e}) {
			if c, ok := cmd.(sched.AppendCmd); ok {
				m.Update(now, sched.CommittedMsg{Ticket: c.Ticket})
			}
		}
	}
	return m, now.Add(time.Second)
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkTaskState measures the heap bytes of a queued task.
func BenchmarkTaskState(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				m, _ := hostedTasks(n, newTaskLedger(500, taskResources.Scale(1000)))
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/task")
				runtime.KeepAlive(m)
			}
		})
	}
}

// BenchmarkTaskStarts measures task starts from a queue of n tasks on 500
// workers. Each includes placement, reservation and the worker's answer.
func BenchmarkTaskStarts(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			starts, spent := 0, time.Duration(0)
			var mallocs uint64
			for b.Loop() {
				m, now := hostedTasks(n, newTaskLedger(500, taskResources.Scale(1000)))
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				begin := time.Now()
				cmds := m.Update(now, tasks.ResumeMsg{})
				for _, cmd := range cmds {
					if c, ok := cmd.(tasks.StartCmd); ok {
						starts++
						m.Update(now, tasks.StartResultMsg{
							Worker: c.Worker, Task: c.Start.Lease.Task,
							Attempt: c.Start.Lease.Attempt, Outcome: tasks.CallOK,
						})
					}
				}
				spent += time.Since(begin)
				runtime.ReadMemStats(&after)
				mallocs += after.Mallocs - before.Mallocs
			}
			b.ReportMetric(float64(starts)/spent.Seconds(), "starts/s")
			b.ReportMetric(float64(mallocs)/float64(starts), "allocs/start")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTaskTicks measures a tick with n tasks running on 500 workers.
func BenchmarkTaskTicks(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			m, now := hostedTasks(n, newTaskLedger(500, taskResources.Scale(1000)))
			for _, cmd := range m.Update(now, tasks.ResumeMsg{}) {
				if c, ok := cmd.(tasks.StartCmd); ok {
					m.Update(now, tasks.StartResultMsg{
						Worker: c.Worker, Task: c.Start.Lease.Task,
						Attempt: c.Start.Lease.Attempt, Outcome: tasks.CallOK,
					})
				}
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				m.Update(now, sched.TickMsg{})
			}
		})
	}
}

// BenchmarkTaskCancels measures the cancellation of 10,000 tasks in a queue of n.
// Each includes its journal record and the report to the home shard.
func BenchmarkTaskCancels(b *testing.B) {
	const cancels = 10_000
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			spent, runs := time.Duration(0), 0
			for b.Loop() {
				m, now := hostedTasks(n, newTaskLedger(50, taskResources))
				begin := time.Now()
				for i := range cancels {
					e := tasks.Event{Kind: tasks.EventCancel, Task: sched.TaskID{
						Job: sched.JobID(fmt.Sprint("job-", i/10)), Index: i % 10,
					}}
					for _, cmd := range m.Update(now, tasks.EventMsg{From: taskShard, Event: e}) {
						if c, ok := cmd.(sched.AppendCmd); ok {
							m.Update(now, sched.CommittedMsg{Ticket: c.Ticket})
						}
					}
				}
				spent += time.Since(begin)
				runs++
			}
			b.ReportMetric(float64(spent.Nanoseconds())/float64(runs*cancels), "ns/cancel")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkPlacement compares the placers on workers whose capacity is partly
// reserved.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000} {
		l := newTaskLedger(workers, taskResources.Scale(32))
		for i := range l.workers {
			l.workers[i].Free = taskResources.Scale(i * 7 % 33)
		}
		spec := sched.TaskSpec{Class: "Tracking", Resources: taskResources.Scale(2)}
		for name, p := range map[string]sched.Placer{"pack": place.NewPack(), "first-fit": place.FirstFit{}} {
			b.Run(fmt.Sprintf("workers=%d/%s", workers, name), func(b *testing.B) {
				for b.Loop() {
					p.Place(benchStart, spec, l.workers, nil)
				}
			})
		}
		full := sched.TaskSpec{Class: "Tracking", Resources: taskResources.Scale(33)}
		b.Run(fmt.Sprintf("workers=%d/pack-none-fits", workers), func(b *testing.B) {
			p := place.NewPack()
			for b.Loop() {
				p.Place(benchStart, full, l.workers, nil)
			}
		})
	}
}
