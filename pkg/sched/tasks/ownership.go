package tasks

import "github.com/mangoslip/mangoslip/pkg/sched"

// onAcquired starts the recovery. The machine requests the inventories of all
// workers before it starts tasks that the previous owner may have started.
func (m *Machine) onAcquired(msg AcquiredMsg) {
	m.owner, m.suspended, m.epoch = true, false, msg.Epoch
	m.recovering = true
	m.recoveryDeadline = m.leaseExpiry()
	for i := range msg.Workers {
		m.addWorker(&msg.Workers[i])
	}
	for _, w := range m.sortedWorkers {
		m.awaitingInventory[w.name] = true
		m.pollWorker(w)
	}
	if !msg.HistoryLongEnough {
		// Workers that this entry has never seen may run tasks. No inventory can
		// rule that out, so the recovery lasts until all leases have expired.
		m.awaitingInventory[""] = true
	}
	m.applyConfig()
	for _, id := range sortedJobs(m.jobs) {
		m.onJobDurable(m.jobs[id])
	}
	m.sortFinishedJobs()
	for _, t := range m.sortedTasks() {
		if t.state == stEnded {
			m.sendUntilAcked(t.home, t.end.event())
		}
	}
	m.checkRecovered()
}

// checkRecovered ends the recovery when no task that the previous owner started
// can still run without being known to this owner.
func (m *Machine) checkRecovered() {
	if !m.recovering || (len(m.awaitingInventory) > 0 && m.now.Before(m.recoveryDeadline)) {
		return
	}
	m.recovering = false
	clear(m.awaitingInventory)
	for _, t := range m.sortedTasks() {
		if t.state == stRecovering {
			m.enqueue(t)
		}
	}
}

// onResume ends a suspension. The next tick renews all leases.
func (m *Machine) onResume() {
	m.suspended = false
	for _, w := range m.sortedWorkers {
		w.nextRenewal = m.now
	}
	m.passNeeded = true
}

// onLost drops all state and releases the reservations. Submitters that wait for
// the append of their job get the outcome Unknown.
func (m *Machine) onLost() {
	for _, id := range sortedJobs(m.jobs) {
		for _, w := range m.jobs[id].waiters {
			m.emit(ReplyCmd{
				Waiter: w, Known: true, Reason: sched.ReasonNotOwner, Outcome: sched.Unknown,
			})
		}
	}
	for _, w := range m.sortedWorkers {
		for _, t := range w.tasks {
			m.ledger.Release(w.name, t.spec.Resources)
		}
		for _, r := range w.orphans {
			m.ledger.Release(w.name, r)
		}
	}
	m.reset()
}
