package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// maxGap is how long a perpetual task may be without a run while capacity becomes free
// again and again.
const maxGap = 6 * time.Second

// crowded returns workers with perpetual tasks beside more short tasks than fit.
func crowded(t *testing.T) (*emul.Emulator, *emul.Leader, sched.StepSpec) {
	e := emul.New(29)
	e.AddWorkers(9, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Serve"})
	l := e.Lead()
	serve := sched.StepSpec{Count: 27, Resources: sched.Resources{CPU: 6000, Memory: gib}, Perpetual: true}
	e.Submit(&sched.Workflow{ID: "serve", Queue: "Serve", Steps: []sched.StepSpec{serve}}, emul.Work{})
	e.RunFor(2 * time.Second)
	require.Equal(t, 27, running(e, "serve"))
	e.Load(emul.Class{
		Queue: sched.Queue{Name: "Short", MaxAttempts: 3, Stretch: 1.5, Target: 10 * time.Second},
		Rate:  30, Steps: 1, Width: 6, Duration: 700 * time.Millisecond, Need: sched.Resources{CPU: 3000, Memory: gib},
	}, time.Minute)
	e.RunFor(3 * time.Second)
	return e, l, serve
}

// running returns the number of runs of a job.
func running(e *emul.Emulator, id sched.JobID) (n int) {
	for _, w := range e.Workers {
		n += w.RunningOf(id)
	}
	return n
}

// Guards against perpetual tasks that lost their run and wait for ever, because short
// tasks take all capacity that becomes free.
func TestLostPerpetualTaskRunsAgain(t *testing.T) {
	t.Run("drain", func(t *testing.T) {
		e, _, _ := crowded(t)
		e.Workers[0].Drain(2 * time.Second)
		e.RunFor(time.Second)
		require.Less(t, running(e, "serve"), 27)
		require.True(t, e.RunUntil(maxGap, func() bool { return running(e, "serve") == 27 }))
		requireNoViolations(t, e)
	})

	t.Run("leader changes meanwhile", func(t *testing.T) {
		e, l, _ := crowded(t)
		e.Workers[0].Drain(20 * time.Second)
		e.RunFor(2500 * time.Millisecond)
		l.Kill()
		e.RunFor(1500 * time.Millisecond)
		e.Lead()
		require.True(t, e.RunUntil(maxGap-3*time.Second, func() bool { return running(e, "serve") == 27 }))
		requireNoViolations(t, e)
	})

	t.Run("new tasks come after short ones", func(t *testing.T) {
		e, _, serve := crowded(t)
		serve.Count = 9
		e.Submit(&sched.Workflow{ID: "new", Queue: "Serve", Steps: []sched.StepSpec{serve}}, emul.Work{})
		e.RunFor(maxGap)
		require.Zero(t, running(e, "new"))
	})
}
