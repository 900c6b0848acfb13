package flow

import "time"

// peersAnswerValid is how long the answers of other entries about the store are
// valid, counted from when they were asked. It covers two rounds of questions in
// which one entry does not answer.
const peersAnswerValid = 1500 * time.Millisecond

// WorkReadMsg reports that all jobs and cancellations that were recorded before
// Asked have been delivered. Asked is when the store was asked.
type WorkReadMsg struct{ Asked time.Time }

// StoreAnsweredMsg reports that the store answered another entry at At.
type StoreAnsweredMsg struct{ At time.Time }

// PeersAskedMsg reports that other entries were asked at Asked when the store last
// answered them, and that their answers have been delivered.
type PeersAskedMsg struct{ Asked time.Time }

// noteLatest records a time that knowledge depends on, unless a later one is known.
func (m *Machine) noteLatest(latest *time.Time, at time.Time) {
	if at.After(*latest) {
		*latest = at
	}
	m.updateKnowledge()
}

// knowsEnough reports whether the machine knows the jobs, the cancellations and the
// register of workers well enough to start tasks. The rest of the time within which a
// cancellation, or the draining of a worker, takes effect is left for the order. It is
// a smaller part for the register, which is read less often.
func (m *Machine) knowsEnough() bool {
	return m.isCurrent(m.workReadAt, m.cancelTime/2) && m.isCurrent(m.registerReadAt, m.drainTime*3/4) && m.knowsEvacuations()
}

// isCurrent reports whether something that was read completely at the given time is
// known well enough: that is at most maxAge ago, or the store has been down since. It
// counts as down if, as far as other entries said within peersAnswerValid, it has
// answered nobody later than maxAge after the read. A zero time means that reads are
// not reported.
func (m *Machine) isCurrent(readAt time.Time, maxAge time.Duration) bool {
	if readAt.IsZero() || m.now.Sub(readAt) <= maxAge {
		return true
	}
	outage := m.storeAnsweredAt.Sub(readAt) <= maxAge
	return outage && m.now.Sub(m.peersAskedAt) <= peersAnswerValid
}

// updateKnowledge updates knowledgeIsCurrent and logs when it changes.
func (m *Machine) updateKnowledge() {
	current := m.knowsEnough()
	if current == m.knowledgeIsCurrent {
		return
	}
	m.knowledgeIsCurrent = current
	m.log("knowledge of work and workers changed", "term", m.term, "current", current, "workRead", m.sinceWorkRead(),
		"registerRead", m.now.Sub(m.registerReadAt), "storeAnswered", m.now.Sub(m.storeAnsweredAt), "peersAsked", m.now.Sub(m.peersAskedAt),
		"evacuationsRead", m.now.Sub(m.evacuations.readAt))
	m.stale = true
}

// sinceWorkRead returns the age of the last complete read of the work, for logs.
func (m *Machine) sinceWorkRead() time.Duration { return m.now.Sub(m.workReadAt) }

// mayStart reports whether tasks may be started. Stops and lease renewals do not
// depend on it.
func (m *Machine) mayStart() bool { return m.mayIssueOrders && m.knowledgeIsCurrent }
