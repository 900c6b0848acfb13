package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Guards against a log that does not tell which wait of a new leader took the time.
func TestLogsTellWaits(t *testing.T) {
	step := sched.StepSpec{Count: 4, Resources: sched.Resources{CPU: 6000, Memory: gib}, Perpetual: true}

	t.Run("recovery", func(t *testing.T) {
		e, l := newPerpetual(t, 4, step)
		l.Kill()
		e.Workers[0].Crash(time.Minute)
		e.RunFor(1500 * time.Millisecond)
		l = e.Lead()
		l.KeepEvents = true
		e.RunFor(1200 * time.Millisecond)
		a := requireEvent(t, l, "takeover in progress")
		require.Equal(t, 3, a["answers"])
		require.Equal(t, 1, a["unanswered"])
		require.Equal(t, 1, a["held"])
		require.Contains(t, a["waitsFor"], string(e.Workers[0].Member.Worker))
		require.Less(t, count(l, "takeover in progress"), 4)
		e.RunFor(10 * time.Second)
		a = requireEvent(t, l, "takeover complete")
		require.Greater(t, a["took"], 4*time.Second)
		require.Positive(t, a["half"])
	})

	t.Run("placing", func(t *testing.T) {
		e, l := newPerpetual(t, 4, step)
		for _, w := range e.Workers[:2] {
			w.Crash(time.Minute)
		}
		e.RunFor(12 * time.Second)
		for i := range 4 {
			e.Submit(&sched.Workflow{ID: sched.JobID(fmt.Sprint("more", i)), Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{})
		}
		e.RunFor(4 * time.Second)
		a := requireEvent(t, l, "task waits")
		require.Equal(t, "no suitable worker with free capacity", a["reason"])
		require.Equal(t, len(e.Workers), sum(a, "suitable", "unlisted", "unanswered", "suspected", "noCapacity", "reserved"))
		require.Positive(t, sum(a, "noCapacity", "reserved"))
		require.Less(t, count(l, "task waits"), 40)
	})
}

// newPerpetual leads workers that each hold some tasks of a perpetual step.
func newPerpetual(t *testing.T, workers int, step sched.StepSpec) (*emul.Emulator, *emul.Leader) {
	e := emul.New(23)
	e.AddWorkers(workers, sched.Resources{CPU: 8000, Memory: 32 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	l := e.Lead()
	l.KeepEvents = true
	e.Submit(&sched.Workflow{ID: "job", Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{})
	e.RunFor(2 * time.Second)
	require.Equal(t, 4, e.Running())
	return e, l
}

// requireEvent returns the attributes of a leader's last line for an event.
func requireEvent(t *testing.T, l *emul.Leader, event string) map[string]any {
	t.Helper()
	for _, c := range slices.Backward(l.Events) {
		if c.Event == event {
			return attrsOf(c)
		}
	}
	require.Fail(t, "event is not logged", event)
	return nil
}

// attrsOf returns the attributes of a line by their keys.
func attrsOf(c flow.LogCmd) map[string]any {
	out := map[string]any{}
	for i := 0; i < len(c.Attrs); i += 2 {
		out[c.Attrs[i].(string)] = c.Attrs[i+1]
	}
	return out
}

func count(l *emul.Leader, event string) (n int) {
	for _, c := range l.Events {
		if c.Event == event {
			n++
		}
	}
	return n
}

// sum adds up counts, which are left out where they are 0.
func sum(attrs map[string]any, keys ...string) (n int) {
	for _, k := range keys {
		v, _ := attrs[k].(int)
		n += v
	}
	return n
}
