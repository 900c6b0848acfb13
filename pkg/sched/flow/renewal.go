package flow

import (
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// renewWait is how long a worker may delay its answer to a lease renewal until
	// a run ends.
	renewWait = 1500 * time.Millisecond
	// renewWaitAtRisk applies where latency-critical tasks share a worker with
	// best-effort tasks that may interfere. It is as long as the time that the
	// reported latencies cover, so each report brings new ones.
	renewWaitAtRisk = 500 * time.Millisecond
	// renewWaitCompatible applies where all best-effort tasks are known to be
	// compatible with the latency-critical ones.
	renewWaitCompatible = time.Second
	// renewRetry is the pause after a renewal that failed or was refused.
	renewRetry = 250 * time.Millisecond
	// maxCommitWait is how long after an answer the next renewal is put off until an
	// end is recorded. After it the leases are renewed without acknowledging the end.
	// The worker answers such a renewal at once, because it has that end to report.
	maxCommitWait = 300 * time.Millisecond
	// partialRenewPause is the pause after a partial report that tells nothing new. The
	// worker would give the same report again at once.
	partialRenewPause = 400 * time.Millisecond
	// answerTimeout is how long an answer to a renewal may take, without its wait.
	// slowAnswerTimeout applies to a worker that did not answer in that time. Its
	// leases are renewed only if its answers arrive, so a worker that is slow to
	// report would otherwise lose its runs.
	answerTimeout     = 400 * time.Millisecond
	slowAnswerTimeout = 1200 * time.Millisecond
	// slowRenewPause is the pause between renewals of a worker that answers slowly.
	slowRenewPause = 400 * time.Millisecond
)

// renewalState is the state of a worker's lease renewals. At most one renewal
// is in progress.
type renewalState struct {
	seq    uint64
	inCall bool
	sent   time.Time
	// doneAt is when the last renewal was answered or failed.
	doneAt    time.Time
	notBefore time.Time
	// seen is the last run end that the renewal in progress acknowledges.
	seen uint64
	// wait is how long the worker may delay its answer to the renewal in progress.
	wait time.Duration
	// token is the fencing token of the renewal in progress.
	token uint64
	// lastGrant is the number of the last renewal that extended the leases.
	lastGrant uint64
	// continuous means that the last renewal was answered. Only then are ends
	// acknowledged. After a failed call another incarnation may answer, and an
	// acknowledgement meant for the previous one would drop ends of the new one.
	continuous bool
}

// maintainWorker renews a worker's leases if that is due. It also repeats stops
// and ends the runs of a worker whose leases have expired.
func (m *Machine) maintainWorker(w *worker) {
	if !m.loaded || m.resignation.began {
		return
	}
	m.repeatStops(w)
	if len(w.runs) > 0 && w.leasesExpired(m.now) {
		m.endExpiredRuns(w)
	}
	if w.renewal.inCall || m.now.Before(w.renewal.notBefore) || w.replaced {
		return
	}
	switch {
	case !w.answered:
		m.sendRenewal(w, 0)
	case w.processed > w.durable:
		// The ends are being recorded. Until they are acknowledged, the worker
		// answers every renewal at once.
		if m.now.Sub(w.renewal.doneAt) > maxCommitWait {
			m.sendRenewal(w, 0)
		}
	case w.report.partial || !w.accounted:
		m.sendRenewal(w, 0)
	case (w.suspected || w.slow) && (len(w.runs) > 0 || w.listed):
		m.sendRenewal(w, 0)
	case len(w.runs) > 0, w.unknownRuns > 0:
		m.sendRenewal(w, m.waitForLate(w, m.renewWaitFor(w)))
	case w.acknowledged < w.durable, w.needsReading(m.now):
		m.sendRenewal(w, 0)
	case m.unconfirmed() && w.listed && w.sinceContact(m.now) > answerInterval:
		m.sendRenewal(w, 0)
	}
}

// renewWaitFor returns how long the worker may delay its answer to a renewal.
func (m *Machine) renewWaitFor(w *worker) time.Duration {
	if w.unknownRuns > 0 {
		return m.stopTime + m.callTime // The next report shows whether the stops had an effect.
	}
	if len(w.criticalRuns) == 0 || len(w.bestEffortRuns) == 0 {
		return renewWait
	}
	if w.throttleFactor < 1 {
		return renewWaitAtRisk
	}
	for _, r := range w.bestEffortRuns {
		if m.risk(w, r.task.step.spec.Image) >= compatibleBelow {
			return renewWaitAtRisk
		}
	}
	return renewWaitCompatible
}

func (m *Machine) sendRenewal(w *worker, wait time.Duration) {
	w.renewal.seq++
	w.renewal.inCall, w.renewal.sent, w.renewal.seen, w.renewal.wait = true, m.now, w.durable, wait
	if !w.renewal.continuous {
		w.renewal.seen = 0
	}
	w.renewal.token = m.token(w)
	o := sched.RenewOrder{Fence: w.renewal.token, Seen: w.renewal.seen, Wait: wait}
	if m.mayRenewLeases(w) {
		o.HasDeadline, o.Deadline = true, m.extendDeadline(w)
		w.renewal.lastGrant = w.renewal.seq
	}
	timeout := answerTimeout
	if (w.suspected || w.slow) && !m.mostAreSlow {
		timeout = slowAnswerTimeout
	}
	m.emit(RenewCmd{Member: w.member, Order: o, Seq: w.renewal.seq, Timeout: timeout})
}

// mayRenewLeases reports whether a renewal extends the worker's leases. Those of an
// unresponsive worker, and of one whose ends stay unreadable, are left to expire, so that
// its tasks can start elsewhere. Those of a worker that only has runs of unknown tasks
// are not renewed either.
func (m *Machine) mayRenewLeases(w *worker) bool {
	return w.hasClock && (len(w.runs) > 0 || w.unknownRuns == 0) && w.answered && !w.unresponsive(m.now) &&
		!w.report.endsLost(m.now) && m.mayIssueOrders
}

// noteAnswerTime records whether a worker answers slowly. Only an answer to a
// renewal without a wait tells.
func (m *Machine) noteAnswerTime(w *worker, took time.Duration) {
	if w.renewal.wait > 0 {
		return
	}
	slow := took > answerTimeout && (w.slow || w.suspected) && !m.mostAreSlow
	if slow != w.slow {
		m.log("worker answers slowly", "worker", w.name(), "slow", slow, "took", took, "runs", len(w.runs))
		m.stale = true
	}
	w.slow = slow
	if slow {
		w.renewal.notBefore = m.now.Add(slowRenewPause)
	}
}

// updateMostAreSlow records whether most workers answer late or not at all. Then
// the leader or its network is the cause: the runner adapts the timeouts, and no
// worker is treated as slow.
func (m *Machine) updateMostAreSlow() {
	late, listed := 0, 0
	for _, w := range m.order {
		if w.listed {
			listed++
		}
		if w.listed && (w.suspected || w.slow) {
			late++
		}
	}
	m.mostAreSlow = 2*late > listed
	if !m.mostAreSlow {
		return
	}
	for _, w := range m.order {
		w.slow = false
	}
}

// repeatStops sends a stop again if it was not answered or if its run still
// exists.
func (m *Machine) repeatStops(w *worker) {
	for _, r := range w.list {
		if r.state != runStopping || r.stopInCall || w.replaced {
			continue
		}
		if m.now.Sub(r.stopSent) > m.stopTime+m.callTime {
			m.sendStop(r)
		}
	}
}

// endExpiredRuns ends the runs of a worker whose latest deadline has certainly
// passed before a newer leader could extend it.
func (m *Machine) endExpiredRuns(w *worker) {
	logged := false
	for _, r := range w.snapshot() {
		at := r.expiresAt()
		if !m.now.After(at) || !m.ledAt(at) {
			continue
		}
		if !logged {
			m.log("leases expired", "worker", w.name(), "runs", len(w.runs), "contact", w.sinceContact(m.now),
				"born", w.member.Born, "reported", w.claim.reported, "since", m.now.Sub(at), "attributed", r.attributed())
			logged = true
		}
		m.close(r, sched.EndLeaseExpired, "")
	}
}

// lostContact handles an unanswered call.
func (m *Machine) lostContact(w *worker, err error) {
	if !w.suspected {
		m.log("worker suspected", "worker", w.name(), "contact", w.sinceContact(m.now), "runs", len(w.runs), "error", err)
	}
	m.suspect(w)
	m.stale = true
}

// handleRenewResult handles the answer to a lease renewal.
func (m *Machine) handleRenewResult(msg RenewResultMsg) {
	w := m.workers[msg.Worker]
	if w == nil {
		return
	}
	if msg.Seq <= w.renewal.lastGrant {
		m.noteOnWay(w)
	}
	if msg.Seq != w.renewal.seq {
		return
	}
	w.renewal.inCall, w.renewal.doneAt = false, m.now
	if msg.Err != nil {
		m.lostContact(w, msg.Err)
		w.renewal.notBefore, w.renewal.continuous = m.now.Add(renewRetry), false
		return
	}
	switch msg.Report.Refusal {
	case sched.OrderAccepted:
	case sched.OrderFenced:
		msg.Fence = w.renewal.token
		if !m.endsTerm(w, msg.Result, msg.Report.Refusal) {
			m.maintainWorker(w)
		}
		return
	case sched.OrderOtherIncarnation:
		m.log("another incarnation answers at the worker's address", "worker", w.name(), "runs", len(w.runs))
		w.replaced = true
		for _, r := range w.snapshot() {
			m.close(r, sched.EndWorkerGone, "")
		}
		m.recovery.answered(w)
		m.recovery.resolve(w)
		return
	default:
		w.renewal.notBefore = m.now.Add(renewRetry)
		return
	}
	m.applyReport(w, msg)
}

// notCarriedOut reports whether a failed call was certainly not carried out.
func notCarriedOut(err error) bool { return errors.Is(err, sched.ErrUnavailable) }
