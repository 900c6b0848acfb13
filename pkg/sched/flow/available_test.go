package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// boundedClass returns perpetual jobs of which at most one task may be
// unavailable.
func boundedClass(bestEffort bool) emul.Class {
	c := emul.Class{
		Queue: sched.Queue{Name: "Lasting", Priority: 2, Stretch: 2, Target: time.Second},
		Steps: 1, Width: 6, Duration: time.Second, Need: sched.Resources{CPU: 6000, Memory: 8 * gib},
		Perpetual: true, MaxUnavailable: 1, Images: 3, Prefix: "serve", TailTarget: 18 * time.Millisecond,
	}
	if bestEffort {
		c.Prefix, c.BestEffort, c.TailTarget = "fill", true, 0
	}
	return c
}

// Guards against a stop that makes more tasks of a step unavailable than the step
// permits: to preempt for a queue with a higher priority, to move tasks away from
// interference or to similar images, or to empty workers that leave.
func TestStopsLeaveTasksAvailable(t *testing.T) {
	urgent := emul.Class{
		Queue: sched.Queue{Name: "Urgent", MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
		Rate:  12, Steps: 1, Width: 8, Duration: time.Second, Need: sched.Resources{CPU: 8000, Memory: 8 * gib},
	}
	batch := emul.Class{
		Queue: sched.Queue{Name: "Batch", Priority: 3, MaxAttempts: 3, Stretch: 2, Target: time.Second},
		Rate:  4, Steps: 1, Width: 6, Duration: 2 * time.Second, Need: sched.Resources{CPU: 4000, Memory: 4 * gib},
		BestEffort: true, Checkpoint: true, Images: 3, Prefix: "fill",
	}
	for name, inject := range map[string]func(e *emul.Emulator, l *emul.Leader){
		"Preemption": func(*emul.Emulator, *emul.Leader) {},
		"WorkersLeave": func(e *emul.Emulator, _ *emul.Leader) {
			for _, w := range e.Workers[:6] {
				w.Drain(4 * time.Second)
			}
		},
		"WorkersCrash": func(e *emul.Emulator, _ *emul.Leader) {
			for _, w := range e.Workers[:3] {
				w.Crash(3 * time.Second)
			}
		},
		"LeaderDies": func(e *emul.Emulator, l *emul.Leader) {
			l.Kill()
			e.After(1500*time.Millisecond, func() { e.Lead() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(6) {
				e := emul.New(seed + 40)
				e.AddWorkers(16, sched.Resources{CPU: 32000, Memory: 125 * gib})
				for _, c := range []emul.Class{boundedClass(false), boundedClass(true)} {
					e.AddQueue(c.Queue)
					for range 3 {
						e.SubmitRandom(c)
					}
				}
				e.Load(urgent, 12*time.Second)
				e.Load(batch, 12*time.Second)
				l := e.Lead()
				e.RunFor(5 * time.Second)
				inject(e, l)
				e.RunFor(15 * time.Second)
				requireNoViolations(t, e)
				require.NotZero(t, e.Counts["Stops"], fmt.Sprint("seed ", seed))
			}
		})
	}
}
