package flow

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// heapInUse returns how much memory is in use.
func heapInUse() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// requireCovered checks that a machine takes no more memory for a job than its cost, and
// not much less.
func requireCovered(t *testing.T, describe func() *sched.Workflow) {
	t.Helper()
	m := New(1)
	before := heapInUse()
	w := describe()
	m.Update(time.Unix(1_700_000_000, 0), JobMsg{Job: w})
	m.waitingSteps()
	took := heapInUse() - before
	kept, _ := m.Kept(m.now)
	require.Equal(t, Cost(w), kept.Cost)
	require.Less(t, took, int64(kept.Cost), "memory that the job takes")
	require.Greater(t, 3*took, int64(kept.Cost), "memory that the job takes")
	runtime.KeepAlive(m)
}

// steps returns n steps of one task each.
func steps(n int, change func(i int, s *sched.StepSpec)) func() *sched.Workflow {
	return func() *sched.Workflow {
		w := &sched.Workflow{ID: "0000000000000001", Steps: make([]sched.StepSpec, n)}
		for i := range w.Steps {
			w.Steps[i].Count = 1
			change(i, &w.Steps[i])
		}
		return w
	}
}

// Guards against a kind of job that takes much more memory than it is counted with, so
// that many of them end the process, and against one that is counted with much more, so
// that callers are refused in vain.
func TestCost(t *testing.T) {
	for name, describe := range map[string]func() *sched.Workflow{
		"ManySteps": steps(5000, func(int, *sched.StepSpec) {}),
		"ManyTasks": steps(1, func(_ int, s *sched.StepSpec) { s.Count = 50_000 }),
		"LongNames": steps(50, func(_ int, s *sched.StepSpec) { s.Requires = strings.Repeat("r", 50_000) }),
		"Dependent": steps(500, func(i int, s *sched.StepSpec) {
			s.After = make([]int, i)
			for k := range s.After {
				s.After[k] = k
			}
		}),
		"Repeated": func() *sched.Workflow {
			w := steps(2, func(_ int, s *sched.StepSpec) { s.Count = 4 })()
			w.Repeat, w.First = 2000, 1
			return w
		},
	} {
		t.Run(name, func(t *testing.T) { requireCovered(t, describe) })
	}
}
