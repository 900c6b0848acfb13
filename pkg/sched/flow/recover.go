package flow

import (
	"time"
)

// maxOrderDelay bounds how long an order is on its way.
const maxOrderDelay = 500 * time.Millisecond

// recovery is the first part of a term, in which runs of an earlier leader may
// still be unknown.
type recovery struct {
	active bool
	// until is when the leases of an earlier leader have expired. It is zero until
	// at least half of the workers reject that leader's orders or are gone.
	until time.Time
	// total counts the workers that were known at the start of the term. unanswered
	// holds those of them that have not answered in this term.
	total      int
	unanswered map[*worker]bool
	// holders holds the unanswered workers that may have runs of an earlier leader.
	holders map[*worker]bool
}

// unlistedGoneAfter is how long a worker has to be missing from the register
// before it counts as gone. The register is complete about two seconds after an
// outage of the store. The rest covers network partitions between a worker and
// the store.
const unlistedGoneAfter = 10 * time.Second

// workersOfEarlierLeader returns how many workers may still accept orders of an
// earlier leader.
func (m *Machine) workersOfEarlierLeader() int {
	n := 0
	for w := range m.recovery.unanswered {
		if w.listed || m.now.Sub(w.unlistedAt) < unlistedGoneAfter {
			n++
		}
	}
	return n
}

// answered records that a worker has answered in this term.
func (r *recovery) answered(w *worker) {
	delete(r.unanswered, w)
	delete(r.holders, w)
}

// waitsFor reports whether the recovery waits for an answer of the worker.
func (r *recovery) waitsFor(w *worker) bool { return r.active && r.unanswered[w] }

// takeOver begins to ask every worker for its runs. Only workers of the roster can
// have runs. Without a roster this is unknown, and all workers may have some.
func (m *Machine) takeOver(msg TakeoverMsg) {
	m.loaded, m.roster.version = true, msg.Version
	m.restoreEstimates(msg.Interference, msg.InterferenceVersion)
	m.recovery = recovery{active: true, unanswered: map[*worker]bool{}, holders: map[*worker]bool{}}
	for _, mb := range msg.Roster {
		if m.workers[mb.Worker] == nil {
			m.addWorker(mb).unlistedAt = m.now
		}
		m.recovery.holders[m.workers[mb.Worker]] = true
	}
	for _, w := range m.order {
		m.recovery.unanswered[w] = true
		if len(msg.Roster) == 0 {
			m.recovery.holders[w] = true
		}
	}
	m.recovery.total = len(m.order)
	m.recoveryLog = recoveryLog{beganAt: m.now, loggedAt: m.now}
	m.roster.dirty = true
	m.log("takeover started", "term", m.term, "workers", len(m.order),
		"holders", len(m.recovery.holders), "jobs", len(m.live))
	for _, w := range m.order {
		m.maintainWorker(w)
	}
}

// endRecovery ends the recovery once every worker that may have runs has answered,
// or once the leases of the others have expired.
func (m *Machine) endRecovery() {
	r := &m.recovery
	if !r.active {
		return
	}
	if r.until.IsZero() && 2*m.workersOfEarlierLeader() <= r.total {
		// An earlier leader needs a confirmation by the store or by more than half of
		// the workers, and can get neither any more. It may rely on its last
		// confirmation and renew leases until that expires.
		confirmation := max(confirmationValid, answerValid)
		r.until = m.now.Add(confirmation + time.Duration(float64(m.lease)*clockDrift) + maxOrderDelay)
	}
	if len(r.holders) > 0 && (r.until.IsZero() || m.now.Before(r.until)) {
		return
	}
	r.active = false
	m.log("takeover complete", append([]any{"term", m.term, "silent", len(r.holders)}, m.recoveryAttrs()...)...)
	for _, j := range m.live {
		j.inherited = false
		for _, t := range j.tasks() {
			t.mayBeRunning = false
		}
	}
	m.stale = true
}
