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
	// holders holds the unanswered workers that may have any of the unresolved tasks.
	// resolved means that there are none left.
	holders  map[*worker]bool
	resolved bool
	// handedOver means that no earlier leader issues orders any more: the last one
	// has handed over its runs.
	handedOver bool
	// named holds the tasks that may be running on an unanswered worker, as the
	// earlier leader handed them over, and expiry when the leases there have expired.
	named  map[*worker][]*task
	expiry map[*worker]time.Time
	// awaited holds the holders and the workers with named tasks, in a fixed order.
	// silent counts those that did not answer before their leases had expired.
	awaited []*worker
	silent  int
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

// answered records that a worker has answered in this term, so that it rejects the
// orders of earlier leaders.
func (r *recovery) answered(w *worker) { delete(r.unanswered, w) }

// resolve records that a worker has no runs of an earlier leader that are not known.
func (r *recovery) resolve(w *worker) {
	delete(r.holders, w)
	for _, t := range r.named[w] {
		t.mayRunOn--
	}
	delete(r.named, w)
}

// waitsFor reports whether the recovery waits for a report of the worker.
func (r *recovery) waitsFor(w *worker) bool {
	return r.active && (r.unanswered[w] || r.mayHaveRuns(w))
}

// takeOver begins to ask every worker for its runs. Only workers of the roster can
// have runs. Without a roster this is unknown, and all workers may have some.
func (m *Machine) takeOver(msg TakeoverMsg) {
	m.loaded, m.roster.version = true, msg.Version
	m.restoreEstimates(msg.Interference, msg.InterferenceVersion)
	m.recovery = recovery{
		active: true, unanswered: map[*worker]bool{}, holders: map[*worker]bool{},
		named: map[*worker][]*task{}, expiry: map[*worker]time.Time{},
	}
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
	m.restoreHandover(msg)
	m.recovery.awaitAll(m.order)
	m.roster.dirty = true
	m.log("takeover started", "term", m.term, "workers", len(m.order), "handedOver", m.recovery.handedOver,
		"awaited", len(m.recovery.awaited), "named", len(m.recovery.named), "jobs", len(m.live))
	for _, w := range m.order {
		m.maintainWorker(w)
	}
	m.endRecovery()
}

// awaitAll lists the workers that may have runs of an earlier leader.
func (r *recovery) awaitAll(order []*worker) {
	for _, w := range order {
		if r.mayHaveRuns(w) {
			r.awaited = append(r.awaited, w)
		}
	}
}

// mayHaveRuns reports whether a worker may have runs of an earlier leader that are not
// known.
func (r *recovery) mayHaveRuns(w *worker) bool { return r.holders[w] || len(r.named[w]) > 0 }

// endRecovery ends the recovery once every worker that may have runs has answered,
// or once the leases of the others have expired.
func (m *Machine) endRecovery() {
	r := &m.recovery
	if !r.active {
		return
	}
	if r.until.IsZero() && !r.handedOver && 2*m.workersOfEarlierLeader() <= r.total {
		r.until = m.now.Add(m.orderLifetime())
	}
	m.resolveExpired()
	if len(r.holders) > 0 {
		return
	}
	if !r.resolved {
		r.resolved, m.stale = true, true
		for _, j := range m.live {
			j.setUnresolved(false)
		}
	}
	if len(r.awaited) > 0 {
		return
	}
	r.active = false
	m.log("takeover complete", append([]any{"term", m.term, "silent", r.silent}, m.recoveryAttrs()...)...)
}

// resolveTask records that a run of a perpetual task was in progress in this term, whose
// end its worker lists. No earlier leader can have taken it for ended and started another
// one. An earlier leader can have learned of any other end first: a restarted worker has
// forgotten the fencing token. A silent worker may still list failures of a task that is
// not perpetual, and these count.
func (m *Machine) resolveTask(r *run) {
	if r.task.step.spec.Perpetual && !r.task.step.spec.Speculative && m.hiddenFromEarlierLeaders(r) {
		r.task.unresolved = false
	}
}

// resolveExpired resolves the workers whose leases have expired.
func (m *Machine) resolveExpired() {
	r := &m.recovery
	keep := r.awaited[:0]
	for _, w := range r.awaited {
		if !r.mayHaveRuns(w) {
			continue
		}
		if until := r.expiresAt(w); !until.IsZero() && !m.now.Before(until) {
			r.silent++
			r.resolve(w)
			m.stale = true
			continue
		}
		keep = append(keep, w)
	}
	clear(r.awaited[len(keep):])
	r.awaited = keep
}

// expiresAt returns when the leases on a worker have expired that an earlier leader
// granted, or the zero time while that is not known. This leader may have extended them
// if the worker has answered, but has more ends than it could list so far.
func (r *recovery) expiresAt(w *worker) time.Time {
	at, ok := r.expiry[w]
	if !ok {
		at = r.until
	}
	if !at.IsZero() && w.leasesExpireAt.After(at) {
		return w.leasesExpireAt
	}
	return at
}

// orderLifetime returns how long the orders of an earlier leader may have an effect
// after at least half of the workers reject them. That leader needs a confirmation by
// the store or by more than half of the workers, and can get neither any more. It may
// rely on its last confirmation and renew leases until that expires. Its last orders may
// have reached a worker that restarted under its name, which then grants the longest lease.
func (m *Machine) orderLifetime() time.Duration {
	confirmation := max(confirmationValid, answerValid)
	return confirmation + time.Duration(float64(m.maxLease)*clockDrift) + maxOrderDelay
}
