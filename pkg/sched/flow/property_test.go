package flow_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// TestMain fixes the seed of rapid, so that every run checks the same 1,000
// sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.checks": "1000", "rapid.nofailfile": "true"}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		settings["rapid.seed"] = "20261204"
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// smallScenario returns five workers with short jobs of every kind.
func smallScenario(seed uint64) *emul.Emulator {
	e := emul.New(seed)
	e.AddWorkers(5, sched.Resources{CPU: 16000, Memory: 64 * gib})
	for _, c := range emul.Colocated(0.1) {
		c.Duration = min(c.Duration, 500*time.Millisecond)
		c.Width, c.MeanLifetime = 3, 2*time.Second
		e.Load(c, 3*time.Second)
	}
	return e
}

// Guards against sequences of faults that no other test covers. The emulator
// checks what workers and callers see. Once the faults are over, every job that
// can end has to end.
func TestAnySequenceOfFaults(t *testing.T) {
	all := faults()
	rapid.Check(t, func(t *rapid.T) {
		e := smallScenario(rapid.Uint64Range(1, 1<<32).Draw(t, "seed"))
		l := e.Lead()
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			f := rapid.SampledFrom(all).Draw(t, "fault")
			at := rapid.IntRange(0, 4000).Draw(t, "at")
			e.After(time.Duration(at)*time.Millisecond, func() { f.inject(e, l) })
		}
		e.RunFor(26 * time.Second)
		if !e.HasLeader() {
			e.Lead()
		}
		if !e.RunUntil(endTimeout, e.AllFinal) {
			t.Fatalf("jobs are unfinished")
		}
		if err := e.Check(); err != nil {
			t.Fatal(err)
		}
	})
}
