package flow

import "time"

const (
	// confirmationValid is how long a confirmation of the term by the store is
	// valid, counted from when the store was asked.
	confirmationValid = 2 * time.Second
	// answerValid is how long an answer of a worker counts as a confirmation of
	// the term. answerInterval is how often an idle worker is asked for one while
	// the store does not confirm the term.
	answerValid    = 2 * time.Second
	answerInterval = time.Second
	// permissionInterval is the shortest time between two counts of the workers
	// that answered.
	permissionInterval = 10 * time.Millisecond
)

// ConfirmedMsg reports that the store showed this term as the newest one. Asked
// is when the store was asked.
type ConfirmedMsg struct{ Asked time.Time }

// unconfirmed reports whether the last confirmation of the term by the store
// has expired.
func (m *Machine) unconfirmed() bool {
	return m.now.Sub(m.confirmedAt) > confirmationValid
}

// allowedToIssueOrders reports whether the machine may start runs and renew
// leases. While the store cannot confirm the term, more than half of the listed
// workers must have answered this leader recently. A newer leader waits until at
// least half of the workers have answered it or are gone before it starts tasks
// that this leader may have started. Workers that have answered the newer leader
// reject this term. The newer leader may not know a worker that the roster leaves
// out, so the answers of such workers do not count.
func (m *Machine) allowedToIssueOrders() bool {
	if !m.unconfirmed() {
		return true
	}
	answered, listed := 0, 0
	for _, w := range m.order {
		if !w.listed {
			continue
		}
		listed++
		if w.answered && !w.leftOut && !w.contactAt.IsZero() && m.now.Sub(w.contactAt) < answerValid {
			answered++
		}
	}
	return 2*answered > listed
}

// updateMayIssueOrders updates mayIssueOrders and logs when the permission is
// lost or regained.
func (m *Machine) updateMayIssueOrders() {
	if m.unconfirmed() && m.now.Sub(m.permissionAt) < permissionInterval {
		return
	}
	m.permissionAt = m.now
	if ok := m.allowedToIssueOrders(); ok != m.mayIssueOrders {
		m.mayIssueOrders = ok
		m.log("permission to issue orders changed", "term", m.term, "entitled", ok, "confirmed", m.now.Sub(m.confirmedAt))
		m.stale = true
	}
}

// ledAt reports whether no newer leader had begun at the given time: the store has
// shown this term, or the work and with it the term, as it was later. During an outage
// of the store, it is enough that the store has answered nobody for longer than an
// answer of a worker is valid, while most workers answer this leader. A newer leader
// would have asked them meanwhile.
func (m *Machine) ledAt(at time.Time) bool {
	if !m.confirmedAt.Before(at) || !m.workReadAt.Before(at) {
		return true
	}
	return m.unconfirmed() && m.mayStart() && m.now.Sub(m.storeAnsweredAt) > answerValid
}
