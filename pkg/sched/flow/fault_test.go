package flow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// fault is a failure that is injected into a scenario.
type fault struct {
	name string
	// inject begins the failure and schedules its end.
	inject func(e *emul.Emulator, l *emul.Leader)
}

const endTimeout = 4 * time.Minute

// forShare calls f for a random share of the workers.
func forShare(e *emul.Emulator, share float64, f func(w *emul.Worker)) {
	for _, w := range e.Workers {
		if e.Rand.Float64() < share {
			f(w)
		}
	}
}

// faults returns the failures that the machine has to tolerate.
func faults() []fault {
	return []fault{
		{"LeaderDies", func(e *emul.Emulator, l *emul.Leader) {
			l.Kill()
			e.After(1500*time.Millisecond, func() { e.Lead() })
		}},
		{"LeaderIsReplacedAndGoesOn", func(e *emul.Emulator, l *emul.Leader) {
			l.CutStore(true)
			e.After(1500*time.Millisecond, func() { e.Lead() })
		}},
		{"ReplacedLeaderReachesWorkersThatTheNewOneDoesNot", func(e *emul.Emulator, l *emul.Leader) {
			l.CutStore(true)
			e.After(1500*time.Millisecond, func() {
				n := e.Lead()
				forShare(e, 0.3, func(w *emul.Worker) {
					n.CutWorker(w, true)
					e.After(15*time.Second, func() { n.CutWorker(w, false) })
				})
			})
		}},
		{"LeaderDiesWhileWorkersAreDark", func(e *emul.Emulator, l *emul.Leader) {
			forShare(e, 0.15, func(w *emul.Worker) { w.Crash(6 * time.Second) })
			l.Kill()
			e.After(1500*time.Millisecond, func() { e.Lead() })
		}},
		{"LeadersFollowEachOther", func(e *emul.Emulator, l *emul.Leader) {
			for i := range 4 {
				e.After(time.Duration(i)*900*time.Millisecond, func() { e.Lead() })
			}
		}},
		{"LeadersResignInTurn", func(e *emul.Emulator, _ *emul.Leader) { resignInTurn(e, 4, 900*time.Millisecond) }},
		{"LeadersResignWhileWorkersLeave", func(e *emul.Emulator, _ *emul.Leader) {
			resignInTurn(e, 5, 1500*time.Millisecond)
			forShare(e, 0.2, func(w *emul.Worker) {
				e.After(time.Duration(e.Rand.Int64N(int64(6*time.Second))), func() { w.Drain(4 * time.Second) })
			})
		}},
		{"LeadersResignAndDie", func(e *emul.Emulator, l *emul.Leader) {
			forShare(e, 0.15, func(w *emul.Worker) { w.Crash(6 * time.Second) })
			l.Kill()
			e.After(1500*time.Millisecond, func() {
				e.Lead()
				resignInTurn(e, 4, 700*time.Millisecond)
			})
		}},
		{"LeadersResignWhileAnswersAreLost", func(e *emul.Emulator, _ *emul.Leader) {
			e.LateShare, e.LoseAnswers = 0.06, 0.05
			e.LoseCommits(0.35)
			resignInTurn(e, 4, 1200*time.Millisecond)
			e.After(8*time.Second, func() {
				e.LateShare, e.LoseAnswers = 0, 0
				e.LoseCommits(0)
			})
		}},
		{"ReplacedLeaderGoesOnWhileOthersResign", func(e *emul.Emulator, l *emul.Leader) {
			l.CutStore(true)
			e.After(1500*time.Millisecond, func() {
				n := e.Lead()
				forShare(e, 0.3, func(w *emul.Worker) {
					n.CutWorker(w, true)
					e.After(15*time.Second, func() { n.CutWorker(w, false) })
				})
				resignInTurn(e, 3, 800*time.Millisecond)
			})
		}},
		{"WorkersAreCutOffFromLeadersThatResign", func(e *emul.Emulator, l *emul.Leader) {
			for i := range 3 {
				e.After(time.Duration(i)*time.Second, func() {
					n := e.Newest()
					forShare(e, 0.2, func(w *emul.Worker) {
						n.CutWorker(w, true)
						e.After(9*time.Second, func() { n.CutWorker(w, false) })
					})
				})
			}
			resignInTurn(e, 3, 1200*time.Millisecond)
		}},
		{"StoreIsDown", func(e *emul.Emulator, _ *emul.Leader) {
			e.SetStoreDown(true)
			e.After(9*time.Second, func() { e.SetStoreDown(false) })
		}},
		{"WatchIsSilent", func(e *emul.Emulator, l *emul.Leader) {
			l.SilenceWatch(true)
			e.After(8*time.Second, func() { l.SilenceWatch(false) })
		}},
		{"LeaderDiesWhileStoreIsDown", func(e *emul.Emulator, l *emul.Leader) {
			e.SetStoreDown(true)
			e.After(2*time.Second, l.Kill)
			e.After(5*time.Second, func() {
				e.SetStoreDown(false)
				e.Lead()
			})
		}},
		{"AnswersOfTheStoreAreLost", func(e *emul.Emulator, l *emul.Leader) {
			e.LoseCommits(0.35)
			e.After(5*time.Second, l.Kill)
			e.After(6500*time.Millisecond, func() { e.Lead() })
			e.After(12*time.Second, func() { e.LoseCommits(0) })
		}},
		{"OrdersAreCarriedOutLate", func(e *emul.Emulator, _ *emul.Leader) {
			e.LateShare = 0.06
			e.After(8*time.Second, func() { e.LateShare = 0 })
		}},
		{"AnswersOfWorkersAreLost", func(e *emul.Emulator, _ *emul.Leader) {
			e.LoseAnswers = 0.1
			e.After(8*time.Second, func() { e.LoseAnswers = 0 })
		}},
		{"OrdersAreLateAndTheLeaderDies", func(e *emul.Emulator, l *emul.Leader) {
			e.LateShare, e.LoseAnswers = 0.06, 0.05
			e.After(2*time.Second, l.Kill)
			e.After(3500*time.Millisecond, func() { e.Lead() })
			e.After(10*time.Second, func() { e.LateShare, e.LoseAnswers = 0, 0 })
		}},
		{"WorkersCrash", func(e *emul.Emulator, _ *emul.Leader) {
			forShare(e, 0.15, func(w *emul.Worker) { w.Crash(4500 * time.Millisecond) })
		}},
		{"WorkersAreBornAgainAtOnce", func(e *emul.Emulator, _ *emul.Leader) {
			forShare(e, 0.3, func(w *emul.Worker) { w.Crash(20 * time.Millisecond) })
		}},
		{"WorkersAreGone", func(e *emul.Emulator, _ *emul.Leader) {
			forShare(e, 0.15, func(w *emul.Worker) { w.Remove() })
		}},
		{"WorkersAreCutOffAndRunOn", func(e *emul.Emulator, l *emul.Leader) {
			forShare(e, 0.2, func(w *emul.Worker) {
				l.CutWorker(w, true)
				e.After(5500*time.Millisecond, func() { l.CutWorker(w, false) })
			})
		}},
		{"WorkersLeave", func(e *emul.Emulator, _ *emul.Leader) {
			forShare(e, 0.2, func(w *emul.Worker) { w.Drain(4 * time.Second) })
		}},
		{"WorkersFailAllThatTheyStart", func(e *emul.Emulator, _ *emul.Leader) {
			forShare(e, 0.1, func(w *emul.Worker) {
				w.FailureShare = 1
				e.After(6*time.Second, func() { w.FailureShare = 0 })
			})
		}},
		{"WorkersTurnSlow", func(e *emul.Emulator, _ *emul.Leader) {
			forShare(e, 0.17, func(w *emul.Worker) {
				w.SetSlow(6.5)
				e.After(7*time.Second, func() { w.SetSlow(1) })
			})
		}},
		{"TasksStandStill", func(e *emul.Emulator, _ *emul.Leader) {
			forShare(e, 0.1, func(w *emul.Worker) {
				w.SetHang(true)
				e.After(20*time.Second, func() { w.SetHang(false) })
			})
		}},
	}
}

// resignInTurn makes the leader resign n times with pauses. Each next leader begins
// its term 50 ms later.
func resignInTurn(e *emul.Emulator, n int, pause time.Duration) {
	if n == 0 {
		return
	}
	e.After(pause, func() {
		e.Newest().Resign(func() {
			e.After(50*time.Millisecond, func() {
				e.Lead()
				resignInTurn(e, n-1, pause)
			})
		})
	})
}

// Guards against a failure that makes a task run in two places or after its
// end, that lets a step start too early, that shows a job in a wrong state, or
// that leaves a job unfinished after the failure is over.
func TestFaults(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				e := newScenario(seed+1, 24, 12*time.Second)
				l := e.Lead()
				e.RunFor(5 * time.Second)
				f.inject(e, l)
				e.RunFor(25 * time.Second)
				requireAllEnded(t, e, endTimeout)
				requireNoViolations(t, e)
			}
		})
	}
}

// Guards against reports that are partial during any of the failures, and that a leader
// takes for complete ones.
func TestFaultsWithPartialReports(t *testing.T) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			e := newScenario(7, 24, 12*time.Second)
			e.EndsPerReport = 3
			l := e.Lead()
			e.RunFor(5 * time.Second)
			f.inject(e, l)
			e.RunFor(25 * time.Second)
			requireAllEnded(t, e, endTimeout)
			requireNoViolations(t, e)
		})
	}
}

// Guards against failures that do harm only in combination. Three of them are
// injected at random times; some are injected twice.
func TestFaultsTogether(t *testing.T) {
	all := faults()
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			e := newScenario(seed+100, 16, 10*time.Second)
			l := e.Lead()
			for range 3 {
				f := all[e.Rand.IntN(len(all))]
				e.After(time.Duration(e.Rand.Int64N(int64(12*time.Second))), func() { f.inject(e, l) })
			}
			e.RunFor(40 * time.Second)
			if !e.HasLeader() {
				e.Lead()
			}
			requireAllEnded(t, e, endTimeout)
			requireNoViolations(t, e)
		})
	}
}

// Guards against jobs that fail because a few workers fail every task. Such
// jobs can succeed on other workers.
func TestBadWorkersDoNotFailJobs(t *testing.T) {
	e := emul.New(3)
	e.AddWorkers(16, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3, Stretch: 2, Target: time.Second})
	for _, w := range e.Workers[:3] {
		w.FailureShare = 1
	}
	e.Lead()
	for range 60 {
		e.SubmitRandom(emul.Class{
			Queue: sched.Queue{Name: "Q", MaxAttempts: 3}, Steps: 2, Width: 6, Duration: time.Second,
			Need: sched.Resources{CPU: 2000, Memory: gib},
		})
		e.RunFor(150 * time.Millisecond)
	}
	requireAllEnded(t, e, endTimeout)
	requireNoViolations(t, e)
	for _, j := range e.Jobs() {
		require.Equal(t, sched.JobCompleted, j.State, "job %s", j.Spec.ID)
	}
}

// Guards against tasks that stay on workers where nothing makes progress.
func TestTasksThatStandStillAreMoved(t *testing.T) {
	e := emul.New(6)
	e.AddWorkers(16, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	e.Lead()
	for range 20 {
		e.SubmitRandom(emul.Class{
			Queue: sched.Queue{Name: "Q"}, Steps: 1, Width: 6, Duration: time.Second,
			Need: sched.Resources{CPU: 2000, Memory: gib},
		})
	}
	e.RunFor(300 * time.Millisecond)
	for _, w := range e.Workers[:4] {
		w.SetHang(true)
	}
	requireAllEnded(t, e, 20*time.Second)
	requireNoViolations(t, e)
}

// Guards against a run that never ends for the machine. Its start reached no
// worker, the stop that followed was confirmed, and each repeated stop delayed
// the proof that the run does not exist.
func TestStartSentToCrashingWorker(t *testing.T) {
	e := emul.New(11)
	e.AddWorkers(2, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	e.Lead()
	long := sched.StepSpec{Count: 2, Resources: sched.Resources{CPU: 1000}, AntiAffinity: 1, Perpetual: true}
	e.Submit(&sched.Workflow{ID: "long", Queue: "Q", Steps: []sched.StepSpec{long}}, emul.Work{})
	e.RunFor(time.Second)
	e.Workers[0].Crash(800 * time.Millisecond)
	short := sched.StepSpec{Count: 8, Resources: sched.Resources{CPU: 1000}}
	e.Submit(&sched.Workflow{ID: "short", Queue: "Q", Steps: []sched.StepSpec{short}}, emul.Work{Duration: 500 * time.Millisecond})
	requireAllEnded(t, e, 6*time.Second)
	requireNoViolations(t, e)
}

// Guards against a job that can never succeed and is retried for ever.
func TestAlwaysFailingJobFails(t *testing.T) {
	e := emul.New(4)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q", MaxAttempts: 3})
	e.Lead()
	j := e.SubmitRandom(emul.Class{
		Queue: sched.Queue{Name: "Q", MaxAttempts: 3}, Steps: 1, Width: 4, Duration: time.Second,
		Need: sched.Resources{CPU: 2000, Memory: gib}, AlwaysFails: 1,
	})
	requireAllEnded(t, e, 30*time.Second)
	requireNoViolations(t, e)
	require.Equal(t, sched.JobFailed, j.State)
	e.RunFor(3 * time.Second)
	require.Zero(t, e.Running())
}

// Guards against tasks of a cancelled job that continue or start later.
func TestCancelledJobStops(t *testing.T) {
	e := emul.New(5)
	e.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 125 * gib})
	e.AddQueue(sched.Queue{Name: "Q"})
	e.Lead()
	j := e.SubmitRandom(emul.Class{
		Queue: sched.Queue{Name: "Q"}, Steps: 1, Width: 6, Perpetual: true, Need: sched.Resources{CPU: 2000, Memory: gib},
	})
	e.RunFor(3 * time.Second)
	require.NotZero(t, e.Running())
	e.Cancel(j)
	e.RunFor(time.Second)
	require.Zero(t, e.Running())
	require.Equal(t, sched.JobCancelled, j.State)
	requireNoViolations(t, e)
}
