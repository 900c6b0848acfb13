package flow

// incarnationClaim is what is known about the incarnation of a worker. The register
// may show one that the worker has never had, since others can write there. Only the
// worker's own reports are certain.
type incarnationClaim struct {
	// reported means that the worker has reported the incarnation itself, and last is
	// the one that it reported last.
	reported bool
	last     int64
	// seq is the number of the last renewal that was sent before the register showed
	// the incarnation.
	seq uint64
	// refuted is an incarnation that the register showed, or may still show, and that a
	// later report contradicted, 0 if there is none.
	refuted int64
}

// claimed records that the incarnation is known from the register only.
func (w *worker) claimed() { w.claim.reported, w.claim.seq = false, w.renewal.seq }

// contradicts reports whether the incarnation that the register shows is certainly
// not the worker's present one. A lower one may be: it is the time of day of the start,
// which may have been set back.
func (w *worker) contradicts(born int64) bool {
	return born != w.member.Born && (born == w.claim.refuted || born == 0 && w.claim.reported)
}

// confirmIncarnation compares the incarnation that a report names with the one that is
// known. It reports false if the report may be of an earlier incarnation. Only the answer to
// the last renewal is used, so a report that was asked for after the known incarnation
// was reported is of that one or of a later one, whatever the time of its start.
func (m *Machine) confirmIncarnation(w *worker, born int64) bool {
	switch {
	case born == w.member.Born:
	case w.claim.contradictedBy(w, born):
		return false
	case !w.claim.reported && (born == w.claim.last || w.claim.last == 0 && born < w.member.Born):
		m.log("register shows an incarnation that the worker does not have", "worker", w.name(), "born", born,
			"register", w.member.Born, "runs", len(w.runs))
		w.claim.refuted, w.member.Born = w.member.Born, born
	default:
		before := w.member.Born
		m.newIncarnation(w, born, "report")
		w.claim.refuted = before
	}
	w.claim.reported, w.claim.last = true, born
	return true
}

// contradictedBy reports whether a report with an unexpected incarnation proves nothing:
// it was asked for before the register showed the known one, it names none, or it names
// one that the worker has left.
func (c *incarnationClaim) contradictedBy(w *worker, born int64) bool {
	askedBefore := !c.reported && w.renewal.seq <= c.seq
	return askedBefore || born == 0 || born == c.refuted
}

// newIncarnation handles a worker that restarted under its name, which resets
// its sequence numbers. The runs of the previous incarnation have ended. Runs
// of the new one may have been started before the restart was noticed, so the
// next report decides which runs remain.
func (m *Machine) newIncarnation(w *worker, incarnation int64, source string) {
	m.log("worker has a new incarnation", "worker", w.name(), "born", incarnation, "before", w.member.Born, "source", source,
		"runs", len(w.runs))
	w.member.Born = incarnation
	w.processed, w.durable, w.acknowledged, w.pending = 0, 0, 0, nil
	w.renewal.seen = 0
	w.replaced, w.slow = false, false
	w.report = reportState{}
	w.quarantine = quarantine{}
	m.expectRestart(w)
}

// expectRestart handles a worker that may have restarted. It gets no starts until it
// has reported its runs to a renewal with a higher token. That renewal does not wait for
// the one in progress, which the earlier incarnation may have received.
func (m *Machine) expectRestart(w *worker) {
	w.hasClock, w.clock, w.answered, w.accounted = false, 0, false, false
	w.renewal.continuous, w.renewal.inCall = false, false
	m.raiseToken(w)
	m.stale = true
}
