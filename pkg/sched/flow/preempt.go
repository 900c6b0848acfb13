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

// preemption is the search of one pass for runs to preempt. Its cost grows with the
// number of runs, and with the number of workers for each step that may fit, but not
// with the number of runs for each step.
type preemption struct {
	m *Machine
	// soon holds the free capacity of each worker, in the order of the workers, once
	// the runs that are being stopped have ended.
	soon []sched.Resources
	// gains holds what stopping runs would free, by the priority that stops them.
	gains map[int]*gain
}

// gain holds the capacity that stopping all preemptable runs of lower priorities would
// free on each worker. most is an upper bound, in each dimension, of what any worker
// could then have free.
type gain struct {
	of   []sched.Resources
	most sched.Resources
}

// preempt frees capacity for the unplaced steps by stopping runs of queues with
// a lower priority. It prefers runs that lose the least work.
func (p *pass) preempt() {
	m := p.m
	if len(p.unplaced) == 0 || m.now.Sub(m.preemptedAt) < preemptInterval {
		return
	}
	m.preemptedAt = m.now
	defer m.timed(&m.effort.Preempt)()
	x := preemption{m: m, soon: make([]sched.Resources, len(m.order)), gains: map[int]*gain{}}
	for i, w := range m.order {
		x.soon[i] = w.freeAfterStops()
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
			x.preemptForGang(s)
			continue
		}
		left = x.preemptFor(s, left)
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

// gain returns what stopping runs would free for a queue of the given priority.
func (x *preemption) gain(priority int) *gain {
	if g := x.gains[priority]; g != nil {
		return g
	}
	g := &gain{of: make([]sched.Resources, len(x.soon))}
	for i, w := range x.m.order {
		g.of[i] = w.preemptableNeed(x.m, priority)
		total := x.soon[i].Add(g.of[i])
		g.most.CPU = max(g.most.CPU, total.CPU)
		g.most.Memory = max(g.most.Memory, total.Memory)
		g.most.Accelerators = max(g.most.Accelerators, total.Accelerators)
	}
	x.gains[priority] = g
	return g
}

// preemptFor stops runs so that the waiting tasks of a step fit, for up to left
// tasks. It returns for how many more tasks runs may be stopped.
func (x *preemption) preemptFor(s *step, left int) int {
	m := x.m
	q := m.fleet.Queues[s.occ.job.queue]
	need := s.spec.Need()
	if !need.Fits(x.gain(q.Priority).most) {
		return left
	}
	// No worker before from has capacity for a task of the step.
	from := 0
	for _, t := range s.tasks {
		if t.phase != phaseQueued || left == 0 {
			continue
		}
		if from = x.fitsSoon(t, q, from); from < len(x.soon) {
			x.soon[from] = x.soon[from].Sub(need)
			continue
		}
		i, victims := x.cheapest(t, q)
		if i < 0 {
			return left
		}
		x.stop(i, victims, "preempted by "+string(q.Name))
		x.soon[i] = x.soon[i].Sub(need)
		from = i
		left--
	}
	return left
}

// stop stops runs on a worker.
func (x *preemption) stop(i int, victims []*run, why string) {
	for _, r := range victims {
		x.soon[i] = x.soon[i].Add(r.need)
		x.m.stop(r, why)
	}
	for priority, g := range x.gains {
		g.of[i] = x.m.order[i].preemptableNeed(x.m, priority)
	}
}

// preemptForGang stops runs so that a whole gang fits, or none if that would
// not free enough capacity. It ignores the preference for one rack.
func (x *preemption) preemptForGang(s *step) {
	if x.gangSlots(s) >= s.queued {
		x.preemptFor(s, s.queued)
	}
}

// gangSlots returns how many waiting tasks of a gang would fit if all
// preemptable runs of lower priorities were stopped.
func (x *preemption) gangSlots(s *step) int {
	m := x.m
	q := m.fleet.Queues[s.occ.job.queue]
	g := x.gain(q.Priority)
	need := s.spec.Need()
	if !need.Fits(g.most) {
		return 0
	}
	slots := 0
	for i, w := range m.order {
		free, n := x.soon[i].Add(g.of[i]), 0
		m.effort.Examined++
		if !need.Fits(free) || !w.openTo(s) || !m.acceptable(s.tasks[0], w, q) {
			continue
		}
		for ; need.Fits(free) && n < s.queued; n++ {
			free = free.Sub(need)
		}
		if s.spec.AntiAffinity > 0 {
			n = min(n, s.spec.AntiAffinity)
		}
		slots += n
	}
	return slots
}

// fitsSoon returns the first worker at or after from where enough capacity for a task
// is free or is being freed, or the number of workers if there is none.
func (x *preemption) fitsSoon(t *task, q sched.Queue, from int) int {
	need := t.step.spec.Need()
	for i := from; i < len(x.soon); i++ {
		x.m.effort.Examined++
		if w := x.m.order[i]; need.Fits(x.soon[i]) && w.openTo(t.step) && x.m.acceptable(t, w, q) {
			return i
		}
	}
	return len(x.soon)
}

// cheapest returns the worker on which making a task fit loses the least work, with
// the runs to stop. It returns -1 if there is none.
func (x *preemption) cheapest(t *task, q sched.Queue) (int, []*run) {
	m := x.m
	g := x.gain(q.Priority)
	need := t.step.spec.Need()
	best := -1
	var victims []*run
	bestCost := time.Duration(0)
	for i, w := range m.order {
		m.effort.Examined++
		if !need.Fits(x.soon[i].Add(g.of[i])) || !w.openTo(t.step) || !m.acceptable(t, w, q) {
			continue
		}
		runs, cost, ok := m.victims(t, w, q, x.soon[i])
		if ok && (best < 0 || cost < bestCost) {
			best, victims, bestCost = i, runs, cost
		}
	}
	return best, victims
}

// victims returns the runs of a worker to stop so that a task fits, and the
// work that is lost.
func (m *Machine) victims(t *task, w *worker, q sched.Queue, free sched.Resources) ([]*run, time.Duration, bool) {
	var lower []*run
	for _, r := range w.list {
		m.effort.Examined++
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
		m.effort.Examined++
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
