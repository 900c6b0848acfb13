package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const gib = 1 << 30

// newScenario returns an emulated deployment that gets its usual load for a
// time.
func newScenario(seed uint64, workers int, span time.Duration) *emul.Emulator {
	e := emul.New(seed)
	e.AddWorkers(workers, sched.Resources{CPU: 32000, Memory: 125 * gib})
	classes := emul.Colocated(float64(workers) / 48)
	e.SubmitPerpetual(classes, 37*workers/48)
	for _, c := range classes {
		e.Load(c, span)
	}
	return e
}

// requireNoViolations asserts that the emulator saw no violation of its
// invariants.
func requireNoViolations(t *testing.T, e *emul.Emulator) {
	t.Helper()
	require.NoError(t, e.Check())
}

// requireAllEnded asserts that every job that can end has ended.
func requireAllEnded(t *testing.T, e *emul.Emulator, within time.Duration) {
	t.Helper()
	if e.RunUntil(within, e.AllFinal) {
		return
	}
	for _, j := range e.Jobs() {
		if !j.Spec.Perpetual() && !j.State.Final() {
			t.Errorf("job %s of %s is %s, %s after its submission", j.Spec.ID, j.Spec.Queue, j.State, e.Now().Sub(j.Submitted))
		}
	}
	t.FailNow()
}

// Guards against a machine that leaves jobs unfinished although nothing fails.
func TestCalmScenario(t *testing.T) {
	e := newScenario(1, 24, 10*time.Second)
	e.Lead()
	e.RunFor(10 * time.Second)
	requireAllEnded(t, e, 60*time.Second)
	requireNoViolations(t, e)
}

// BenchmarkDay simulates 30 s of the usual load on 48 workers.
func BenchmarkDay(b *testing.B) {
	for range b.N {
		e := newScenario(1, 48, 30*time.Second)
		e.Lead()
		e.RunFor(30 * time.Second)
	}
}

// BenchmarkHostileDay has best-effort images of which half interfere with all
// latency-critical images, so that many tasks wait for compatible workers.
func BenchmarkHostileDay(b *testing.B) {
	for range b.N {
		e := newScenario(1, 350, 15*time.Second)
		e.Interferes = func(bestEffort, critical string) bool { return bestEffort < "fill5" && critical != "" }
		e.Lead()
		e.RunFor(15 * time.Second)
	}
}

// BenchmarkGrownDay simulates 15 s of the usual load on 480 workers, ten times
// as many as BenchmarkDay.
func BenchmarkGrownDay(b *testing.B) {
	for range b.N {
		e := newScenario(1, 480, 15*time.Second)
		e.Lead()
		e.RunFor(15 * time.Second)
	}
}
