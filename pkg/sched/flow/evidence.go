package flow

import "time"

const (
	// confirmFor is how long a confirmation of the term by the store is relied
	// on, counted from when the store was asked.
	confirmationValid = 2 * time.Second
	// witnessFor is how long an answer of a worker counts as evidence, and
	// witnessEvery how often an idle worker is asked for it.
	answerValid    = 2 * time.Second
	answerInterval = time.Second
)

// ConfirmedMsg tells that the store showed this term to be the newest.
type ConfirmedMsg struct{ Asked time.Time }

// uncertain reports whether the store has not confirmed the term for a while.
func (m *Machine) unconfirmed() bool {
	return m.now.Sub(m.confirmedAt) > confirmationValid
}

// entitled reports whether the machine may start runs and renew leases. While
// the store cannot be asked, more than half of the workers have to answer to
// the term: a newer leader asks more than half before it starts what this one
// may have started, and from then on they refuse this term.
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
		if w.answered && !w.contactAt.IsZero() && m.now.Sub(w.contactAt) < answerValid {
			answered++
		}
	}
	return 2*answered > listed
}

// checkEvidence notes when the right to give orders is lost or regained.
func (m *Machine) updateMayIssueOrders() {
	if ok := m.allowedToIssueOrders(); ok != m.mayIssueOrders {
		m.mayIssueOrders = ok
		m.log("right to give orders changed", "term", m.term, "entitled", ok, "confirmed", m.now.Sub(m.confirmedAt))
		m.stale = true
	}
}
