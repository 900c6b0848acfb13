package flow

import (
	"time"
)

// orderSlack covers the time that an order spends on its way.
const maxOrderDelay = 500 * time.Millisecond

// recovery is the part of a term in which an earlier leader's runs may be
// unknown.
type recovery struct {
	active bool
	// until is when the leases of an earlier leader have lapsed; zero until
	// half of the workers refuse its orders or are gone.
	until      time.Time
	total      int
	unanswered map[*worker]bool
}

// goneAfter is how long a worker has to be missing from the register until it
// counts as gone. The register is complete about two seconds after an outage of
// the store; the rest covers cuts between a worker and the store.
const unlistedGoneAfter = 10 * time.Second

// witnesses returns how many workers may still answer to an earlier leader.
func (m *Machine) mayAnswerEarlierLeader() int {
	n := 0
	for w := range m.recovery.unanswered {
		if w.listed || m.now.Sub(w.unlistedAt) < unlistedGoneAfter {
			n++
		}
	}
	return n
}

// surveyed notes that a worker has answered to this term.
func (r *recovery) answered(w *worker) { delete(r.unanswered, w) }

// waitsFor reports whether the worker has not answered yet.
func (r *recovery) waitsFor(w *worker) bool { return r.active && r.unanswered[w] }

// takeOver begins the survey of the roster.
func (m *Machine) takeOver(msg TakeoverMsg) {
	m.loaded, m.roster.version = true, msg.Version
	m.restoreEstimates(msg.Beliefs, msg.BeliefsVersion)
	m.recovery = recovery{active: true, unanswered: map[*worker]bool{}}
	for _, mb := range msg.Roster {
		if m.workers[mb.Worker] == nil {
			m.addWorker(mb).unlistedAt = m.now
		}
	}
	for _, w := range m.order {
		m.recovery.unanswered[w] = true
	}
	m.recovery.total = len(m.order)
	m.roster.dirty = true
	m.log("takeover", "term", m.term, "workers", len(m.order), "jobs", len(m.live))
	for _, w := range m.order {
		m.maintainWorker(w)
	}
}

// endRecovery ends the doubt about earlier runs when every worker has answered
// or the leases of those that did not have lapsed.
func (m *Machine) endRecovery() {
	r := &m.recovery
	if !r.active {
		return
	}
	if r.until.IsZero() && 2*m.mayAnswerEarlierLeader() <= r.total {
		// An earlier leader needs more than half of the workers and relies on
		// its evidence for confirmFor or witnessFor; it renews leases until
		// then.
		confirmation := max(confirmationValid, answerValid)
		r.until = m.now.Add(confirmation + time.Duration(float64(m.lease)*clockDrift) + maxOrderDelay)
	}
	if len(r.unanswered) > 0 && (r.until.IsZero() || m.now.Before(r.until)) {
		return
	}
	r.active = false
	m.log("takeover complete", "term", m.term, "silent", len(r.unanswered))
	for _, j := range m.live {
		j.inherited = false
		for _, t := range j.tasks() {
			t.mayBeRunning = false
		}
	}
	m.stale = true
}
