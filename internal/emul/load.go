package emul

import (
	"fmt"
	"math"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Class is a class of similar jobs that are submitted at random times.
type Class struct {
	// Queue is the queue of the jobs.
	Queue sched.Queue
	// Rate is the mean number of jobs per second.
	Rate float64
	// Steps is the mean number of steps of a job, Width the mean number of tasks
	// of a step.
	Steps, Width float64
	// Duration is the mean duration of a task. In 3% of the jobs, tasks take
	// seven times as long. EstimateOff is the largest relative error of
	// estimates in either direction.
	Duration    time.Duration
	EstimateOff float64
	Need        sched.Resources
	// Images is the number of different images, 0 for jobs without an image.
	// Prefix is the first part of their names.
	Images int
	Prefix string
	// TailTarget is the target of the tail latency of latency-critical jobs, 0
	// for other jobs. BestEffort marks best-effort jobs, and Perpetual
	// perpetual ones.
	TailTarget time.Duration
	BestEffort bool
	Perpetual  bool
	Checkpoint bool
	// MaxUnavailable bounds how many tasks of a perpetual step the scheduler may
	// keep from running at the same time, 0 for no bound.
	MaxUnavailable int
	// FailureShare is the share of the runs that fail.
	FailureShare float64
	// AlwaysFails is the share of jobs whose runs all fail.
	AlwaysFails float64
	// Cancelled is the share of jobs that are cancelled within 3 s.
	Cancelled float64
	// MeanLifetime is the mean time until a job is cancelled, 0 for jobs that
	// are not. It is meant for perpetual jobs.
	MeanLifetime time.Duration
	// Spread is the share of jobs with at most one task of a step on a worker.
	Spread float64
	// Copies is the share of jobs whose tasks are speculative: they may run as
	// parallel copies on several workers.
	Copies float64
}

// Load submits jobs of a class at random times for the given span.
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
		e.SubmitRandom(c)
		e.Load(c, span-gap)
	})
}

// SubmitRandom submits one random job of a class.
func (e *Emulator) SubmitRandom(c Class) *Job {
	steps := max(1, int(math.Round(c.Steps*e.spread(0.4))))
	took := time.Duration(float64(c.Duration) * e.spread(0.5))
	if e.Rand.Float64() < 0.03 {
		took *= 7
	}
	w := &sched.Workflow{ID: sched.JobID(fmt.Sprintf("%016x", len(e.submitted)+1)), Queue: c.Queue.Name, Text: "work"}
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
		BestEffort: c.BestEffort, Perpetual: c.Perpetual, Checkpoint: c.Checkpoint, Speculative: e.Rand.Float64() < c.Copies,
		MaxUnavailable: c.MaxUnavailable,
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
	work := Work{Duration: took, FailureShare: c.FailureShare}
	if e.Rand.Float64() < c.AlwaysFails {
		work.FailureShare = 1
	}
	j := e.Submit(w, work)
	if e.Rand.Float64() < c.Cancelled {
		e.After(time.Duration(e.Rand.Int64N(int64(3*time.Second))), func() { e.Cancel(j) })
	}
	if c.MeanLifetime > 0 {
		e.After(time.Duration(e.Rand.ExpFloat64()*float64(c.MeanLifetime)), func() { e.Cancel(j) })
	}
	return j
}

// spread returns a log-normal factor with a mean of about 1, at most 4.
func (e *Emulator) spread(sigma float64) float64 {
	return min(math.Exp(sigma*e.Rand.NormFloat64()-sigma*sigma/2), 4)
}

// Colocated returns the classes of a deployment that runs short, batch and
// perpetual latency-critical jobs on the same workers. A share of 1 is the load
// for 48 workers with 32 cores each.
func Colocated(share float64) []Class {
	const gib = 1 << 30
	return []Class{
		{
			Queue: sched.Queue{Name: "Short", Priority: 0, MaxAttempts: 4, Stretch: 1.5, Target: 250 * time.Millisecond},
			Rate:  4.5 * share, Steps: 1.6, Width: 6, Duration: 680 * time.Millisecond, EstimateOff: 0.9,
			Need: sched.Resources{CPU: 2300, Memory: 4 * gib}, FailureShare: 0.005, AlwaysFails: 0.03, Spread: 0.15, Copies: 0.3,
		},
		{
			Queue: sched.Queue{Name: "Batch", Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second},
			Rate:  4.6 * share, Steps: 2, Width: 8, Duration: 1900 * time.Millisecond, EstimateOff: 0.9,
			Need:   sched.Resources{CPU: 3500, Memory: 6 * gib},
			Images: 9, Prefix: "fill", BestEffort: true, Checkpoint: true, FailureShare: 0.005, AlwaysFails: 0.01, Cancelled: 0.05,
		},
		{
			Queue: sched.Queue{Name: "Lasting", Priority: 0, MaxAttempts: 3, Stretch: 2.2, Target: 2500 * time.Millisecond},
			Rate:  0.18 * share, Steps: 1, Width: 6, Duration: time.Second,
			Need:   sched.Resources{CPU: 6400, Memory: 13 * gib},
			Images: 5, Prefix: "serve", TailTarget: 18 * time.Millisecond, Perpetual: true, Spread: 0.5, MeanLifetime: 70 * time.Second,
		},
	}
}

// SubmitPerpetual submits count jobs of each perpetual class at once, so that the
// deployment has such jobs from the start.
func (e *Emulator) SubmitPerpetual(classes []Class, count int) {
	for _, c := range classes {
		if !c.Perpetual {
			continue
		}
		e.AddQueue(c.Queue)
		for range count {
			e.SubmitRandom(c)
		}
	}
}
