package flow

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// longestFrom returns the longest chain that begins with a step, by its definition.
func longestFrom(steps []sched.StepSpec, from int) time.Duration {
	longest := time.Duration(0)
	for i := from + 1; i < len(steps); i++ {
		if slices.Contains(steps[i].After, from) {
			longest = max(longest, longestFrom(steps, i))
		}
	}
	return steps[from].Estimate + longest
}

// Guards against a chain of dependent steps that is left out or counted too short, so
// that jobs with many steps start too late.
func TestChains(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		w := &sched.Workflow{Steps: make([]sched.StepSpec, 1+r.IntN(8))}
		for i := range w.Steps {
			w.Steps[i].Estimate = time.Duration(r.IntN(1000)) * time.Millisecond
			for k := range i {
				if r.IntN(3) == 0 {
					w.Steps[i].After = append(w.Steps[i].After, k)
				}
			}
		}
		m := New(1)
		c := m.chains(m.occurrence(&job{spec: w}, 0))
		for i := range w.Steps {
			require.Equal(t, longestFrom(w.Steps, i), c.from[i], "step %d", i)
		}
		require.Equal(t, slices.Max(c.from), c.longest)
	}
}
