package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// minQuarantine is how long a worker is first quarantined. The time doubles
	// with each quarantine, up to maxQuarantine, until a run succeeds there.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
	// quarantineAfter is the number of failures without a success after which a
	// worker is quarantined. Single failures are mostly caused by the task itself.
	quarantineAfter = 2
	// quarantinePenalty outweighs differences in free capacity, but a quarantined
	// worker is still used if there is no other.
	quarantinePenalty = 20
	// avoidedPenalty applies to a worker on which the same task failed or stalled
	// before.
	avoidedPenalty = 40
	// recentFailurePenalty applies to a worker with a failure since its last
	// success.
	recentFailurePenalty = 2
)

// quarantine counts the failures of a worker and holds its current quarantine.
type quarantine struct {
	failures int
	until    time.Time
	backoff  time.Duration
}

// startQuarantine quarantines a worker, for longer each time.
func (w *worker) startQuarantine(now time.Time, _ string) {
	w.quarantine.backoff = min(max(2*w.quarantine.backoff, minQuarantine), maxQuarantine)
	w.quarantine.until = now.Add(w.quarantine.backoff)
}

// failurePenalty returns the penalty of a worker for a task because of earlier
// failures.
func (m *Machine) failurePenalty(t *task, w *worker) float64 {
	p := m.workerPenalty(w)
	if t.avoids(w.name()) {
		p += avoidedPenalty
	}
	return p
}

// workerPenalty returns the part of the failure penalty that is the same for all tasks.
func (m *Machine) workerPenalty(w *worker) float64 {
	p := 0.0
	if m.now.Before(w.quarantine.until) {
		p += quarantinePenalty
	}
	if w.quarantine.failures > 0 {
		p += recentFailurePenalty
	}
	return p
}

// learnFromEnd updates the worker's failure count and the expected durations
// after a run ended.
func (m *Machine) learnFromEnd(r *run, how sched.EndKind) {
	w := r.worker
	switch how {
	case sched.EndDone:
		w.quarantine = quarantine{}
		if r.resumedFrom == "" && !r.knownAt.IsZero() && !m.speeds.Slow(w.name()) {
			m.runtimes.add(r.task.step, m.now.Sub(r.firstSent))
		}
	case sched.EndFailed:
		// A task that also failed or stalled on other workers says little about this
		// one.
		if len(r.task.failed) > 0 && !r.task.step.spec.Perpetual && !failedOnlyOn(r.task, w) {
			return
		}
		w.quarantine.failures++
		if w.quarantine.failures >= quarantineAfter {
			w.startQuarantine(m.now, "failures")
			m.log("worker quarantined", "worker", w.name(), "failures", w.quarantine.failures, "for", w.quarantine.backoff)
		}
	}
}

// failedOnlyOn reports whether a task failed or stalled on no worker other than
// w.
func failedOnlyOn(t *task, w *worker) bool {
	for _, a := range t.avoid {
		if a != w.name() {
			return false
		}
	}
	return true
}
