package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// perpetualScenario returns workers with perpetual tasks that take about half of the
// capacity, and short jobs beside them.
func perpetualScenario(seed uint64) *emul.Emulator {
	e := emul.New(seed)
	e.AddWorkers(30, sched.Resources{CPU: 16000, Memory: 64 * gib})
	e.AddQueue(sched.Queue{Name: "Lasting"})
	perpetual := sched.StepSpec{Count: 3, Resources: sched.Resources{CPU: 2000, Memory: gib}, Perpetual: true}
	for i := range 30 {
		id := sched.JobID(fmt.Sprintf("lasting-%02d", i))
		e.Submit(&sched.Workflow{ID: id, Queue: "Lasting", Steps: []sched.StepSpec{perpetual}}, emul.Work{})
	}
	short := emul.Class{
		Queue: sched.Queue{Name: "Short", MaxAttempts: 3, Stretch: 2, Target: time.Second}, Rate: 8, Steps: 2, Width: 3,
		Duration: 400 * time.Millisecond, Need: sched.Resources{CPU: 1500, Memory: gib},
	}
	e.Load(short, 25*time.Second)
	return e
}

// Guards against perpetual tasks that wait for a worker that is silent, again and again,
// because each leader that follows a planned stop has to find out for itself which of
// them runs where.
func TestPerpetualTasksRunWhileLeadersResign(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			e := perpetualScenario(seed + 1)
			e.Lead()
			e.RunFor(2 * time.Second)
			e.Workers[29].Crash(time.Minute)
			e.RunFor(6 * time.Second)
			e.BoundWaits(6 * time.Second)
			resignInTurn(e, 6, 1500*time.Millisecond)
			for i := range 14 {
				e.After(time.Duration(i)*900*time.Millisecond, func() {
					e.Workers[i].Drain(2500 * time.Millisecond)
					e.AddWorkers(1, sched.Resources{CPU: 16000, Memory: 64 * gib})
				})
			}
			e.RunFor(25 * time.Second)
			requireAllEnded(t, e, 20*time.Second)
			requireNoViolations(t, e)
			require.Less(t, e.LongestWait(), 2*time.Second)
		})
	}
}
