package flow

import "time"

const (
	// stallAfter is how long a run may show no progress before it counts as
	// stalled. Even the longest tasks report another percent in well under this
	// time, also on a slow worker.
	stallAfter = 2500 * time.Millisecond
	// maxStallsPerTick bounds the stalled runs that one tick stops.
	maxStallsPerTick = 16
)

// stopStalled stops runs that show no progress although they are not throttled,
// so that their tasks start elsewhere.
func (m *Machine) stopStalled() {
	left := maxStallsPerTick
	for _, w := range m.order {
		for _, r := range w.snapshot() {
			if left == 0 {
				return
			}
			if !m.stalled(r) {
				continue
			}
			left--
			r.task.avoid = append(r.task.avoid, w.name())
			if !m.now.Before(w.quarantine.until) {
				w.startQuarantine(m.now, "a run makes no progress")
				m.log("worker quarantined", "worker", w.name(), "cause", "a run makes no progress", "for", w.quarantine.backoff)
			}
			m.stop(r, "no progress")
		}
	}
}

// stalled reports whether a run shows no progress. Only the time between
// reports counts, so the runs of a worker that does not answer are not stalled.
func (m *Machine) stalled(r *run) bool {
	spec := r.task.step.spec
	if r.state != runRunning || spec.Perpetual || spec.Gang || r.reportedAt.Sub(r.progressedAt) < stallAfter {
		return false
	}
	if !r.bestEffort() {
		return true
	}
	return r.throttle.have == fullSpeed && r.throttle.want == fullSpeed && r.reportedAt.Sub(r.throttle.sent) >= stallAfter
}
