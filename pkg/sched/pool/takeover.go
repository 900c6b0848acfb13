package pool

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// inventoryInterval is the time between two inventories of a worker whose load
// is unknown or that has untracked slots.
const inventoryInterval = 500 * time.Millisecond

// acquired starts serving a new epoch. The load of all workers is unknown at
// first.
func (m *Machine) acquired(now time.Time, msg AcquiredMsg) {
	m.epoch = msg.Epoch
	m.acquiredAt = now
	m.serving = true
	for _, w := range m.sortedWorkers {
		w.loadKnown = false
		w.nextInventory = time.Time{}
		m.refresh(w)
	}
	m.requestInventories(now)
}

// stopServing refuses all waiting and new requests. Granted requests finish.
func (m *Machine) stopServing(now time.Time) {
	m.serving = false
	for _, s := range m.services {
		s.queue.Clear(sched.ReasonNotOwner)
		m.dispatch(now, s)
	}
}

// resume serves again after a suspension without a takeover. No other entry has
// granted slots in the meantime, so the counts are still correct.
func (m *Machine) resume(now time.Time) {
	if m.epoch == 0 {
		return
	}
	m.serving = true
	m.tick(now)
}

// earlierRequestsEnd returns the time from which on no request of an earlier
// epoch can run.
func (m *Machine) earlierRequestsEnd() time.Time {
	return m.acquiredAt.Add(m.longestTimeout + transitMargin)
}

// earlierLoadEnd returns the time from which on neither requests nor unreported
// tasks of an earlier epoch can run.
func (m *Machine) earlierLoadEnd() time.Time {
	return m.acquiredAt.Add(max(m.longestTimeout+transitMargin, m.taskExpiry))
}

// expireUntracked stops counting requests that the machine does not track once
// they cannot run any more. The load of a worker that has sent no inventory
// counts as known once no load of an earlier epoch can run there.
func (m *Machine) expireUntracked(now time.Time) {
	if m.epoch == 0 || m.cfg == nil {
		return
	}
	var unlisted []*worker
	for _, w := range m.sortedWorkers {
		changed := false
		if !w.loadKnown && !now.Before(m.earlierLoadEnd()) {
			w.loadKnown = true
			changed = true
		}
		for _, t := range w.targets {
			if t.inherited > 0 && !now.Before(m.earlierRequestsEnd()) {
				t.inherited = 0
				changed = true
			}
			if t.endHolds(now) {
				changed = true
			}
		}
		if changed {
			m.refresh(w)
		}
		if changed && !w.listed {
			unlisted = append(unlisted, w)
		}
	}
	for _, w := range unlisted {
		m.removeIfUnused(w)
	}
}

// requestInventories emits the commands for the inventories that are due.
func (m *Machine) requestInventories(now time.Time) {
	if !m.serving {
		return
	}
	for _, w := range m.sortedWorkers {
		if !w.listed || w.loadKnown && !w.hasUntracked() || now.Before(w.nextInventory) {
			continue
		}
		w.nextInventory = now.Add(inventoryInterval)
		m.cmds = append(m.cmds, InventoryCmd{Worker: w.name, Addr: w.Control, Epoch: m.epoch})
	}
}

// hasUntracked reports whether slots of the worker may be busy with requests
// that the machine does not track.
func (w *worker) hasUntracked() bool {
	for _, t := range w.targets {
		if t.untracked() > 0 {
			return true
		}
	}
	return false
}

// inventory counts the busy slots of a worker as load of earlier epochs. A
// later inventory of the same epoch can only lower the count: it also shows
// grants of this machine, and does not tell them apart.
func (m *Machine) inventory(now time.Time, msg InventoryMsg) {
	w := m.workers[msg.Worker]
	if w == nil || msg.Epoch != m.epoch || m.epoch == 0 {
		return
	}
	for _, s := range m.services {
		if m.busy(msg.Inventory, s) > 0 {
			m.ensureTarget(now, w, s)
		}
	}
	for _, t := range w.targets {
		n := m.busy(msg.Inventory, t.service)
		if !w.loadKnown || n < t.inherited {
			t.inherited = n
		}
		t.applyInventory(now, msg.AskedAt, n)
	}
	w.loadKnown = true
	m.refresh(w)
	for _, t := range w.targets {
		m.dispatch(now, t.service)
	}
}

// busy returns the number of slots that an inventory shows as busy for a
// service, under its current and former names.
func (m *Machine) busy(inv sched.Inventory, s *service) int {
	n := 0
	for name, busy := range inv.BusySlots {
		if m.servicesByName[name] == s {
			n += busy
		}
	}
	return n
}
