package flow

import (
	"slices"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/delay"
)

const (
	// sizesKept is how many of the last sizes of a queue the groups are made of,
	// and minSizes how many are needed.
	sizesKept = 200
	minSizes  = 20
	// largestFrom and largeFrom are the shares of smaller jobs from which a job
	// belongs to the largest tenth and to the fifth below.
	largestFrom, largeFrom = 0.9, 0.7
	// The groups of sizes.
	groupLargest, groupLarge, groups = 0, 1, 2
	groupNone                        = -1
)

// outcomes holds the sizes and outcomes of the recent jobs of a queue.
type outcomes struct {
	sizes  []float64
	next   int
	sorted []float64

	all     delay.Tally
	byGroup [groups]delay.Tally
	// open, openByGroup and delayed count the occurrences of the current decision.
	open, delayed int
	openByGroup   [groups]int
}

// addSize adds the size of a new job.
func (q *outcomes) addSize(size float64) {
	if len(q.sizes) < sizesKept {
		q.sizes = append(q.sizes, size)
	} else {
		q.sizes[q.next] = size
		q.next = (q.next + 1) % sizesKept
	}
	q.sorted = nil
}

// mean returns the mean size.
func (q *outcomes) mean() float64 {
	sum := 0.0
	for _, s := range q.sizes {
		sum += s
	}
	return sum / float64(max(len(q.sizes), 1))
}

// group returns the group of a size.
func (q *outcomes) group(size float64) int {
	if len(q.sizes) < minSizes {
		return groupNone
	}
	if q.sorted == nil {
		q.sorted = slices.Sorted(slices.Values(q.sizes))
	}
	switch n := float64(len(q.sorted)); {
	case size >= q.sorted[int(largestFrom*n)]:
		return groupLargest
	case size >= q.sorted[int(largeFrom*n)]:
		return groupLarge
	default:
		return groupNone
	}
}

// addOutcome counts whether a job missed its objective.
func (q *outcomes) addOutcome(group int, missed bool) {
	q.all.Add(missed)
	for i := range q.byGroup {
		if i == group {
			q.byGroup[i].Add(missed)
		} else {
			q.byGroup[i].Fade()
		}
	}
}

func (q *outcomes) beginDecision() { q.open, q.delayed, q.openByGroup = 0, 0, [groups]int{} }

// addOpen counts an occurrence without an outcome.
func (q *outcomes) addOpen(group int, delayed bool) {
	q.open++
	if delayed {
		q.delayed++
	}
	if group != groupNone {
		q.openByGroup[group]++
	}
}

// onTime returns the share of the queue's jobs that are in time, if the delayed
// ones are not.
func (q *outcomes) onTime() float64 {
	all := q.all.All + float64(q.open)
	return (all - q.all.Missed - float64(q.delayed)) / max(all, 1)
}

// maxDelayed returns the bounds on the delayed jobs of each queue's groups, and
// sets the groups of the jobs accordingly.
func (d *delays) maxDelayed(c *contenders) []int {
	var out []int
	first := map[*outcomes]int{}
	for i := range c.waiting {
		x := &c.waiting[i]
		if x.sizeGroup == groupNone {
			x.job.Group = groupNone
			continue
		}
		base, ok := first[x.queue]
		if !ok {
			base = len(out)
			first[x.queue] = base
			for g := range groups {
				out = append(out, delay.MaxDelayed(x.queue.byGroup[g], x.queue.openByGroup[g], x.queue.onTime()))
			}
		}
		x.job.Group = base + x.sizeGroup
	}
	return out
}

// addOpenOccurrences adds the occurrences that were opened since the last decision.
func (m *Machine) addOpenOccurrences() {
	for _, j := range m.live {
		q := m.fleet.Queues[j.queue]
		if q.Advised || q.Stretch == 0 && q.Target == 0 {
			continue
		}
		for _, o := range j.occurrences {
			if o != nil && !o.ended && !o.delay.added && o.index < j.opened {
				o.delay.added = true
				m.addOpenOccurrence(o)
			}
		}
	}
}

// countOutcomes counts the outcomes that have become known and removes their
// occurrences from the open ones.
func (m *Machine) countOutcomes() {
	keep := m.delays.open[:0]
	for _, o := range m.delays.open {
		if !m.countOutcome(o) {
			keep = append(keep, o)
		}
	}
	clear(m.delays.open[len(keep):])
	m.delays.open = keep
}

// addOpenOccurrence adds an occurrence, unless it has steps that are not delayed.
// Perpetual tasks do not end, and the scheduler reserves capacity for a gang.
func (m *Machine) addOpenOccurrence(o *occurrence) {
	for _, s := range o.steps {
		if s.spec.Perpetual || s.spec.Gang {
			return
		}
		o.delay.size += workOf(s, m.duration(s), len(s.tasks)).Cores
	}
	q := m.delays.queues[o.job.queue]
	if q == nil {
		q = &outcomes{}
		m.delays.queues[o.job.queue] = q
	}
	q.addSize(o.delay.size)
	m.delays.open = append(m.delays.open, o)
}

// countOutcome counts the outcome of an occurrence and reports whether it is known.
// Jobs that failed or were cancelled do not count.
func (m *Machine) countOutcome(o *occurrence) bool {
	j := o.job
	if j.state.Final() && j.state != sched.JobCompleted {
		return true
	}
	at := m.now
	if j.state.Final() {
		at = j.finishedAt
	}
	missed := at.After(o.due.Add(objective(m.fleet.Queues[j.queue], m.chains(o).longest)))
	if !o.ended && !missed {
		return false
	}
	q := m.delays.queues[j.queue]
	q.addOutcome(q.group(o.delay.size), missed)
	o.delay.delayed = o.delay.delayed && !o.ended
	return true
}
