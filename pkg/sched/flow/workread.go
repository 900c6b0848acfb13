package flow

import "time"

// peersAnswerValid is how long the answers of other entries about the store are
// valid, counted from when they were asked.
const peersAnswerValid = time.Second

// WorkReadMsg reports that all jobs and cancellations that were recorded before
// Asked have been delivered. Asked is when the store was asked.
type WorkReadMsg struct{ Asked time.Time }

// StoreAnsweredMsg reports that the store answered another entry at At.
type StoreAnsweredMsg struct{ At time.Time }

// PeersAskedMsg reports that other entries were asked at Asked when the store last
// answered them, and that their answers have been delivered.
type PeersAskedMsg struct{ Asked time.Time }

// noteStoreAnswered records that the store answered an entry.
func (m *Machine) noteStoreAnswered(at time.Time) {
	if at.After(m.storeAnsweredAt) {
		m.storeAnsweredAt = at
	}
	m.updateWorkIsCurrent()
}

// notePeersAsked records when other entries were asked about the store.
func (m *Machine) notePeersAsked(at time.Time) {
	if at.After(m.peersAskedAt) {
		m.peersAskedAt = at
	}
	m.updateWorkIsCurrent()
}

// noteWorkRead records how far the jobs and cancellations are known.
func (m *Machine) noteWorkRead(at time.Time) {
	if at.After(m.workReadAt) {
		m.workReadAt = at
	}
	m.updateWorkIsCurrent()
}

// knowsRecentWork reports whether the machine knows the jobs and cancellations well
// enough to start tasks: the last complete read of them is not old, or the store has
// answered no entry since, so that no cancellation was recorded. Half of the time
// within which a cancellation takes effect is left for the order.
func (m *Machine) knowsRecentWork() bool {
	maxAge := m.cancelTime / 2
	if m.workReadAt.IsZero() || m.now.Sub(m.workReadAt) <= maxAge {
		return true
	}
	outage := m.storeAnsweredAt.Sub(m.workReadAt) <= maxAge
	return outage && m.now.Sub(m.peersAskedAt) <= peersAnswerValid
}

// updateWorkIsCurrent updates workIsCurrent and logs when it changes.
func (m *Machine) updateWorkIsCurrent() {
	current := m.knowsRecentWork()
	if current == m.workIsCurrent {
		return
	}
	m.workIsCurrent = current
	m.log("knowledge of jobs and cancellations changed", "term", m.term, "current", current, "workRead", m.sinceWorkRead(),
		"storeAnswered", m.now.Sub(m.storeAnsweredAt), "peersAsked", m.now.Sub(m.peersAskedAt))
	m.stale = true
}

// sinceWorkRead returns the age of the last complete read of the work, for logs.
func (m *Machine) sinceWorkRead() time.Duration { return m.now.Sub(m.workReadAt) }

// mayStart reports whether tasks may be started. Stops and lease renewals do not
// depend on it.
func (m *Machine) mayStart() bool { return m.mayIssueOrders && m.workIsCurrent }
