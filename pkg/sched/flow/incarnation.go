package flow

// incarnationClaim is what is known about the incarnation of a worker. The register
// may show one that the worker has never had, since others can write there. Only the
// worker's own reports are certain.
type incarnationClaim struct {
	// reported means that the worker has reported the incarnation itself.
	reported bool
	// seq is the number of the last renewal that was sent before the register showed
	// the incarnation.
	seq uint64
	// refuted is the incarnation that the register showed and that a later report
	// contradicted, 0 if there is none.
	refuted int64
}

// claimed records that the incarnation is known from the register only.
func (w *worker) claimed() { w.claim.reported, w.claim.seq = false, w.renewal.seq }

// contradicts reports whether the incarnation that the register shows is certainly
// not the worker's present one.
func (w *worker) contradicts(born int64) bool {
	return born < w.member.Born && w.claim.reported || born > w.member.Born && born == w.claim.refuted
}

// confirmIncarnation compares the incarnation that a report names with the one that is
// known. It reports false if the report is a delayed one of an earlier incarnation. A
// report with an earlier incarnation that was asked for after the register showed the
// known one proves the register wrong: the known one would have ended the other before.
func (m *Machine) confirmIncarnation(w *worker, born int64) bool {
	switch {
	case born > w.member.Born:
		m.newIncarnation(w, born, "report")
	case born < w.member.Born && (w.claim.reported || w.renewal.seq <= w.claim.seq):
		return false
	case born < w.member.Born:
		m.log("register shows an incarnation that the worker does not have", "worker", w.name(), "born", born,
			"register", w.member.Born, "runs", len(w.runs))
		w.claim.refuted, w.member.Born = w.member.Born, born
	}
	w.claim.reported = true
	return true
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
	w.hasClock, w.clock, w.answered, w.accounted, w.replaced, w.slow = false, 0, false, false, false, false
	w.report = reportState{}
	w.renewal.continuous = false
	w.quarantine = quarantine{}
}
