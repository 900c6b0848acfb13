package emul_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// play runs a scenario with faults of every kind and returns its event log.
func play(seed uint64) string {
	const gib = 1 << 30
	e := emul.New(seed)
	e.AddWorkers(24, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.LoseAnswers, e.LateShare = 0.02, 0.01
	classes := emul.Colocated(1)
	e.SubmitPerpetual(classes, 6)
	for _, c := range classes {
		e.Load(c, 5*time.Second)
	}
	first := e.Lead()
	first.KeepEvents = true
	e.RunFor(2 * time.Second)
	e.Workers[0].Crash(time.Second)
	e.Workers[1].Drain(2 * time.Second)
	e.Workers[2].SetHang(true)
	first.CutWorker(e.Workers[3], true)
	e.RunFor(2 * time.Second)
	first.Kill()
	// The leases of all runs expire before the next leader renews them.
	e.RunFor(7 * time.Second)
	second := e.Lead()
	second.KeepEvents = true
	e.RunFor(8 * time.Second)
	var b strings.Builder
	for _, l := range []*emul.Leader{first, second} {
		for _, x := range l.Events {
			fmt.Fprintln(&b, x.Event, x.Attrs)
		}
	}
	fmt.Fprintln(&b, e.Counts, e.Violations)
	return b.String()
}

// Guards against a simulation that differs between two runs with the same seed,
// so that a failure cannot be replayed from its seed.
func TestSameSeedSameEvents(t *testing.T) {
	want := strings.Split(play(1), "\n")
	require.Greater(t, len(want), 1000)
	for range 19 {
		got := strings.Split(play(1), "\n")
		for i := range min(len(want), len(got)) {
			require.Equal(t, want[i], got[i], "event %d", i)
		}
		require.Len(t, got, len(want))
	}
}
