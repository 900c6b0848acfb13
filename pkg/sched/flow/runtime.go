package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// learnWeight is the weight of a new observation in a moving average.
const learnWeight = 0.1

// runtimes learns how long the tasks of a queue and image take, as a factor of
// the submitter's estimate and in absolute terms.
type runtimes struct{ mean map[runtimeKey]time.Duration }

type runtimeKey struct {
	queue sched.QueueName
	image string
}

func (r *runtimes) init() { r.mean = map[runtimeKey]time.Duration{} }

// add takes in the duration of a run that succeeded from its beginning.
func (r *runtimes) add(s *step, took time.Duration) {
	k := runtimeKey{s.occ.job.queue, s.spec.Image}
	if old, ok := r.mean[k]; ok {
		took = old + time.Duration(learnWeight*float64(took-old))
	}
	r.mean[k] = took
}

// duration returns the expected duration of a task of a step: the estimate,
// pulled towards what was learned of its queue and image.
func (m *Machine) duration(s *step) time.Duration {
	mean, ok := m.runtimes.mean[runtimeKey{s.occ.job.queue, s.spec.Image}]
	switch {
	case !ok:
		return s.spec.Estimate
	case s.spec.Estimate == 0:
		return mean
	default:
		return (s.spec.Estimate + mean) / 2
	}
}

// remaining returns how long a run is expected to take from now on.
func (m *Machine) remaining(r *run) time.Duration {
	ran := m.now.Sub(r.first)
	if r.percent > 0 && r.percent < 100 && ran > 0 {
		return time.Duration(float64(ran) * float64(100-r.percent) / float64(r.percent))
	}
	return max(m.duration(r.task.step)-ran, 0)
}
