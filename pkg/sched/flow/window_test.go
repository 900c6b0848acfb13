package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// quickDuration is how long an urgent task runs.
const quickDuration = 500 * time.Millisecond

// newBusyLeader returns workers and a leader that sends at most 1000 orders a second. It
// gets short best-effort tasks that take about half of this time, and an urgent task
// each 20 ms.
func newBusyLeader(span time.Duration) (*emul.Emulator, *emul.Leader) {
	e := emul.New(43)
	e.AddWorkers(60, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Urgent", MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond})
	l := e.Lead()
	l.OrderCost = time.Millisecond
	e.Load(emul.Class{
		Queue: sched.Queue{Name: "Fill", Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second},
		Rate:  15, Steps: 1, Width: 10, Duration: time.Second, Need: sched.Resources{CPU: 1000, Memory: gib}, BestEffort: true,
		Images: 1, Prefix: "fill",
	}, span)
	for i := range int(span / (20 * time.Millisecond)) {
		e.After(time.Duration(i)*20*time.Millisecond, func() {
			step := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 2000, Memory: gib}, Estimate: quickDuration}
			id := sched.JobID(fmt.Sprintf("urgent%04d", i))
			e.Submit(&sched.Workflow{ID: id, Queue: "Urgent", Steps: []sched.StepSpec{step}}, emul.Work{Duration: quickDuration})
		})
	}
	return e, l
}

// slowest returns the longest time that an urgent job took of those that were submitted
// between two times.
func slowest(e *emul.Emulator, from, to time.Time) (longest time.Duration) {
	for _, j := range e.Jobs() {
		if j.Spec.Queue != "Urgent" || j.Submitted.Before(from) || j.Submitted.After(to) {
			continue
		}
		took := e.Now().Sub(j.Submitted)
		if !j.FinalAt.IsZero() {
			took = j.FinalAt.Sub(j.Submitted)
		}
		longest = max(longest, took)
	}
	return longest
}

// requireQuick asserts that the urgent jobs that were submitted since a time took less
// than twice as long as while the leader is idle.
func requireQuick(t *testing.T, e *emul.Emulator, from time.Time) {
	t.Helper()
	e.RunFor(10 * time.Second)
	require.Less(t, slowest(e, from, e.Now()), 2*quickDuration)
	requireNoViolations(t, e)
}

// Guards against urgent starts that wait behind those of a burst of tasks of a lower
// priority.
func TestUrgentStartsComeBeforeBurst(t *testing.T) {
	e, _ := newBusyLeader(10 * time.Second)
	e.RunFor(3 * time.Second)
	from := e.Now()
	step := sched.StepSpec{Count: 100, Resources: sched.Resources{CPU: 1000, Memory: gib}, Estimate: time.Second, BestEffort: true, Image: "fill"}
	for i := range 20 {
		id := sched.JobID(fmt.Sprint("burst", i))
		e.Submit(&sched.Workflow{ID: id, Queue: "Fill", Steps: []sched.StepSpec{step}}, emul.Work{Duration: time.Second})
	}
	requireQuick(t, e, from)
}

// Guards against a leader that stays late for seconds after it was short of processor
// time, because it ordered more starts meanwhile than it could send.
func TestLeaderIsQuickAgainAfterItWasSlow(t *testing.T) {
	e, l := newBusyLeader(15 * time.Second)
	e.RunFor(3 * time.Second)
	l.OrderCost = 6 * time.Millisecond
	e.RunFor(3 * time.Second)
	l.OrderCost = time.Millisecond
	requireQuick(t, e, e.Now().Add(time.Second))
}

// Guards against starts that count as unanswered for ever, so that the window is used up.
func TestEveryStartLeavesTheWindow(t *testing.T) {
	for name, disturb := range map[string]func(*emul.Emulator){
		"lost answers":   func(e *emul.Emulator) { e.LoseAnswers = 0.3 },
		"late orders":    func(e *emul.Emulator) { e.LateShare = 0.3 },
		"crashed worker": func(e *emul.Emulator) { e.Workers[0].Crash(time.Second) },
		"removed worker": func(e *emul.Emulator) { e.Workers[0].Remove() },
		"full worker":    func(e *emul.Emulator) { e.Workers[0].RefuseStarts = true },
	} {
		t.Run(name, func(t *testing.T) {
			e, l := newBusyLeader(4 * time.Second)
			e.RunFor(time.Second)
			disturb(e)
			e.RunFor(2 * time.Second)
			e.LoseAnswers, e.LateShare = 0, 0
			require.Greater(t, e.Counts["Starts"], 100)
			requireAllEnded(t, e, 40*time.Second)
			require.Zero(t, l.Machine.Totals().Unanswered)
			requireNoViolations(t, e)
		})
	}
}
