package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Guards against a new leader that waits for ever for proof that an earlier one
// has stopped, because at least half of the workers are permanently gone.
func TestTakeoverAfterTheLossOfWorkers(t *testing.T) {
	for _, gone := range []int{8, 11} {
		t.Run(fmt.Sprint(gone), func(t *testing.T) {
			e := emul.New(21)
			e.AddWorkers(16, sched.Resources{CPU: 32000, Memory: 125 * gib})
			e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
			l := e.Lead()
			for range 6 {
				e.SubmitRandom(emul.Class{
					Queue: sched.Queue{Name: "Q"}, Steps: 2, Width: 8, Duration: 2 * time.Second,
					Need: sched.Resources{CPU: 2000, Memory: gib},
				})
			}
			e.RunFor(time.Second)
			l.Kill()
			for _, w := range e.Workers[:gone] {
				w.Remove()
			}
			e.RunFor(1500 * time.Millisecond)
			e.Lead()
			requireAllEnded(t, e, 40*time.Second)
			requireNoViolations(t, e)
		})
	}
}

// Guards against a step that waits for an unresponsive worker although no
// earlier leader can have started it, because the step before it ended under
// the new leader.
func TestNextStepStartsBesideASilentWorker(t *testing.T) {
	e := emul.New(22)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	l := e.Lead()
	step := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 2000, Memory: gib}, Estimate: 6 * time.Second}
	next := step
	next.After = []int{0}
	e.Submit(&sched.Workflow{ID: "job", Queue: "Q", Steps: []sched.StepSpec{step, next}}, emul.Work{Duration: 6 * time.Second})
	e.RunFor(time.Second)
	l.Kill()
	for _, w := range e.Workers {
		if w.Running() == 0 {
			w.Crash(time.Minute)
			break
		}
	}
	e.RunFor(1500 * time.Millisecond)
	e.Lead()
	e.RunFor(4 * time.Second)
	require.Equal(t, 2, e.Counts["Starts"], "the second step runs at once")
	requireAllEnded(t, e, 10*time.Second)
	requireNoViolations(t, e)
}

// inheritJob kills the leader, submits a job that only the next leader gets to know,
// and returns the job and a function that begins the next term.
func inheritJob(e *emul.Emulator) (*emul.Job, func()) {
	e.Newest().Kill()
	j := e.Submit(&sched.Workflow{
		ID: "inherited", Queue: "Q", Steps: []sched.StepSpec{{Count: 1, Resources: sched.Resources{CPU: 2000, Memory: gib}}},
	}, emul.Work{Duration: time.Second})
	return j, func() {
		e.RunFor(1500 * time.Millisecond)
		e.Lead()
	}
}

// Guards against a new leader that waits for workers that no earlier leader can have
// given orders to, because the durable roster does not name them.
func TestTakeoverDoesNotWaitForWorkersThatJustJoined(t *testing.T) {
	e := emul.New(24)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	e.Lead()
	e.RunFor(time.Second)
	j, lead := inheritJob(e)
	e.AddWorkers(1, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.Workers[8].Crash(time.Minute)
	lead()
	e.RunFor(500 * time.Millisecond)
	require.Equal(t, 1, j.Runs)
	requireNoViolations(t, e)
}

// Guards against a new leader that waits for workers that left as planned before the
// term began.
func TestTakeoverDoesNotWaitForWorkersThatLeft(t *testing.T) {
	e := emul.New(25)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	e.Lead()
	long := sched.StepSpec{Count: 8, AntiAffinity: 1, Resources: sched.Resources{CPU: 2000, Memory: gib}, Perpetual: true}
	e.Submit(&sched.Workflow{ID: "long", Queue: "Q", Steps: []sched.StepSpec{long}}, emul.Work{})
	e.RunFor(time.Second)
	for i, w := range e.Workers[:3] {
		e.After(time.Duration(i)*300*time.Millisecond, func() { w.Drain(3 * time.Second) })
	}
	e.RunFor(4 * time.Second)
	j, lead := inheritJob(e)
	lead()
	e.RunFor(500 * time.Millisecond)
	require.Equal(t, 1, j.Runs)
	requireNoViolations(t, e)
}

// Guards against a task that waits for a silent worker although its run was in progress
// under the new leader and ended there, so that no earlier leader can have started it
// elsewhere.
func TestTaskStartsAgainBesideASilentWorker(t *testing.T) {
	e := emul.New(28)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	l := e.Lead()
	long := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 2000, Memory: gib}, Perpetual: true}
	e.Submit(&sched.Workflow{ID: "long", Queue: "Q", Steps: []sched.StepSpec{long}}, emul.Work{})
	e.RunFor(time.Second)
	l.Kill()
	holder, silent := e.Workers[0], e.Workers[1]
	if holder.Running() == 0 {
		holder, silent = e.Workers[1], e.Workers[0]
	}
	require.Equal(t, 1, holder.Running())
	silent.Crash(time.Minute)
	e.RunFor(1500 * time.Millisecond)
	e.Lead()
	e.RunFor(2500 * time.Millisecond)
	holder.Drain(time.Minute)
	e.RunFor(1500 * time.Millisecond)
	require.Zero(t, holder.Running())
	require.Equal(t, 1, e.Running())
	requireNoViolations(t, e)
}

// BenchmarkRecover measures what a new leader does for each live task when it
// loads the stored jobs and their progress.
func BenchmarkRecover(b *testing.B) {
	for _, tasks := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			const perJob = 20
			jobs := make([]*sched.Workflow, tasks/perJob)
			for i := range jobs {
				step := sched.StepSpec{Count: perJob / 2, Resources: sched.Resources{CPU: 1000}}
				second := step
				second.After = []int{0}
				jobs[i] = &sched.Workflow{
					ID: sched.JobID(fmt.Sprintf("%016x", i)), Queue: "Q", Steps: []sched.StepSpec{step, second},
				}
			}
			fleet := &sched.FleetConfig{Revision: 1, Queues: map[sched.QueueName]sched.Queue{"Q": {Name: "Q", Service: "S"}}}
			b.ResetTimer()
			b.ReportAllocs()
			for range b.N {
				m := flow.New(2)
				now := time.Unix(1_700_000_000, 0)
				m.Update(now, flow.ConfigMsg{Fleet: fleet})
				for _, j := range jobs {
					m.Update(now, flow.JobMsg{Job: j, Inherited: true})
				}
				m.Update(now, flow.TakeoverMsg{})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/task")
		})
	}
}

// BenchmarkTakeover measures, in virtual time, how long work waits for a new
// leader, from its first message to its first start, with all workers alive.
func BenchmarkTakeover(b *testing.B) {
	worst := time.Duration(0)
	for n := range b.N {
		e := newScenario(uint64(n+1), 48, 20*time.Second)
		l := e.Lead()
		e.RunFor(8 * time.Second)
		l.Kill()
		e.RunFor(1500 * time.Millisecond)
		starts, began := e.Counts["Starts"], e.Now()
		e.Lead()
		e.RunUntil(10*time.Second, func() bool { return e.Counts["Starts"] > starts })
		worst = max(worst, e.Now().Sub(began))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "ms/worst")
}

// Guards against a new leader that starts runs on workers of the roster that have
// left the register, or that are draining although the roster does not say so.
func TestNewLeaderUsesNoWorkerThatLeft(t *testing.T) {
	e := emul.New(23)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	l := e.Lead()
	e.RunFor(time.Second)
	l.Kill()
	left, draining := e.Workers[0], e.Workers[1]
	left.Unlist()
	draining.Drain(time.Minute)
	e.RunFor(1500 * time.Millisecond)
	e.Lead()
	step := sched.StepSpec{Count: 64, Resources: sched.Resources{CPU: 4000, Memory: gib}, Estimate: 2 * time.Second}
	e.Submit(&sched.Workflow{ID: "job", Queue: "Q", Steps: []sched.StepSpec{step}}, emul.Work{Duration: 2 * time.Second})
	e.RunFor(time.Second)
	require.Equal(t, 48, e.Running(), "the other workers are full")
	require.Zero(t, left.Running())
	require.Zero(t, draining.Running())
	requireNoViolations(t, e)
}

// Guards against an earlier leader that cannot reach a worker, takes the leases there
// for expired, and starts a run again whose lease a newer leader has renewed.
func TestExpiredLeasesMayHaveBeenRenewed(t *testing.T) {
	e := emul.New(26)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	old := e.Lead()
	long := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 2000, Memory: gib}, Perpetual: true}
	e.Submit(&sched.Workflow{ID: "long", Queue: "Q", Steps: []sched.StepSpec{long}}, emul.Work{})
	e.RunFor(3 * time.Second)
	e.LoseAnswers = 1
	e.RunFor(6200 * time.Millisecond)
	e.LoseAnswers = 0
	var others []*emul.Worker
	for _, w := range e.Workers {
		old.CutWorker(w, w.Running() > 0)
		if w.Running() == 0 {
			others = append(others, w)
		}
	}
	old.CutStore(true)
	e.LeadCutOffFrom(others)
	e.RunFor(20 * time.Second)
	requireNoViolations(t, e)
	require.Equal(t, 1, e.Running())
}

// Guards against tasks of a worker that is lost during an outage of the store and that
// wait until the outage is over.
func TestTasksOfLostWorkersStartDuringOutage(t *testing.T) {
	e := emul.New(27)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	e.Lead()
	long := sched.StepSpec{Count: 1, Resources: sched.Resources{CPU: 2000, Memory: gib}, Perpetual: true}
	e.Submit(&sched.Workflow{ID: "long", Queue: "Q", Steps: []sched.StepSpec{long}}, emul.Work{})
	e.RunFor(3 * time.Second)
	e.SetStoreDown(true)
	e.RunFor(time.Second)
	for _, w := range e.Workers {
		if w.Running() > 0 {
			w.Crash(time.Minute)
		}
	}
	e.RunFor(8 * time.Second)
	require.Equal(t, 1, e.Running())
	requireNoViolations(t, e)
}
