package tasks

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// checkpointCost is the run time that an eviction costs a task whose class
	// checkpoints, for writing and reading the checkpoint.
	checkpointCost = 2 * time.Second
	// reserveAfter is the wait after which a worker is reserved for a task.
	// Without a reservation, smaller tasks could overtake the task without bound.
	reserveAfter = 2 * time.Minute
)

// preempt evicts tasks to free capacity for an urgent task, on the worker where
// that wastes the least work. Capacity that stopping tasks will free is used
// first.
func (m *Machine) preempt(t *task) {
	m.computeFreeAfterStops()
	best, bestLoss := -1, time.Duration(0)
	var victims []*task
	for i := range m.available {
		if !t.spec.Resources.Fits(m.available[i].Capacity) || slices.Contains(t.failedOn, m.available[i].Worker) {
			continue
		}
		v, loss, ok := m.victims(i, t.spec.Resources)
		if ok && (best < 0 || loss < bestLoss) {
			best, bestLoss, victims = i, loss, v
		}
		if ok && len(v) == 0 {
			break
		}
	}
	if best < 0 {
		return
	}
	for _, v := range victims {
		m.freeAfterStops[best] = m.freeAfterStops[best].Add(v.spec.Resources)
		m.evict(v, "preempted by urgent task "+t.id.String(), false)
	}
	m.freeAfterStops[best] = m.freeAfterStops[best].Sub(t.spec.Resources)
	// The capacity that is free now is left to the urgent task.
	m.available[best].Free = clampToZero(m.available[best].Free.Sub(t.spec.Resources))
}

func clampToZero(r sched.Resources) sched.Resources {
	return sched.Resources{
		CPU: max(r.CPU, 0), Memory: max(r.Memory, 0), Accelerators: max(r.Accelerators, 0),
	}
}

// computeFreeAfterStops computes m.freeAfterStops, once per scheduling pass.
func (m *Machine) computeFreeAfterStops() {
	if len(m.freeAfterStops) > 0 {
		return
	}
	for i := range m.available {
		free := m.available[i].Free
		for _, t := range m.workers[m.available[i].Worker].tasks {
			if t.state == stStopping {
				free = free.Add(t.spec.Resources)
			}
		}
		m.freeAfterStops = append(m.freeAfterStops, free)
	}
}

// victims chooses tasks of an available worker whose eviction frees enough
// capacity for need, those that waste the least work first. It skips urgent
// tasks and tasks that were evicted recently. It returns the tasks and the
// wasted core time, and false if evictions cannot free enough capacity.
func (m *Machine) victims(index int, need sched.Resources) ([]*task, time.Duration, bool) {
	free := m.freeAfterStops[index]
	if need.Fits(free) {
		return nil, 0, true
	}
	var candidates []*task
	for _, t := range m.workers[m.available[index].Worker].tasks {
		recent := !t.evictedAt.IsZero() && m.now.Sub(t.evictedAt) < m.evictGap
		if t.state == stRunning && !t.urgent && !recent {
			candidates = append(candidates, t)
		}
	}
	slices.SortFunc(candidates, func(a, b *task) int {
		if c := cmp.Compare(m.loss(a), m.loss(b)); c != 0 {
			return c
		}
		return compareIDs(a.id, b.id)
	})
	total := time.Duration(0)
	for i, t := range candidates {
		free = free.Add(t.spec.Resources)
		total += m.loss(t)
		if need.Fits(free) {
			return candidates[:i+1], total, true
		}
	}
	return nil, 0, false
}

// loss returns the core time that an eviction of a running task wastes.
func (m *Machine) loss(t *task) time.Duration {
	lost := m.now.Sub(t.startedAt)
	if m.config != nil {
		if c, ok := m.config.Class(t.spec.Class); ok && c.Checkpoints {
			lost = min(lost, checkpointCost)
		}
	}
	return time.Duration(max(t.spec.Resources.CPU, 1)) * lost / 1000
}

// reserveWorker reserves a worker for a task that has waited too long: among the
// available workers that are big enough, the one with the most free processors.
func (m *Machine) reserveWorker(t *task) {
	best := -1
	for i := range m.available {
		if t.spec.Resources.Fits(m.available[i].Capacity) &&
			(best < 0 || m.available[i].Free.CPU > m.available[best].Free.CPU) {
			best = i
		}
	}
	if best >= 0 {
		m.reservedFor, m.reservedWorker = t, m.available[best].Worker
	}
}

// applyReservation starts the task that a worker is reserved for if the worker
// has enough free capacity now. Otherwise it hides the worker from the other
// tasks of the pass.
func (m *Machine) applyReservation() {
	t := m.reservedFor
	if t == nil {
		return
	}
	i := slices.IndexFunc(m.available, func(c sched.WorkerCapacity) bool { return c.Worker == m.reservedWorker })
	if t.state != stQueued || t.queuePos == 0 || i < 0 {
		m.reservedFor = nil
		return
	}
	reserved := &m.available[i]
	if t.spec.Resources.Fits(reserved.Free) && m.ledger.Reserve(reserved.Worker, t.spec.Resources) {
		m.queue.remove(t)
		reserved.Free = reserved.Free.Sub(t.spec.Resources)
		m.start(t, m.workers[reserved.Worker])
		m.reservedFor = nil
		return
	}
	reserved.Free = sched.Resources{CPU: -1}
}
