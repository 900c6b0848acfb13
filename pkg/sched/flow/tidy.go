package flow

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tidyEvery is the pause between two looks at the mix of images.
	tidyEvery = 400 * time.Millisecond
	// tidyMoves bounds the tasks that one look moves.
	tidyMoves = 6
	// tidyAge is how long a task runs before it may be moved again.
	tidyAge = 3 * time.Second
	// alikeMost is the difference up to which two images that serve count as
	// disturbed by the same images.
	alikeMost = 0.3
	// tidyGain is the share of the images that fill for which a worker has to
	// open up to be worth the moves.
	tidyGain = 0.15
	// tidyMostRan is the longest that a task may have run: what it worked since
	// its start is lost by a move.
	tidyMostRan = 25 * time.Second
)

// tidy moves tasks that serve off workers whose other tasks are disturbed by
// other images: a worker takes a task that fills only if it disturbs none that
// serves there, so a mix of images closes a worker to most tasks that fill.
func (m *Machine) tidy() {
	if m.now.Sub(m.tidiedAt) < tidyEvery || m.recovery.active || !m.mayOrder {
		return
	}
	m.tidiedAt = m.now
	left := tidyMoves
	for _, c := range m.mixed() {
		for _, r := range c.misplaced {
			if left == 0 {
				return
			}
			to := m.tidyTarget(r)
			if to == nil {
				continue
			}
			left--
			m.note("task that serves is moved", "id", r.task.job().spec.ID, "task", r.task.name(), "from", c.w.name(),
				"to", to.name(), "gain", c.gain, "image", r.task.step.spec.Image)
			m.stop(r, "moved to tasks that are disturbed alike")
		}
	}
}

// cleaning is a worker whose mix of images is worth a change.
type cleaning struct {
	w         *worker
	misplaced []*run
	gain      float64
	cost      float64
}

// mixed returns the workers that would open up, the cheapest first.
func (m *Machine) mixed() []cleaning {
	var out []cleaning
	for _, w := range m.order {
		if len(w.images()) < 2 || !m.usable(w) {
			continue
		}
		c := m.cleaningOf(w)
		if c.gain >= tidyGain && len(c.misplaced) > 0 {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b cleaning) int { return cmp.Compare(a.cost/a.gain, b.cost/b.gain) })
	return out
}

// cleaningOf finds the tasks that do not fit in with most of a worker's.
func (m *Machine) cleaningOf(w *worker) cleaning {
	c := cleaning{w: w}
	best := 0.0
	var main string
	for _, image := range w.images() {
		sum := 0.0
		for _, r := range w.serveRuns {
			if m.disturb.alike(image, r.task.step.spec.Image) {
				sum += float64(r.task.step.spec.Resources.CPU)
			}
		}
		if sum > best {
			best, main = sum, image
		}
	}
	var keep []string
	for _, image := range w.images() {
		if m.disturb.alike(main, image) {
			keep = append(keep, image)
		}
	}
	c.gain = m.disturb.openness(keep) - m.disturb.openness(w.images())
	for _, r := range w.serveRuns {
		if !m.disturb.alike(main, r.task.step.spec.Image) {
			c.cost += float64(r.task.step.spec.Resources.CPU)
			c.misplaced = append(c.misplaced, r)
		}
	}
	return c
}

// tidyTarget returns a worker that a misplaced task may move to, or nil.
func (m *Machine) tidyTarget(r *run) *worker {
	t := r.task
	ran := m.now.Sub(r.first)
	if t.step.spec.MayMiss > 0 || t.step.spec.Gang || !r.atWork() || ran < tidyAge || ran > tidyMostRan {
		return nil
	}
	to := m.choose(t, m.fleet.Queues[t.job().queue])
	if to == nil || to == r.worker {
		return nil
	}
	for _, image := range to.images() {
		if !m.disturb.alike(image, t.step.spec.Image) {
			return nil
		}
	}
	return to
}

// alike reports whether two images that serve are disturbed by the same images.
func (d *disturb) alike(a, b string) bool { return a == b || d.unlike(a, b) <= alikeMost }

// openness returns the share of the images that fill which disturb none of the
// given images.
func (d *disturb) openness(serves []string) float64 {
	open, all := 0, 0
	for _, fills := range d.fillImages() {
		all++
		if !slices.ContainsFunc(serves, func(s string) bool { return d.belief(s, fills) >= badPair }) {
			open++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(open) / float64(all)
}
