package emul

import (
	"fmt"
	"math"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Class is a kind of job that arrives at random.
type Class struct {
	Queue sched.Queue
	// Rate is in jobs a second.
	Rate float64
	// Steps and Width are the mean numbers of steps and of tasks of a step.
	Steps, Width float64
	// Took is the mean duration of a task; one in thirty takes seven times as
	// long. Estimates are off by up to EstimateOff either way.
	Took        time.Duration
	EstimateOff float64
	Need        sched.Resources
	// Images is the number of images, 0 for none.
	Images     int
	Prefix     string
	TailTarget time.Duration
	Fills      bool
	Lasting    bool
	Checkpoint bool
	Fails      float64
	// Poison is the share of jobs that can never be done.
	Poison float64
	// Cancelled is the share of jobs that are cancelled within 3 s.
	Cancelled float64
	// Stay is the mean time until a lasting job is cancelled.
	Stay time.Duration
	// Spread is the share of jobs with at most one task of a step on a worker.
	Spread float64
	// Copies is the share of jobs whose tasks may run as copies.
	Copies float64
}

// Load submits jobs of a class for a time.
func (e *Emulator) Load(c Class, span time.Duration) {
	e.AddQueue(c.Queue)
	if c.Rate <= 0 {
		return
	}
	gap := time.Duration(e.Rand.ExpFloat64() / c.Rate * float64(time.Second))
	if gap > span {
		return
	}
	e.After(gap, func() {
		e.Arrive(c)
		e.Load(c, span-gap)
	})
}

// Arrive submits one job of a class.
func (e *Emulator) Arrive(c Class) *Job {
	steps := max(1, int(math.Round(c.Steps*e.spread(0.4))))
	took := time.Duration(float64(c.Took) * e.spread(0.5))
	if e.Rand.Float64() < 0.03 {
		took *= 7
	}
	w := &sched.Workflow{ID: sched.JobID(fmt.Sprintf("%016x", len(e.order)+1)), Queue: c.Queue.Name, Text: "work"}
	image := ""
	if c.Images > 0 {
		image = fmt.Sprintf("%s%d", c.Prefix, e.Rand.IntN(c.Images))
	}
	need := c.Need
	need.CPU = sched.MilliCPU(float64(need.CPU) * e.spread(0.3))
	need.Memory = sched.Bytes(float64(need.Memory) * e.spread(0.3))
	off := 1 + c.EstimateOff*(2*e.Rand.Float64()-1)
	spec := sched.StepSpec{
		Count: max(1, int(math.Round(c.Width*e.spread(0.6)))), Resources: need,
		Estimate: time.Duration(float64(took) * off), Image: image, TailTarget: c.TailTarget,
		Fills: c.Fills, Lasting: c.Lasting, Checkpoint: c.Checkpoint, Speculative: e.Rand.Float64() < c.Copies,
	}
	if e.Rand.Float64() < c.Spread {
		spec.AntiAffinity = 1
	}
	for i := range steps {
		s := spec
		if i > 0 {
			s.After = []int{i - 1}
		}
		w.Steps = append(w.Steps, s)
	}
	work := Work{Took: took, Fails: c.Fails}
	if e.Rand.Float64() < c.Poison {
		work.Fails = 1
	}
	j := e.Submit(w, work)
	if e.Rand.Float64() < c.Cancelled {
		e.After(time.Duration(e.Rand.Int64N(int64(3*time.Second))), func() { e.Cancel(j) })
	}
	if c.Stay > 0 {
		e.After(time.Duration(e.Rand.ExpFloat64()*float64(c.Stay)), func() { e.Cancel(j) })
	}
	return j
}

// spread returns a factor with a mean of about 1.
func (e *Emulator) spread(sigma float64) float64 {
	return min(math.Exp(sigma*e.Rand.NormFloat64()-sigma*sigma/2), 4)
}

// Colocated returns the classes of a deployment that runs short, batch and
// lasting work on the same workers: a share of 1 suits 48 workers of 32 cores.
func Colocated(share float64) []Class {
	const gib = 1 << 30
	return []Class{
		{
			Queue: sched.Queue{Name: "Short", Priority: 0, MaxAttempts: 4, Stretch: 1.5, Target: 250 * time.Millisecond},
			Rate:  4.5 * share, Steps: 1.6, Width: 6, Took: 680 * time.Millisecond, EstimateOff: 0.9,
			Need: sched.Resources{CPU: 2300, Memory: 4 * gib}, Fails: 0.005, Poison: 0.03, Spread: 0.15, Copies: 0.3,
		},
		{
			Queue: sched.Queue{Name: "Batch", Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second},
			Rate:  4.6 * share, Steps: 2, Width: 8, Took: 1900 * time.Millisecond, EstimateOff: 0.9,
			Need:   sched.Resources{CPU: 3500, Memory: 6 * gib},
			Images: 9, Prefix: "fill", Fills: true, Checkpoint: true, Fails: 0.005, Poison: 0.01, Cancelled: 0.05,
		},
		{
			Queue: sched.Queue{Name: "Lasting", Priority: 0, MaxAttempts: 3, Stretch: 2.2, Target: 2500 * time.Millisecond},
			Rate:  0.18 * share, Steps: 1, Width: 6, Took: time.Second,
			Need:   sched.Resources{CPU: 6400, Memory: 13 * gib},
			Images: 5, Prefix: "serve", TailTarget: 18 * time.Millisecond, Lasting: true, Spread: 0.5, Stay: 70 * time.Second,
		},
	}
}

// StartLasting submits lasting jobs of the classes at once, as a deployment has
// them when it is taken over.
func (e *Emulator) StartLasting(classes []Class, count int) {
	for _, c := range classes {
		if !c.Lasting {
			continue
		}
		e.AddQueue(c.Queue)
		for range count {
			e.Arrive(c)
		}
	}
}
