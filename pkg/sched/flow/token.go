package flow

import "github.com/mangoslip/mangoslip/pkg/sched"

// raiseBits is the number of bits of a fencing token below the term. Tokens are numbers
// in JSON, which keeps 53 bits.
const raiseBits = 24

// token returns the fencing token of orders to a worker: the term, and below it a number
// that rises whenever the worker may have restarted. A restarted worker has forgotten the
// tokens that it has seen, so the first order with the raised token makes it reject
// those of the same term that were sent before and are still on their way.
func (m *Machine) token(w *worker) uint64 { return m.term<<raiseBits | w.raises }

// raiseToken raises the fencing token of a worker. The number is common to all workers,
// so that one that leaves and joins again has a higher one.
func (m *Machine) raiseToken(w *worker) {
	m.raises = min(m.raises+1, 1<<raiseBits-1)
	w.raises = m.raises
}

// isOutdated reports whether an order was sent before the worker's token was raised.
func (m *Machine) isOutdated(w *worker, res Result) bool {
	return res.Fence != 0 && res.Fence < m.token(w)
}

// endsTerm reports whether a refusal shows that the worker has seen a newer term, and
// ends the term in that case. An outdated order is refused within the term.
func (m *Machine) endsTerm(w *worker, res Result, refusal sched.OrderRefusal) bool {
	if res.Err != nil || refusal != sched.OrderFenced || m.isOutdated(w, res) {
		return false
	}
	m.endTerm("worker " + string(w.name()) + " has seen a newer term")
	return true
}

// noteReplaced notes that another incarnation answers at the worker's address. An
// outdated order may have been sent to a former address.
func (m *Machine) noteReplaced(w *worker, res Result, refusal sched.OrderRefusal) {
	if refusal == sched.OrderOtherIncarnation && !m.isOutdated(w, res) {
		w.replaced = true
	}
}

// suspect records an unanswered call. The worker may have restarted, so the next call has
// a higher token.
func (m *Machine) suspect(w *worker) {
	if w.unansweredSince.IsZero() {
		w.unansweredSince = m.now
		m.raiseToken(w)
	}
	w.suspected, w.renewal.continuous = true, false
}
