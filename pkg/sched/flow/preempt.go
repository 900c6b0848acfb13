package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// preemptAfter is how long after a step became ready its tasks preempt runs of
	// queues with a lower priority.
	preemptAfter = 150 * time.Millisecond
	// preemptInterval is the shortest time between two searches for runs to
	// preempt.
	preemptInterval = 100 * time.Millisecond
	// maxPreemptsPerPass bounds the tasks for which one pass stops runs. Gangs do
	// not count.
	maxPreemptsPerPass = 8
)

// preempt frees capacity for the unplaced steps by stopping runs of queues with
// a lower priority. It prefers runs that lose the least work.
func (p *pass) preempt() {
	m := p.m
	if len(p.unplaced) == 0 || m.now.Sub(m.preemptedAt) < preemptInterval {
		return
	}
	m.preemptedAt = m.now
	defer m.timed(&m.effort.Preempt)()
	soon := map[*worker]sched.Resources{}
	for _, w := range m.order {
		soon[w] = w.freeAfterStops()
	}
	left := maxPreemptsPerPass
	for _, s := range p.unplaced {
		if left == 0 {
			return
		}
		if m.now.Sub(s.readyAt) < preemptAfter {
			continue
		}
		if s.spec.Gang {
			p.preemptForGang(s, soon)
			continue
		}
		left = p.preemptFor(s, soon, left)
	}
}

// freeAfterStops returns the free capacity of a worker once the runs that are
// being stopped have ended.
func (w *worker) freeAfterStops() sched.Resources {
	free := w.free()
	for _, r := range w.list {
		if r.state == runStopping {
			free = free.Add(r.need)
		}
	}
	return free
}

// preemptFor stops runs so that the waiting tasks of a step fit, for up to left
// tasks. It returns for how many more tasks runs may be stopped.
func (p *pass) preemptFor(s *step, soon map[*worker]sched.Resources, left int) int {
	m := p.m
	q := m.fleet.Queues[s.occ.job.queue]
	need := s.spec.Need()
	for _, t := range s.tasks {
		if t.phase != phaseQueued || left == 0 {
			continue
		}
		if fitsSoon(m, t, q, need, soon) {
			continue
		}
		w, victims := m.cheapestPreemption(t, q, soon)
		if w == nil {
			return left
		}
		for _, r := range victims {
			soon[w] = soon[w].Add(r.need)
			m.stop(r, "preempted by "+string(q.Name))
		}
		soon[w] = soon[w].Sub(need)
		left--
	}
	return left
}

// preemptForGang stops runs so that a whole gang fits, or none if that would
// not free enough capacity. It ignores the preference for one rack.
func (p *pass) preemptForGang(s *step, soon map[*worker]sched.Resources) {
	if p.gangSlots(s, soon) >= s.queued {
		p.preemptFor(s, soon, s.queued)
	}
}

// gangSlots returns how many waiting tasks of a gang would fit if all
// preemptable runs of lower priorities were stopped.
func (p *pass) gangSlots(s *step, soon map[*worker]sched.Resources) int {
	m := p.m
	q := m.fleet.Queues[s.occ.job.queue]
	slots := 0
	for _, w := range m.order {
		if !m.acceptable(s.tasks[0], w, q) {
			continue
		}
		free, n := soon[w].Add(w.preemptableNeed(m, q.Priority)), 0
		for need := s.spec.Need(); need.Fits(free) && n < s.queued; n++ {
			free = free.Sub(need)
		}
		if s.spec.AntiAffinity > 0 {
			n = min(n, s.spec.AntiAffinity)
		}
		slots += n
	}
	return slots
}

// fitsSoon reserves capacity for a task where enough is free or is being freed,
// and reports whether there is any.
func fitsSoon(m *Machine, t *task, q sched.Queue, need sched.Resources, soon map[*worker]sched.Resources) bool {
	for _, w := range m.order {
		if m.acceptable(t, w, q) && need.Fits(soon[w]) {
			soon[w] = soon[w].Sub(need)
			return true
		}
	}
	return false
}

// cheapestPreemption returns the worker on which making a task fit loses the
// least work, with the runs to stop.
func (m *Machine) cheapestPreemption(t *task, q sched.Queue, soon map[*worker]sched.Resources) (*worker, []*run) {
	var best *worker
	var victims []*run
	bestCost := time.Duration(0)
	for _, w := range m.order {
		if !m.acceptable(t, w, q) {
			continue
		}
		runs, cost, ok := m.victims(t, w, q, soon[w])
		if ok && (best == nil || cost < bestCost) {
			best, victims, bestCost = w, runs, cost
		}
	}
	return best, victims
}

// victims returns the runs of a worker to stop so that a task fits, and the
// work that is lost.
func (m *Machine) victims(t *task, w *worker, q sched.Queue, free sched.Resources) ([]*run, time.Duration, bool) {
	total := free.Add(w.preemptableNeed(m, q.Priority))
	if !t.step.spec.Need().Fits(total) {
		return nil, 0, false
	}
	var lower []*run
	for _, r := range w.list {
		if m.preemptable(r, q.Priority) {
			lower = append(lower, r)
		}
	}
	slices.SortStableFunc(lower, func(a, b *run) int { return int(m.unsaved(a) - m.unsaved(b)) })
	var out []*run
	cost := time.Duration(0)
	need := t.step.spec.Need()
	for _, r := range lower {
		if need.Fits(free) {
			break
		}
		free = free.Add(r.need)
		cost += m.unsaved(r)
		out = append(out, r)
	}
	return out, cost, need.Fits(free) && len(out) > 0
}

// preemptable reports whether a queue of the given priority may stop a run. A
// higher number is a lower priority. Gangs are not preempted, nor are tasks of
// steps with a bound on unavailable tasks, because another stop of the same pass
// could exceed the bound.
func (m *Machine) preemptable(r *run, priority int) bool {
	q := m.fleet.Queues[r.task.job().queue]
	return q.Priority > priority && r.state == runRunning && r.task.step.spec.MaxUnavailable == 0 && !r.task.step.spec.Gang
}

// preemptableNeed returns the capacity that stopping all preemptable runs of
// lower priorities would free.
func (w *worker) preemptableNeed(m *Machine, priority int) sched.Resources {
	var sum sched.Resources
	for _, r := range w.list {
		if m.preemptable(r, priority) {
			sum = sum.Add(r.need)
		}
	}
	return sum
}

// unsaved returns how much work of a run a stop would lose.
func (m *Machine) unsaved(r *run) time.Duration {
	if r.task.step.spec.Checkpoint {
		return m.resumeTime
	}
	return m.now.Sub(r.firstSent)
}
