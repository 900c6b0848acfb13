package flow

import "time"

// WorkReadMsg reports that all jobs and cancellations that were recorded before
// Asked have been delivered. Asked is when the store was asked.
type WorkReadMsg struct{ Asked time.Time }

// readWork records how far the jobs and cancellations are known.
func (m *Machine) readWork(msg WorkReadMsg) {
	if msg.Asked.After(m.workReadAt) {
		m.workReadAt = msg.Asked
	}
	m.updateWorkIsCurrent()
}

// updateWorkIsCurrent updates workIsCurrent and logs when it changes.
//
// While the store answers, any entry can record a cancellation there. Tasks are
// therefore started only if the last complete read of the work is not much older
// than the last confirmation of the term. Half of the time within which a
// cancellation takes effect is left for the confirmation and the order. During an
// outage of the store both are equally old, and tasks are still started.
func (m *Machine) updateWorkIsCurrent() {
	unread := m.confirmedAt.Sub(m.workReadAt)
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
