package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// distrustFirst is how long a worker is avoided after failures in a row;
	// the time doubles up to distrustMost.
	minQuarantine = 2 * time.Second
	maxQuarantine = 8 * time.Second
	// distrustAfter is how many failures in a row without a success make a
	// worker suspect. Single failures are mostly the tasks' own.
	quarantineAfter = 2
	// distrustPenalty outweighs differences in room, but not the lack of any
	// other worker.
	quarantinePenalty = 20
	// avoidPenalty is for a worker on which the same task failed before.
	avoidedPenalty = 40
	// freshPenalty is for a worker whose last run failed.
	recentFailurePenalty = 2
)

// trust is what a worker's ends say of the worker.
type quarantine struct {
	failures int
	until    time.Time
	backoff  time.Duration
}

// distrust avoids a worker for a while.
func (w *worker) startQuarantine(now time.Time, _ string) {
	w.quarantine.backoff = min(max(2*w.quarantine.backoff, minQuarantine), maxQuarantine)
	w.quarantine.until = now.Add(w.quarantine.backoff)
}

// penalty rates how little a worker is trusted with a task.
func (m *Machine) failurePenalty(t *task, w *worker) float64 {
	p := 0.0
	if t.avoids(w.name()) {
		p += avoidedPenalty
	}
	if m.now.Before(w.quarantine.until) {
		p += quarantinePenalty
	}
	if w.quarantine.failures > 0 {
		p += recentFailurePenalty
	}
	return p
}

// learn takes in how a run ended: for the trust in its worker and for the
// expected durations.
func (m *Machine) learnFromEnd(r *run, how sched.EndKind) {
	w := r.worker
	switch how {
	case sched.EndDone:
		w.quarantine = quarantine{}
		if r.resumedFrom == "" && !r.knownAt.IsZero() {
			m.runtimes.add(r.task.step, m.now.Sub(r.firstSent))
		}
	case sched.EndFailed:
		// A task that failed elsewhere too says little about the worker.
		if len(r.task.failed) > 0 && !r.task.step.spec.Lasting && !failedOnlyOn(r.task, w) {
			return
		}
		w.quarantine.failures++
		if w.quarantine.failures >= quarantineAfter {
			w.startQuarantine(m.now, "failures")
			m.log("worker avoided", "worker", w.name(), "failures", w.quarantine.failures, "for", w.quarantine.backoff)
		}
	}
}

// onlyOn reports whether a task has failed on no worker but w.
func failedOnlyOn(t *task, w *worker) bool {
	for _, a := range t.avoid {
		if a != w.name() {
			return false
		}
	}
	return true
}
