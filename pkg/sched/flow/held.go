package flow

import "github.com/mangoslip/mangoslip/pkg/sched"

// maxHeld bounds the tasks for which one pass holds capacity. Each search looks at all
// workers.
const maxHeld = 8

// open returns the capacity that no run takes and that is not held for a task.
func (w *worker) open() sched.Resources {
	free := w.free()
	return sched.Resources{
		CPU: max(free.CPU-w.held.CPU, 0), Memory: max(free.Memory-w.held.Memory, 0),
		Accelerators: max(free.Accelerators-w.held.Accelerators, 0),
	}
}

// holdForAway holds capacity for the tasks of a step that have been away too long and
// fit on no worker: each on the worker with the most free processors when it was first
// done. Later tasks of the pass leave it free. Otherwise smaller tasks would take each
// piece that becomes free, and the task would wait until a piece of its size becomes
// free at once.
func (p *pass) holdForAway(s *step, q sched.Queue) {
	need := s.spec.Need()
	for _, t := range s.tasks {
		if p.holds >= maxHeld {
			return
		}
		if !p.m.awayTooLong(t) || t.mayBeRunning && p.m.recovery.active {
			continue
		}
		if t.heldOn == nil || !p.m.acceptable(t, t.heldOn, q) {
			t.heldOn = p.workerToHold(t, q)
		}
		if t.heldOn == nil {
			return
		}
		p.holds++
		t.heldOn.held = t.heldOn.held.Add(need)
	}
}

// workerToHold returns the worker with the most free processors of those that a task
// may run on and where it fits once the short tasks have ended, or nil if there is none.
func (p *pass) workerToHold(t *task, q sched.Queue) *worker {
	var best *worker
	var most sched.MilliCPU
	p.m.ratings += len(p.m.order)
	for _, w := range p.m.order {
		free := w.free().Sub(w.held)
		if best != nil && free.CPU <= most || !p.m.acceptable(t, w, q) {
			continue
		}
		if t.step.spec.Need().Fits(free.Add(w.usedByShort())) {
			best, most = w, free.CPU
		}
	}
	return best
}

// usedByShort returns the capacity that runs of tasks take that end by themselves.
func (w *worker) usedByShort() sched.Resources {
	var sum sched.Resources
	for _, r := range w.list {
		if !r.task.step.spec.Perpetual {
			sum = sum.Add(r.need)
		}
	}
	return sum
}

// dropHeld drops what the last pass held.
func (m *Machine) dropHeld() {
	for _, w := range m.order {
		w.held = sched.Resources{}
	}
}
