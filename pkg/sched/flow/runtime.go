package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/internal/cache"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// runtimeWeight is the weight of a new observation in the moving average.
	runtimeWeight = 0.1
	// maxRuntimes bounds the averages, because callers name the images.
	maxRuntimes = 4096
)

// runtimes holds the average duration of tasks by queue and image.
type runtimes struct {
	mean *cache.Cache[runtimeKey, time.Duration]
}

type runtimeKey struct {
	queue sched.QueueName
	image string
}

func (r *runtimes) init() { r.mean = cache.New[runtimeKey, time.Duration](maxRuntimes) }

// of returns the average duration of the tasks of a step, and whether it is known.
func (r *runtimes) of(s *step) (time.Duration, bool) {
	return r.mean.Get(runtimeKey{s.occ.job.queue, s.spec.Image})
}

// add records the duration of a run that succeeded and did not resume from a
// checkpoint.
func (r *runtimes) add(s *step, took time.Duration) {
	if old, ok := r.of(s); ok {
		took = old + time.Duration(runtimeWeight*float64(took-old))
	}
	r.mean.Put(runtimeKey{s.occ.job.queue, s.spec.Image}, took)
}

// duration returns the expected duration of a task of a step: the mean of the
// submitter's estimate and the observed average, or the one that is known.
func (m *Machine) duration(s *step) time.Duration {
	mean, ok := m.runtimes.of(s)
	switch {
	case !ok:
		return s.spec.Estimate
	case s.spec.Estimate == 0:
		return mean
	default:
		return (s.spec.Estimate + mean) / 2
	}
}

// remaining returns how much longer a run is expected to take. For a run that
// resumed or was adopted, only the progress since its first report counts,
// because most of its work may have been done before.
func (m *Machine) remaining(r *run) time.Duration {
	since, made := r.firstSent, r.percent
	if r.resumedFrom != "" || r.adopted {
		since, made = r.firstReportAt, r.percent-r.firstPercent
	}
	ran := m.now.Sub(since)
	switch {
	case made > 0 && r.percent < 100 && ran > 0:
		return time.Duration(float64(ran) * float64(100-r.percent) / float64(made))
	case r.resumedFrom != "" || r.adopted:
		return m.duration(r.task.step) * time.Duration(100-r.percent) / 100
	default:
		return max(m.duration(r.task.step)-ran, 0)
	}
}
