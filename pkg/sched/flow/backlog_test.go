package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// backlog returns workers whose processors perpetual tasks have taken, with best-effort
// tasks beside these, and a leader that cannot place the given number of steps.
func backlog(workers, steps int) (*emul.Emulator, *emul.Leader) {
	e := emul.New(7)
	e.AddWorkers(workers, sched.Resources{CPU: 16000, Memory: 64 * gib})
	l := e.Lead(flow.WithStopwatch(time.Now))
	submit := func(id string, s sched.StepSpec) {
		e.Submit(&sched.Workflow{ID: sched.JobID(id), Queue: sched.QueueName(id[:5]), Steps: []sched.StepSpec{s}},
			emul.Work{Duration: time.Minute})
	}
	e.AddQueue(sched.Queue{Name: "serve"})
	e.AddQueue(sched.Queue{Name: "short", MaxAttempts: 3, Stretch: 2, Target: time.Second})
	e.AddQueue(sched.Queue{Name: "fills", Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second})
	submit("serve", sched.StepSpec{Count: 4 * workers, Resources: sched.Resources{CPU: 3600, Memory: gib}, Perpetual: true})
	submit("fills", sched.StepSpec{Count: 4 * workers, Resources: sched.Resources{CPU: 200, Memory: gib}, BestEffort: true, Image: "fill"})
	e.RunUntil(20*time.Second, func() bool { return e.Running() == 8*workers })
	for i := range steps {
		need := sched.Resources{CPU: sched.MilliCPU(3000 + i), Memory: 4 * gib}
		submit(fmt.Sprint("short", i), sched.StepSpec{Count: 8, AntiAffinity: i % 2, Resources: need, Estimate: time.Second})
	}
	return e, l
}

// observe runs the emulator and returns the largest counts of an update, and the sum of
// the durations of all passes.
func observe(e *emul.Emulator, l *emul.Leader, d time.Duration) flow.Effort {
	var out, last flow.Effort
	e.RunUntil(d, func() bool {
		f := l.Machine.Effort()
		if f != last {
			out.Pass += f.Pass
		}
		last = f
		out.Steps, out.Ratings, out.Examined = max(out.Steps, f.Steps), max(out.Ratings, f.Ratings), max(out.Examined, f.Examined)
		return false
	})
	return out
}

// Guards against a leader that loses its term because the search for runs to preempt
// looks at all runs for each waiting step.
func TestPreemptionLooksAtRunsOnce(t *testing.T) {
	const workers, steps = 40, 60
	e, l := backlog(workers, steps)
	require.Greater(t, e.Running(), 7*workers)
	f := observe(e, l, time.Second)
	require.Equal(t, steps, f.Steps)
	require.Positive(t, f.Examined)
	require.LessOrEqual(t, f.Examined, e.Running()+2*workers)
}

// BenchmarkBacklog compares the passes of a second on 490 workers with 30 and with 300
// steps that cannot be placed.
func BenchmarkBacklog(b *testing.B) {
	for range b.N {
		var took []time.Duration
		for _, steps := range []int{30, 300} {
			e, l := backlog(490, steps)
			took = append(took, observe(e, l, time.Second).Pass)
		}
		b.ReportMetric(took[1].Seconds()*1000, "ms/300steps")
		b.ReportMetric(float64(took[1])/float64(took[0]), "times30steps")
	}
}
