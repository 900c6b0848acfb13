package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// adviceTimes are the times of an adviser that permits half of the workers.
type adviceTimes struct{ decide, each, valid time.Duration }

// wideSteps submits jobs of one step to a queue with an adviser that has one desk or
// several, on 64 workers. The queue's configuration shows the times of the adviser.
func wideSteps(times adviceTimes, desks, jobs int, step sched.StepSpec) *emul.Emulator {
	e := emul.New(44)
	e.AddWorkers(64, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3, Advised: true, Advice: sched.AdviceTimes{
		Decide: times.decide, Each: times.each, Valid: times.valid,
	}})
	e.Adviser = emul.Adviser{Share: 0.5, Decide: times.decide, Each: times.each, Valid: times.valid, Desks: desks}
	e.Lead()
	e.RunFor(time.Second)
	for i := range jobs {
		id := sched.JobID(fmt.Sprint("job", i))
		e.Submit(&sched.Workflow{ID: id, Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{Duration: 2 * time.Second})
	}
	return e
}

// wideStep is a step of 32 tasks, of which nine fit on one worker.
var wideStep = sched.StepSpec{Count: 32, Resources: sched.Resources{CPU: 3500, Memory: gib}}

// Guards against a step that waits for ever although workers are permitted and idle,
// because the tickets have expired when the answer arrives, in each call again.
func TestTicketsAreValidWhenTheyArrive(t *testing.T) {
	for name, times := range map[string]adviceTimes{
		"as in the review":     {200 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second},
		"long decide":          {2 * time.Second, 20 * time.Millisecond, 3 * time.Second},
		"decide of one margin": {2600 * time.Millisecond, 50 * time.Millisecond, 3 * time.Second},
		"decide in the margin": {2750 * time.Millisecond, 20 * time.Millisecond, 3 * time.Second},
		"decide until the end": {2950 * time.Millisecond, 20 * time.Millisecond, 3 * time.Second},
		"long each":            {100 * time.Millisecond, time.Second, 3 * time.Second},
		"short each":           {20 * time.Millisecond, 2 * time.Millisecond, 3 * time.Second},
		"short validity":       {100 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond},
		"tiny validity":        {10 * time.Millisecond, 2 * time.Millisecond, 40 * time.Millisecond},
	} {
		for _, desks := range []int{1, 4} {
			for _, fromQuestion := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d desks/%t", name, desks, fromQuestion), func(t *testing.T) {
					e := wideSteps(times, desks, 1, wideStep)
					e.Adviser.FromQuestion = fromQuestion
					requireAllEnded(t, e, 40*time.Second)
					requireNoViolations(t, e)
				})
			}
		}
	}
}

// Guards against a queue whose adviser always takes longer than tickets are valid: the
// tickets may count from the answer, and have to be tried.
func TestAnswersTakeLongerThanTicketsAreValid(t *testing.T) {
	times := adviceTimes{4 * time.Second, 100 * time.Millisecond, 3 * time.Second}
	t.Run("valid from the answer", func(t *testing.T) {
		e := wideSteps(times, 4, 2, wideStep)
		requireAllEnded(t, e, 20*time.Second)
		requireNoViolations(t, e)
		require.Zero(t, e.Counts["NoTicket"])
	})
	t.Run("valid from the question", func(t *testing.T) {
		e := wideSteps(times, 4, 2, wideStep)
		e.Adviser.FromQuestion = true
		l := e.Newest()
		l.KeepEvents = true
		e.RunFor(time.Minute)
		require.Zero(t, e.Counts["Runs"])
		require.Less(t, e.Counts["NoTicket"], 100, "starts that cannot succeed are not repeated")
		require.Less(t, e.Counts["Advice"], 10, "calls that cannot succeed are not repeated")
		var reasons []any
		for _, x := range l.Events {
			if x.Event == "step waits" {
				reasons = append(reasons, x.Attrs...)
			}
		}
		require.Contains(t, reasons, "tickets expire before the adviser answers")
	})
}

// Guards against wide steps that take the adviser from each other until the tickets of
// all have expired.
func TestWideStepsAtOnce(t *testing.T) {
	for _, desks := range []int{1, 4} {
		t.Run(fmt.Sprint(desks), func(t *testing.T) {
			e := wideSteps(adviceTimes{200 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second}, desks, 8, wideStep)
			requireAllEnded(t, e, 40*time.Second)
			requireNoViolations(t, e)
			require.Zero(t, e.Counts["NoTicket"])
		})
	}
}

// Guards against a gang that never starts because its members' tickets are not valid at
// the same time: more workers are needed than one call may name.
func TestGangNeedsTicketsTogether(t *testing.T) {
	for _, members := range []int{4, 16, 26} {
		for _, desks := range []int{1, 4} {
			t.Run(fmt.Sprintf("%d members/%d desks", members, desks), func(t *testing.T) {
				gang := sched.StepSpec{
					Count: members, Resources: sched.Resources{CPU: 3500, Memory: gib}, Gang: true, AntiAffinity: 1,
				}
				e := wideSteps(adviceTimes{200 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second}, desks, 1, gang)
				requireAllEnded(t, e, 40*time.Second)
				requireNoViolations(t, e)
			})
		}
	}
}

// Guards against calls that always fail because the adviser takes longer than the
// configuration says, and the timeout stays the same.
func TestAdviserIsSlowerThanConfigured(t *testing.T) {
	for _, fromQuestion := range []bool{false, true} {
		t.Run(fmt.Sprint(fromQuestion), func(t *testing.T) {
			// Only two of the tasks fit on one worker, so that a call names many.
			step := wideStep
			step.AntiAffinity = 2
			e := wideSteps(adviceTimes{20 * time.Millisecond, 2 * time.Millisecond, 3 * time.Second}, 4, 1, step)
			e.Adviser.Decide, e.Adviser.Each, e.Adviser.FromQuestion = 500*time.Millisecond, 150*time.Millisecond, fromQuestion
			requireAllEnded(t, e, 30*time.Second)
			requireNoViolations(t, e)
		})
	}
}

// Guards against steps without free capacity that keep the adviser from the others.
func TestFruitlessCallsComeLast(t *testing.T) {
	large := sched.StepSpec{Count: 2, Resources: sched.Resources{CPU: 20000, Memory: gib}, Requires: "a"}
	e := wideSteps(adviceTimes{200 * time.Millisecond, 100 * time.Millisecond, time.Second}, 1, 0, wideStep)
	// Each worker has less free capacity than a large task needs.
	filling := sched.StepSpec{Count: 64, Resources: sched.Resources{CPU: 14000, Memory: gib}, AntiAffinity: 1, Perpetual: true}
	e.AddQueue(sched.Queue{Name: "Plain", MaxAttempts: 3})
	e.Submit(&sched.Workflow{ID: "filling", Queue: "Plain", Steps: []sched.StepSpec{filling}}, emul.Work{})
	e.RunFor(2 * time.Second)
	require.Equal(t, 64, e.Running())
	for i := range 12 {
		id := sched.JobID(fmt.Sprint("large", i))
		e.Submit(&sched.Workflow{ID: id, Queue: "Q", Steps: []sched.StepSpec{large}}, emul.Work{Duration: time.Second})
	}
	e.RunFor(5 * time.Second)
	small := e.Submit(&sched.Workflow{ID: "small", Queue: "Q", Steps: []sched.StepSpec{wideStep}}, emul.Work{Duration: time.Second})
	require.True(t, e.RunUntil(15*time.Second, func() bool { return small.State == sched.JobCompleted }))
	requireNoViolations(t, e)
}
