package flow

import "time"

// WorkReadMsg reports that all jobs and cancellations that were recorded before
// Asked have been delivered. Asked is when the store was asked.
type WorkReadMsg struct{ Asked time.Time }

// StoreAnsweredMsg reports that the store answered another entry at At.
type StoreAnsweredMsg struct{ At time.Time }

// noteStoreAnswered records that the store answered an entry.
func (m *Machine) noteStoreAnswered(at time.Time) {
	if at.After(m.storeAnsweredAt) {
		m.storeAnsweredAt = at
	}
	m.updateWorkIsCurrent()
}

// readWork records how far the jobs and cancellations are known.
func (m *Machine) readWork(msg WorkReadMsg) {
	if msg.Asked.After(m.workReadAt) {
		m.workReadAt = msg.Asked
	}
	m.updateWorkIsCurrent()
}

// updateWorkIsCurrent updates workIsCurrent and logs when it changes.
//
// While the store answers any entry, a cancellation can be recorded there. Tasks
// are therefore started only if the last complete read of the work is not much
// older than the store's last answer. Half of the time within which a cancellation
// takes effect is left for learning of that answer and for the order. During an
// outage of the store both are equally old, and tasks are still started.
func (m *Machine) updateWorkIsCurrent() {
	unread := m.storeAnsweredAt.Sub(m.workReadAt)
	current := m.workReadAt.IsZero() || unread <= m.cancelTime/2
	if current == m.workIsCurrent {
		return
	}
	m.workIsCurrent = current
	m.log("knowledge of jobs and cancellations changed", "term", m.term, "current", current, "unread", unread)
	m.stale = true
}

// sinceWorkRead returns the age of the last complete read of the work, for logs.
func (m *Machine) sinceWorkRead() time.Duration { return m.now.Sub(m.workReadAt) }

// mayStart reports whether tasks may be started.
func (m *Machine) mayStart() bool { return m.mayIssueOrders && m.workIsCurrent }
