package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const gib = 1 << 30

// newDay returns an emulated deployment with its usual load for a time.
func newScenario(seed uint64, workers int, span time.Duration) *emul.Emulator {
	e := emul.New(seed)
	e.AddWorkers(workers, sched.Resources{CPU: 32000, Memory: 125 * gib})
	classes := emul.Colocated(float64(workers) / 48)
	e.StartLasting(classes, 37*workers/48)
	for _, c := range classes {
		e.Load(c, span)
	}
	return e
}

// requireSound asserts that nothing happened that must never happen.
func requireNoViolations(t *testing.T, e *emul.Emulator) {
	t.Helper()
	require.NoError(t, e.Check())
}

// requireSettled asserts that every job that can end has ended.
func requireAllEnded(t *testing.T, e *emul.Emulator, within time.Duration) {
	t.Helper()
	if e.RunUntil(within, e.Settled) {
		return
	}
	for _, j := range e.Jobs() {
		if !j.Spec.Lasts() && !j.State.Final() {
			t.Errorf("job %s of %s is %s, %s after its submission", j.Spec.ID, j.Spec.Queue, j.State, e.Now().Sub(j.Submitted))
		}
	}
	t.FailNow()
}

// Guards against a machine that does not finish what it was given.
func TestCalmDay(t *testing.T) {
	e := newScenario(1, 24, 10*time.Second)
	e.Lead()
	e.RunFor(10 * time.Second)
	requireAllEnded(t, e, 60*time.Second)
	requireNoViolations(t, e)
}

func BenchmarkDay(b *testing.B) {
	for range b.N {
		e := newScenario(1, 48, 30*time.Second)
		e.Lead()
		e.RunFor(30 * time.Second)
	}
}

// BenchmarkHostileDay has images that fill of which half disturb all that serve,
// so that many tasks wait for workers where they do no harm.
func BenchmarkHostileDay(b *testing.B) {
	for range b.N {
		e := newScenario(1, 350, 15*time.Second)
		e.Disturbs = func(fills, serves string) bool { return fills < "fill5" && serves != "" }
		e.Lead()
		e.RunFor(15 * time.Second)
	}
}

func BenchmarkGrownDay(b *testing.B) {
	for range b.N {
		e := newScenario(1, 480, 15*time.Second)
		e.Lead()
		e.RunFor(15 * time.Second)
	}
}
