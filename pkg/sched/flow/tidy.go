package flow

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tidyEvery is the pause between two looks at the mix of images.
	consolidateInterval = 400 * time.Millisecond
	// tidyMoves bounds the tasks that one look moves.
	maxConsolidationMoves = 6
	// tidyAge is how long a task runs before it may be moved again.
	minConsolidationAge = 3 * time.Second
	// alikeMost is the difference up to which two images that serve count as
	// disturbed by the same images.
	maxSimilarDifference = 0.3
	// tidyGain is the share of the images that fill for which a worker has to
	// open up to be worth the moves.
	minConsolidationGain = 0.15
	// tidyMostRan is the longest that a task may have run: what it worked since
	// its start is lost by a move.
	maxConsolidationAge = 25 * time.Second
)

// tidy moves tasks that serve off workers whose other tasks are disturbed by
// other images: a worker takes a task that fills only if it disturbs none that
// serves there, so a mix of images closes a worker to most tasks that fill.
func (m *Machine) consolidate() {
	if m.now.Sub(m.consolidatedAt) < consolidateInterval || m.recovery.active || !m.mayIssueOrders {
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
			m.log("task that serves is moved", "id", r.task.job().spec.ID, "task", r.task.name(), "from", c.w.name(),
				"to", to.name(), "gain", c.gain, "image", r.task.step.spec.Image)
			m.stop(r, "moved to tasks that are disturbed alike")
		}
	}
}

// cleaning is a worker whose mix of images is worth a change.
type consolidation struct {
	w         *worker
	misplaced []*run
	gain      float64
	cost      float64
}

// mixed returns the workers that would open up, the cheapest first.
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

// cleaningOf finds the tasks that do not fit in with most of a worker's.
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

// tidyTarget returns a worker that a misplaced task may move to, or nil.
func (m *Machine) consolidationTarget(r *run) *worker {
	t := r.task
	ran := m.now.Sub(r.firstSent)
	if t.step.spec.MayMiss > 0 || t.step.spec.Gang || !r.ready() || ran < minConsolidationAge || ran > maxConsolidationAge {
		return nil
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

// alike reports whether two images that serve are disturbed by the same images.
func (d *interference) similar(a, b string) bool {
	return a == b || d.difference(a, b) <= maxSimilarDifference
}

// openness returns the share of the images that fill which disturb none of the
// given images.
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
