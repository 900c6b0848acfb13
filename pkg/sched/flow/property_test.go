package flow_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// propertyParts is the number of parts in which the sequences are checked, at the
// same time.
const propertyParts = 5

// TestMain fixes the seed of rapid, so that every run checks the same 1,000
// sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.checks": strconv.Itoa(1000 / propertyParts), "rapid.nofailfile": "true"}
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
	for part := range propertyParts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			checkSequences(t, uint64(part))
		})
	}
}

// checkSequences checks one part of the sequences. All parts draw the same
// numbers. The part changes the seed of the emulator, and which fault a number
// stands for.
func checkSequences(t *testing.T, part uint64) {
	all := faults()
	n := int(part) * len(all) / propertyParts
	all = slices.Concat(all[n:], all[:n])
	rapid.Check(t, func(t *rapid.T) {
		e := smallScenario(rapid.Uint64Range(1, 1<<32).Draw(t, "seed") + part<<32)
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
