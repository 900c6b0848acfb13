package flow

import (
	"math"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched/delay"
)

// capacityFor returns the capacity that the tasks of a pool can get now, and what
// its runs there hold. Runs that the pool may preempt, and those that are being
// stopped, count as ended.
func (m *Machine) capacityFor(c *contenders) (free delay.Amount, held []delay.Held) {
	need := c.need.Scale(1 / float64(max(c.tasks, 1)))
	for _, w := range m.order {
		if w.member.Service != c.pool.service || !m.usable(w) || !m.suits(w, c) {
			continue
		}
		own := delay.Amount{}
		unused := delay.Amount{Cores: float64(w.free().CPU) / 1000, Memory: float64(w.free().Memory)}
		slack := 0.0
		if c.pool.bestEffort {
			unused.Cores = (float64(w.member.Capacity.CPU) - w.busy) / 1000
			slack = 1 - minUnusedShare
		}
		for _, r := range w.list {
			amount, left, ok := m.heldFor(r, c.pool)
			switch {
			case !ok:
			case left == 0:
				unused = unused.Add(amount)
			default:
				own = own.Add(amount)
				held = append(held, delay.Held{Amount: amount, Until: left})
			}
		}
		all := unused.Add(own)
		free = free.Add(delay.Amount{
			Cores:  max(need.Cores*slots(all.Cores, need.Cores, slack)-own.Cores, 0),
			Memory: max(need.Memory*slots(all.Memory, need.Memory, 0)-own.Memory, 0),
		})
	}
	return free, held
}

// slots returns for how many tasks there is enough of a resource. The last task
// may lack a share of what it needs.
func slots(unused, need, slack float64) float64 {
	if need <= 0 {
		return 0
	}
	return max(math.Floor(unused/need+slack), 0)
}

// suits reports whether a best-effort task of a pool would start on a worker as
// long as it can wait. Every worker suits other tasks.
func (m *Machine) suits(w *worker, c *contenders) bool {
	if !c.pool.bestEffort {
		return true
	}
	if w.throttleFactor > 0 && w.throttleFactor < closedBelowFactor {
		return false
	}
	for _, image := range c.images {
		if m.risk(w, image) < incompatibleFrom {
			return true
		}
	}
	return false
}

// heldFor returns what a run holds that tasks of a pool get once it ends, and how
// long it is expected to take yet. It reports false for other runs.
func (m *Machine) heldFor(r *run, pool delayPool) (amount delay.Amount, left time.Duration, ok bool) {
	if r.bestEffort() != pool.bestEffort {
		return amount, 0, false
	}
	own := m.fleet.Queues[r.task.job().queue].Priority == pool.priority && !r.task.step.spec.Perpetual
	if !own && r.state != runStopping && !m.preemptable(r, pool.priority) {
		return amount, 0, false
	}
	amount = delay.Amount{Cores: r.use() / 1000, Memory: float64(r.need.Memory)}
	if own && r.state != runStopping {
		left = m.remaining(r)
	}
	return amount, left, true
}
