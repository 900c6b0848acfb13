package pool

import (
	"math"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// peakMargin is the ratio of the slots reserved for requests to the recent peak
// of demand.
const peakMargin = 1.2

// FreeCapacity implements [sched.Ledger].
func (m *Machine) FreeCapacity() []sched.WorkerCapacity {
	m.freeCapacity = m.freeCapacity[:0]
	for _, w := range m.sortedWorkers {
		if !m.serving || !w.live() || w.health.state != healthy {
			continue
		}
		m.freeCapacity = append(m.freeCapacity, sched.WorkerCapacity{
			Worker:   w.name,
			Rack:     w.Rack,
			Capacity: w.Capacity,
			Free:     m.freeForTasks(w),
			Services: w.Services,
		})
	}
	return m.freeCapacity
}

// freeForTasks returns the resources of a worker that tasks may take now. It
// leaves out the resources of the slots in use or of the slots reserved for
// requests, whichever are more.
func (m *Machine) freeForTasks(w *worker) sched.Resources {
	free := w.Capacity.Sub(w.batch)
	for _, t := range w.targets {
		n := max(t.busy+t.untracked(), m.reservedSlots(t))
		free = free.Sub(t.service.SlotResources.Scale(n))
	}
	return sched.Resources{
		CPU:          max(free.CPU, 0),
		Memory:       max(free.Memory, 0),
		Accelerators: max(free.Accelerators, 0),
	}
}

// reservedSlots returns the number of slots of a target that are reserved for
// requests, in use or not. It follows the headroom or the recent peak of
// demand, whichever is larger.
func (m *Machine) reservedSlots(t *target) int {
	s := t.service
	if t.unlisted || s.refusal != "" {
		return 0
	}
	share := m.headroom
	if s.targets > 0 && s.Slots > 0 {
		share = max(share, peakMargin*s.peakDemand/float64(s.targets*s.Slots))
	}
	return int(math.Ceil(min(share, 1) * float64(s.Slots)))
}

// Reserve implements [sched.Ledger].
func (m *Machine) Reserve(name sched.WorkerName, r sched.Resources) bool {
	w := m.workers[name]
	if w == nil || !m.serving || !w.live() || w.health.state != healthy || r.Negative() || !r.Fits(m.freeForTasks(w)) {
		return false
	}
	m.Restore(name, r)
	return true
}

// Restore implements [sched.Ledger].
func (m *Machine) Restore(name sched.WorkerName, r sched.Resources) {
	w := m.workers[name]
	if w == nil {
		w = m.addWorker(name)
	}
	w.batch = w.batch.Add(r)
	w.tasks++
	m.refresh(w)
}

// Release implements [sched.Ledger]. Waiting requests that now fit start on the
// next tick at the latest.
func (m *Machine) Release(name sched.WorkerName, r sched.Resources) {
	w := m.workers[name]
	if w == nil || w.tasks == 0 {
		return
	}
	w.batch = w.batch.Sub(r)
	w.tasks--
	m.refresh(w)
	m.removeIfUnused(w)
}
