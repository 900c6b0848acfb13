package tasks

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// checkpointLoss is the work that an eviction costs a task whose class
	// checkpoints: writing and reading the checkpoint.
	checkpointCost = 2 * time.Second
	// starveAfter is the wait after which a worker is kept free for a task
	// that smaller ones would overtake without end.
	reserveAfter = 2 * time.Minute
)

// preempt makes room for an urgent task on the worker where that loses the
// least work. Room that earlier evictions are about to free is used first.
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
	// Other tasks leave what is free now to the urgent one.
	m.available[best].Free = clampToZero(m.available[best].Free.Sub(t.spec.Resources))
}

func clampToZero(r sched.Resources) sched.Resources {
	return sched.Resources{
		CPU: max(r.CPU, 0), Memory: max(r.Memory, 0), Accelerators: max(r.Accelerators, 0),
	}
}

// fillSoon computes what each room has free when the running stops are done.
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

// victims chooses tasks of a room whose eviction makes need fit, those that
// lose the least work first. A task that was evicted recently is left alone.
func (m *Machine) victims(workerIndex int, need sched.Resources) ([]*task, time.Duration, bool) {
	free := m.freeAfterStops[workerIndex]
	if need.Fits(free) {
		return nil, 0, true
	}
	var candidates []*task
	for _, t := range m.workers[m.available[workerIndex].Worker].tasks {
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

// loss is the core time that an eviction of a running task wastes.
func (m *Machine) loss(t *task) time.Duration {
	lost := m.now.Sub(t.startedAt)
	if m.config != nil {
		if c, ok := m.config.Class(t.spec.Class); ok && c.Checkpoints {
			lost = min(lost, checkpointCost)
		}
	}
	return time.Duration(max(t.spec.Resources.CPU, 1)) * lost / 1000
}

// starve begins to keep a worker free for a task that waits too long: the one
// that has the most free processors and is big enough.
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

// keepFree starts the starved task if its worker has drained enough, and else
// hides that worker from the other tasks of the walk.
func (m *Machine) applyReservation() {
	t := m.reservedFor
	if t == nil {
		return
	}
	i := slices.IndexFunc(m.available, func(r sched.WorkerRoom) bool { return r.Worker == m.reservedWorker })
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
