package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// learnAfter is the number of samples after which a learned run time
	// replaces the declared one, which is often far off.
	minSamples = 3
	// learnWeight is the weight of a new sample.
	sampleWeight = 0.2
	// unknownRunTime is assumed where nothing is declared.
	defaultRunTime = time.Minute
)

type runTimeEstimate struct {
	mean    time.Duration
	samples int
}

// runTimes learns run times by class.
type runTimes map[sched.ClassName]*runTimeEstimate

func (r runTimes) observe(class sched.ClassName, d time.Duration) {
	l := r[class]
	if l == nil {
		l = &runTimeEstimate{mean: d}
		r[class] = l
	}
	l.samples++
	l.mean += time.Duration(sampleWeight * float64(d-l.mean))
}

// overrun raises the estimate of a class to the run time of a task that still
// runs, so that a class of long tasks is known before its first task ends.
func (r runTimes) overrun(class sched.ClassName, d time.Duration) {
	if l := r[class]; l == nil || l.mean < d {
		r.observe(class, d)
	}
}

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
