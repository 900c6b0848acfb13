package flow_test

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// uneven is an emulated fleet with urgent and best-effort jobs whose estimates are off
// and whose tasks are uneven: 3% take seven times as long as their mean.
type uneven struct {
	*emul.Emulator
	objectives map[sched.JobID]time.Duration
	// load draws the jobs and the slow workers, so that they are the same whatever the
	// scheduler does.
	load, episodes *rand.Rand
}

const unevenWorkers = 60

func newUneven(seed uint64, span time.Duration) *uneven {
	e := emul.New(seed)
	e.Interferes = func(string, string) bool { return false }
	e.AddWorkers(unevenWorkers, sched.Resources{CPU: 20000, Memory: 80 * gib})
	u := &uneven{Emulator: e, objectives: map[sched.JobID]time.Duration{}, load: rand.New(rand.NewPCG(seed, 7)), episodes: rand.New(rand.NewPCG(seed, 8))}
	e.AddQueue(sched.Queue{Name: "Urgent", MaxAttempts: 4, Stretch: 1.5, Target: 300 * time.Millisecond})
	e.AddQueue(sched.Queue{Name: "Filler", Priority: 2, MaxAttempts: 4, Stretch: 2, Target: time.Second})
	e.AddQueue(sched.Queue{Name: "Lasting", MaxAttempts: 4, Stretch: 2, Target: time.Second})
	lasting := sched.StepSpec{Count: 14, Resources: sched.Resources{CPU: 4000, Memory: gib}, Perpetual: true, TailTarget: 18 * time.Millisecond, Image: "serve"}
	for i := range 17 {
		e.Submit(&sched.Workflow{ID: sched.JobID(fmt.Sprint("lasting", i)), Queue: "Lasting", Steps: []sched.StepSpec{lasting}}, emul.Work{Duration: time.Second})
	}
	share := float64(unevenWorkers) / 350
	u.arrive("Urgent", 14.5*share, span, func() (int, sched.StepSpec, time.Duration) {
		took := time.Duration((0.5 + 0.5*u.load.Float64()) * float64(time.Second))
		return 1 + u.load.IntN(4), sched.StepSpec{Count: 10, Resources: sched.Resources{CPU: 2300, Memory: gib}}, took
	})
	u.arrive("Filler", 14*share, span, func() (int, sched.StepSpec, time.Duration) {
		took := time.Duration((1.5 + u.load.Float64()) * float64(time.Second))
		spec := sched.StepSpec{Count: 20, Resources: sched.Resources{CPU: 3000, Memory: gib}, BestEffort: true, Checkpoint: true, Image: "fill"}
		return 2, spec, took
	})
	return u
}

// arrive submits jobs at random times. next draws the number of steps, a step without
// its estimate, and the mean duration of its tasks.
func (u *uneven) arrive(queue sched.QueueName, rate float64, span time.Duration, next func() (int, sched.StepSpec, time.Duration)) {
	gap := time.Duration(u.load.ExpFloat64() / rate * float64(time.Second))
	if gap > span {
		return
	}
	u.After(gap, func() {
		steps, spec, took := next()
		off := 0.2 + 0.7*u.load.Float64()
		if u.load.IntN(2) == 0 {
			off = -off
		}
		spec.Estimate = time.Duration(float64(took) * (1 + off))
		w := &sched.Workflow{ID: sched.JobID(fmt.Sprint(queue, len(u.Jobs()))), Queue: queue}
		chain := 0.0
		for i := range steps {
			s := spec
			if i > 0 {
				s.After = []int{i - 1}
			}
			w.Steps = append(w.Steps, s)
			longest := 0.0
			for k := range s.Count {
				longest = max(longest, math.Mod(unevenFactor(sched.RunTask{Job: w.ID, Step: i, Index: k}), 7))
			}
			chain += longest
		}
		q := u.Fleet.Queues[queue]
		u.objectives[w.ID] = time.Duration(q.Stretch*chain*float64(took)) + q.Target
		u.Submit(w, emul.Work{Duration: took, Factor: unevenFactor})
		u.arrive(queue, rate, span-gap, next)
	})
}

// unevenFactor returns how much longer a task takes than the mean of its step: 25%
// more or less, and in 3% of the cases seven times as long.
func unevenFactor(t sched.RunTask) float64 {
	sum := sha256.Sum256([]byte(fmt.Sprint(t.Job, t.Step, t.Index)))
	h := binary.BigEndian.Uint64(sum[:])
	r := rand.New(rand.NewPCG(h, h))
	if r.Float64() < 0.03 {
		return 7
	}
	return math.Exp(0.25 * r.NormFloat64())
}

// slowDown makes 15% of the workers 4 to 7 times slower for 6 s.
func (u *uneven) slowDown() {
	for _, i := range u.episodes.Perm(len(u.Workers))[:len(u.Workers)*15/100] {
		w := u.Workers[i]
		w.SetSlow(4 + 3*u.episodes.Float64())
		u.After(6*time.Second, func() { w.SetSlow(1) })
	}
}

// onTime counts the jobs that completed within their objective, and all jobs.
func (u *uneven) onTime() (n, all int) {
	for _, j := range u.Jobs() {
		if j.Spec.Perpetual() {
			continue
		}
		all++
		if j.State == sched.JobCompleted && j.FinalAt.Sub(j.Submitted) <= u.objectives[j.Spec.ID] {
			n++
		}
	}
	return n, all
}

// restarted returns how many runs the leaders restarted on other workers.
func (u *uneven) restarted() int { return u.Counts["Note.run restarted elsewhere"] }

// requireFewRestarts asserts that no task ran twice, each job ended and at most the
// given share of the runs were restarted.
func (u *uneven) requireFewRestarts(t *testing.T, share float64) {
	t.Helper()
	requireAllEnded(t, u.Emulator, 120*time.Second)
	requireNoViolations(t, u.Emulator)
	require.LessOrEqual(t, float64(u.restarted()), share*float64(u.Counts["Runs"]))
}

// Guards against jobs that are late because of slow workers, and against a remedy that
// restarts many runs or asks the workers much more often.
func TestSlowWorkersDelayFewerJobs(t *testing.T) {
	total := map[bool]int{}
	for seed := uint64(1); seed <= 3; seed++ {
		orders := map[bool]int{}
		for _, on := range []bool{false, true} {
			u := newUneven(seed, 24*time.Second)
			u.After(5*time.Second, u.slowDown)
			u.After(15*time.Second, u.slowDown)
			u.Lead(flow.WithStragglers(on))
			u.RunFor(24 * time.Second)
			u.requireFewRestarts(t, 0.04)
			n, all := u.onTime()
			total[on] += n
			orders[on] = u.Counts["Holds"] + u.Counts["Starts"] + u.Counts["Stops"] + u.Counts["Paces"]
			t.Logf("seed %d, on %t: %d of %d jobs in time, %d orders, %d runs, %d restarted", seed, on, n, all, orders[on], u.Counts["Runs"], u.restarted())
		}
		require.Less(t, float64(orders[true]), 1.06*float64(orders[false]))
	}
	require.Greater(t, total[true], total[false])
}

// Guards against workers that are taken for slow because tasks are uneven, estimates
// wrong, all workers slow, or reports late.
func TestEvenWorkersAreNotSlow(t *testing.T) {
	cases := map[string]func(u *uneven){
		"uneven tasks": func(*uneven) {},
		"all workers slow": func(u *uneven) {
			for _, w := range u.Workers {
				w.SetSlow(4)
				u.After(6*time.Second, func() { w.SetSlow(1) })
			}
		},
		"late reports": func(u *uneven) {
			for _, w := range u.Workers[:18] {
				w.AnswerDelay = 280 * time.Millisecond
				u.After(10*time.Second, func() { w.AnswerDelay = 0 })
			}
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			slow := 0
			for seed := uint64(4); seed <= 6; seed++ {
				u := newUneven(seed, 16*time.Second)
				u.After(5*time.Second, func() { disturb(u) })
				l := u.Lead()
				for range 160 {
					u.RunFor(100 * time.Millisecond)
					slow += l.Machine.Totals().SlowWorkers
				}
				u.requireFewRestarts(t, 0.002)
			}
			require.LessOrEqual(t, slow, 3*160*unevenWorkers/1000, "more than 0.1%% of the time of workers")
		})
	}
}

// Guards against a new leader that takes runs of unknown age for slow ones, and against
// one that does not recognise slow workers.
func TestNewLeaderRecognisesSlowWorkers(t *testing.T) {
	u := newUneven(7, 16*time.Second)
	first := u.Lead()
	u.After(5*time.Second, u.slowDown)
	u.RunFor(7 * time.Second)
	require.Positive(t, first.Machine.Totals().SlowWorkers)
	first.Kill()
	u.RunFor(500 * time.Millisecond)
	second := u.Lead()
	u.RunFor(2 * time.Second)
	require.Positive(t, second.Machine.Totals().SlowWorkers)
	for _, w := range u.Workers {
		w.SetSlow(1)
	}
	u.RunFor(4 * time.Second)
	require.Zero(t, second.Machine.Totals().SlowWorkers)
	u.requireFewRestarts(t, 0.05)
}
