package flow

import (
	"cmp"
	"slices"
	"time"
)

const (
	// consolidateInterval is the shortest time between two consolidations.
	consolidateInterval = 400 * time.Millisecond
	// maxConsolidationMoves bounds the tasks that one consolidation moves.
	maxConsolidationMoves = 6
	// minConsolidationAge is how long a task runs before it may be moved again.
	minConsolidationAge = 3 * time.Second
	// maxSimilarDifference is the difference up to which two latency-critical
	// images count as similar.
	maxSimilarDifference = 0.3
	// minConsolidationGain is the share of the best-effort images that have to
	// become compatible with a worker for the moves to be worthwhile.
	minConsolidationGain = 0.15
	// maxConsolidationAge is the longest that a task to be moved may have run. A
	// move loses its work since the start.
	maxConsolidationAge = 25 * time.Second
)

// consolidate moves latency-critical tasks off workers whose other
// latency-critical tasks suffer from interference by different best-effort
// images. A best-effort task is placed on a worker only if it is compatible
// with all latency-critical tasks there, so a mix of images excludes most
// best-effort tasks.
func (m *Machine) consolidate() {
	if m.now.Sub(m.consolidatedAt) < consolidateInterval || m.recovery.active || !m.mayStart() {
		return
	}
	m.consolidatedAt = m.now
	left := maxConsolidationMoves
	for _, c := range m.consolidations() {
		for _, r := range c.misplaced {
			if left == 0 {
				return
			}
			to := m.consolidationTarget(r)
			if to == nil {
				continue
			}
			left--
			m.log("latency-critical task moved", "id", r.task.job().spec.ID, "task", r.task.name(), "from", c.w.name(),
				"to", to.name(), "gain", c.gain, "image", r.task.step.spec.Image)
			r.task.moved = true
			m.stop(r, "moved to a worker with similar images")
		}
	}
}

// consolidation is a worker with the tasks to move, the share of best-effort
// images gained, and the processors of the moved tasks as the cost.
type consolidation struct {
	w         *worker
	misplaced []*run
	gain      float64
	cost      float64
}

// consolidations returns the worthwhile consolidations, those with the lowest
// cost for their gain first.
func (m *Machine) consolidations() []consolidation {
	var out []consolidation
	for _, w := range m.order {
		if len(w.criticalImages()) < 2 || !m.usable(w) {
			continue
		}
		c := m.consolidationOf(w)
		if c.gain >= minConsolidationGain && len(c.misplaced) > 0 {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b consolidation) int { return cmp.Compare(a.cost/a.gain, b.cost/b.gain) })
	return out
}

// consolidationOf finds the tasks that differ from the largest group of similar
// tasks on a worker.
func (m *Machine) consolidationOf(w *worker) consolidation {
	c := consolidation{w: w}
	best := 0.0
	var main string
	for _, image := range w.criticalImages() {
		sum := 0.0
		for _, r := range w.criticalRuns {
			if m.interference.similar(image, r.task.step.spec.Image) {
				sum += float64(r.task.step.spec.Resources.CPU)
			}
		}
		if sum > best {
			best, main = sum, image
		}
	}
	var keep []string
	for _, image := range w.criticalImages() {
		if m.interference.similar(main, image) {
			keep = append(keep, image)
		}
	}
	c.gain = m.interference.compatibleShare(keep) - m.interference.compatibleShare(w.criticalImages())
	for _, r := range w.criticalRuns {
		if !m.interference.similar(main, r.task.step.spec.Image) {
			c.cost += float64(r.task.step.spec.Resources.CPU)
			c.misplaced = append(c.misplaced, r)
		}
	}
	return c
}

// consolidationTarget returns a worker that a misplaced task may move to, or
// nil.
func (m *Machine) consolidationTarget(r *run) *worker {
	t := r.task
	ran := m.now.Sub(r.firstSent)
	if !t.step.mayLose(t) || t.step.spec.Gang || !r.ready() || ran < minConsolidationAge || ran > maxConsolidationAge {
		return nil
	}
	if m.usesReserve(r.need.CPU) {
		return nil // The task would wait for capacity after its stop.
	}
	to := m.chooseWorker(t, m.fleet.Queues[t.job().queue])
	if to == nil || to == r.worker {
		return nil
	}
	for _, image := range to.criticalImages() {
		if !m.interference.similar(image, t.step.spec.Image) {
			return nil
		}
	}
	return to
}

// similar reports whether mostly the same best-effort images interfere with two
// latency-critical images.
func (d *interference) similar(a, b string) bool {
	return a == b || d.difference(a, b) <= maxSimilarDifference
}

// compatibleShare returns the share of the best-effort images that are
// compatible with all given latency-critical images.
func (d *interference) compatibleShare(critical []string) float64 {
	compatible, all := 0, 0
	for _, bestEffort := range d.bestEffortImages() {
		all++
		if !slices.ContainsFunc(critical, func(s string) bool { return d.estimate(s, bestEffort) >= incompatibleFrom }) {
			compatible++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(compatible) / float64(all)
}
