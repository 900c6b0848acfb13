package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// minSamples is the number of samples after which the estimate replaces the
	// declared run time, which is often far off.
	minSamples = 3
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.2
	// defaultRunTime is predicted if there is no estimate and no declared run
	// time.
	defaultRunTime = time.Minute
)

// runTimeEstimate is the moving average of the run times of a class.
type runTimeEstimate struct {
	mean    time.Duration
	samples int
}

// runTimes holds the estimated run time of each class of tasks.
type runTimes map[sched.ClassName]*runTimeEstimate

// observe adds a sample to the estimate of a class.
func (r runTimes) observe(class sched.ClassName, d time.Duration) {
	l := r[class]
	if l == nil {
		l = &runTimeEstimate{mean: d}
		r[class] = l
	}
	l.samples++
	l.mean += time.Duration(sampleWeight * float64(d-l.mean))
}

// overrun adds the run time so far of a running task as a sample if it is above
// the estimate, so that the estimate of a class of long tasks rises before its
// first task ends.
func (r runTimes) overrun(class sched.ClassName, d time.Duration) {
	if l := r[class]; l == nil || l.mean < d {
		r.observe(class, d)
	}
}

// predict returns the estimated run time of the task's class, or the declared run
// time of the task or the class while there are too few samples.
func (r runTimes) predict(cfg *sched.Config, spec *sched.TaskSpec) time.Duration {
	if l := r[spec.Class]; l != nil && l.samples >= minSamples {
		return l.mean
	}
	if spec.RunTime > 0 {
		return spec.RunTime
	}
	if cfg != nil {
		if c, ok := cfg.Class(spec.Class); ok && c.RunTime > 0 {
			return c.RunTime
		}
	}
	return defaultRunTime
}
