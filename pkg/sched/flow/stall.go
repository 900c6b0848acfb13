package flow

import "time"

const (
	// stallAfter is how long a run may show no progress until it is taken to
	// stand still. The longest tasks show a percent in well under this time,
	// also on a slow worker.
	stallAfter = 2500 * time.Millisecond
	// stallsPerTick bounds the runs that are stopped at a time.
	maxStallsPerTick = 16
)

// stopStalled stops runs that show no progress although they are at full pace,
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
				w.startQuarantine(m.now, "a run stands still")
				m.log("worker avoided", "worker", w.name(), "cause", "a run stands still", "for", w.quarantine.backoff)
			}
			m.stop(r, "stands still")
		}
	}
}

// stalled reports whether a run shows no progress. Only reports count, so a
// worker that does not answer stalls nothing.
func (m *Machine) stalled(r *run) bool {
	spec := r.task.step.spec
	if r.state != runRunning || spec.Lasting || spec.Gang || r.reportedAt.Sub(r.progressedAt) < stallAfter {
		return false
	}
	if !r.bestEffort() {
		return true
	}
	return r.throttle.have == fullSpeed && r.throttle.want == fullSpeed && r.reportedAt.Sub(r.throttle.sent) >= stallAfter
}
