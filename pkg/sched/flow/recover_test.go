package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// BenchmarkRecover measures what a new leader does for each live task: it takes
// in the stored jobs and their progress.
func BenchmarkRecover(b *testing.B) {
	for _, tasks := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			const perJob = 20
			jobs := make([]*sched.Workflow, tasks/perJob)
			for i := range jobs {
				step := sched.StepSpec{Count: perJob / 2, Resources: sched.Resources{CPU: 1000}}
				second := step
				second.After = []int{0}
				jobs[i] = &sched.Workflow{
					ID: sched.JobID(fmt.Sprintf("%016x", i)), Queue: "Q", Steps: []sched.StepSpec{step, second},
				}
			}
			fleet := &sched.Fleet{Revision: 1, Queues: map[sched.QueueName]sched.Queue{"Q": {Name: "Q", Service: "S"}}}
			b.ResetTimer()
			b.ReportAllocs()
			for range b.N {
				m := flow.New(2)
				now := time.Unix(1_700_000_000, 0)
				m.Update(now, flow.ConfigMsg{Fleet: fleet})
				for _, j := range jobs {
					m.Update(now, flow.JobMsg{Job: j, Inherited: true})
				}
				m.Update(now, flow.TakeoverMsg{})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
		})
	}
}

// BenchmarkTakeover measures, in virtual time, how long work waits for a new
// leader: from its first message to its first start, with all workers alive.
func BenchmarkTakeover(b *testing.B) {
	worst := time.Duration(0)
	for n := range b.N {
		e := newDay(uint64(n+1), 48, 20*time.Second)
		l := e.Lead()
		e.RunFor(8 * time.Second)
		l.Kill()
		e.RunFor(1500 * time.Millisecond)
		starts, began := e.Counts["Starts"], e.Now()
		e.Lead()
		e.RunUntil(10*time.Second, func() bool { return e.Counts["Starts"] > starts })
		worst = max(worst, e.Now().Sub(began))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "ms/worst")
}
