package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// distrustFirst is how long a worker is avoided after failures in a row;
	// the time doubles up to distrustMost.
	distrustFirst = 2 * time.Second
	distrustMost  = 8 * time.Second
	// distrustAfter is how many failures in a row without a success make a
	// worker suspect. Single failures are mostly the tasks' own.
	distrustAfter = 2
	// distrustPenalty outweighs differences in room, but not the lack of any
	// other worker.
	distrustPenalty = 20
	// avoidPenalty is for a worker on which the same task failed before.
	avoidPenalty = 40
	// freshPenalty is for a worker whose last run failed.
	freshPenalty = 2
)

// trust is what a worker's ends say of the worker.
type trust struct {
	failures int
	until    time.Time
	span     time.Duration
}

// distrust avoids a worker for a while.
func (w *worker) distrust(now time.Time, _ string) {
	w.trust.span = min(max(2*w.trust.span, distrustFirst), distrustMost)
	w.trust.until = now.Add(w.trust.span)
}

// penalty rates how little a worker is trusted with a task.
func (m *Machine) penalty(t *task, w *worker) float64 {
	p := 0.0
	if t.avoids(w.name()) {
		p += avoidPenalty
	}
	if m.now.Before(w.trust.until) {
		p += distrustPenalty
	}
	if w.trust.failures > 0 {
		p += freshPenalty
	}
	return p
}

// learn takes in how a run ended: for the trust in its worker and for the
// expected durations.
func (m *Machine) learn(r *run, how sched.EndKind) {
	w := r.worker
	switch how {
	case sched.EndDone:
		w.trust = trust{}
		if r.base == "" && !r.known.IsZero() {
			m.runtimes.add(r.task.step, m.now.Sub(r.first))
		}
	case sched.EndFailed:
		// A task that failed elsewhere too says little about the worker.
		if len(r.task.failed) > 0 && !r.task.step.spec.Lasting && !onlyOn(r.task, w) {
			return
		}
		w.trust.failures++
		if w.trust.failures >= distrustAfter {
			w.distrust(m.now, "failures")
			m.note("worker avoided", "worker", w.name(), "failures", w.trust.failures, "for", w.trust.span)
		}
	}
}

// onlyOn reports whether a task has failed on no worker but w.
func onlyOn(t *task, w *worker) bool {
	for _, a := range t.avoid {
		if a != w.name() {
			return false
		}
	}
	return true
}
