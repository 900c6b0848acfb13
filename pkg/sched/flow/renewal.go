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
	// unreadableRenewPause is the pause after a report with rows that cannot be read.
	// The worker lists these rows again at once.
	unreadableRenewPause = 400 * time.Millisecond
	// answerTimeout is how long an answer to a renewal may take, without its wait.
	// slowAnswerTimeout applies to a worker that did not answer in that time. Its
	// leases are renewed only if its answers arrive, so a worker that is slow to
	// report would otherwise lose its runs.
	answerTimeout     = 400 * time.Millisecond
	slowAnswerTimeout = 1200 * time.Millisecond
	// slowRenewPause is the pause between renewals of a worker that answers slowly.
	slowRenewPause = 400 * time.Millisecond
	// maxEndsPerReport is the most ends that one report lists.
	maxEndsPerReport = 500
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
	// more means that the worker may have more ends than its last report listed.
	more bool
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
	if len(w.runs) > 0 && w.leasesExpired(m.now) && m.ledAt(w.leasesExpireAt) {
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
	case w.renewal.more:
		m.sendRenewal(w, 0)
	case (w.suspected || w.slow) && (len(w.runs) > 0 || w.listed):
		m.sendRenewal(w, 0)
	case len(w.runs) > 0, w.unknownRuns > 0:
		m.sendRenewal(w, m.renewWaitFor(w))
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
	o := sched.RenewOrder{Fence: m.term, Seen: w.renewal.seen, Wait: wait}
	// The leases of an unresponsive worker are not renewed, so that they expire and
	// its tasks can start elsewhere. Nor are those of a worker that only has runs of
	// unknown tasks.
	if w.hasClock && (len(w.runs) > 0 || w.unknownRuns == 0) && w.answered && !w.unresponsive(m.now) && m.mayIssueOrders {
		o.HasDeadline, o.Deadline = true, w.extendDeadline(m.now, m.lease)
	}
	timeout := answerTimeout
	if (w.suspected || w.slow) && !m.mostAreSlow {
		timeout = slowAnswerTimeout
	}
	m.emit(RenewCmd{Member: w.member, Order: o, Seq: w.renewal.seq, Timeout: timeout})
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
	m.log("leases expired", "worker", w.name(), "runs", len(w.runs), "contact", w.sinceContact(m.now))
	for _, r := range w.snapshot() {
		m.close(r, sched.EndLeaseExpired, "")
	}
}

// lostContact handles an unanswered call.
func (m *Machine) lostContact(w *worker, err error) {
	if !w.suspected {
		m.log("worker suspected", "worker", w.name(), "contact", w.sinceContact(m.now), "runs", len(w.runs), "error", err)
	}
	w.suspect(m.now)
	m.stale = true
}

// handleRenewResult handles the answer to a lease renewal.
func (m *Machine) handleRenewResult(msg RenewResultMsg) {
	w := m.workers[msg.Worker]
	if w == nil || msg.Seq != w.renewal.seq {
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
		m.endTerm("worker " + string(w.name()) + " has seen a newer term")
		return
	case sched.OrderOtherIncarnation:
		m.log("another incarnation answers at the worker's address", "worker", w.name(), "runs", len(w.runs))
		w.replaced = true
		for _, r := range w.snapshot() {
			m.close(r, sched.EndWorkerGone, "")
		}
		m.recovery.answered(w)
		return
	default:
		w.recordContact(msg.Sent.Add(w.renewal.wait), m.now)
		w.renewal.notBefore = m.now.Add(renewRetry)
		return
	}
	m.applyReport(w, msg)
}

// applyReport applies a worker's report of its runs and run ends.
func (m *Machine) applyReport(w *worker, msg RenewResultMsg) {
	rep := &msg.Report
	if !m.confirmIncarnation(w, rep.Born) {
		w.renewal.notBefore = m.now.Add(renewRetry)
		return
	}
	wasSuspected := w.suspected
	m.noteAnswerTime(w, m.now.Sub(msg.Sent))
	w.recordClock(msg.Sent.Add(w.renewal.wait), m.now, rep.Clock)
	if wasSuspected {
		m.log("worker answers again", "worker", w.name(), "runs", len(w.runs))
		m.stale = true
	}
	w.renewal.continuous = true
	w.acknowledged = max(w.acknowledged, w.renewal.seen)
	w.renewal.more, w.reportedRuns = len(rep.Ended) >= maxEndsPerReport, len(rep.Running)
	first := !w.answered
	m.applyEnds(w, rep.Ended)
	m.applyRunReports(w, msg.Sent, rep)
	m.notePartialReport(w, rep.Unreadable)
	if first {
		// An earlier leader may have set a deadline this far ahead.
		w.extendExpiry(m.now, m.maxLease)
	}
	if first && !w.renewal.more {
		w.answered, w.answeredAt = true, m.now
		m.recovery.answered(w)
		m.noteAnswer(w)
		m.endRecovery()
		m.stale = true
	}
	m.learnFromTails(w)
	m.adjustThrottles(w)
	m.maintainWorker(w)
}

// applyEnds applies the run ends that are new, in order. Those of a job with changes
// that are not durable are acknowledged only afterwards, even if they change nothing
// themselves: the next leader knows the job only as it is recorded.
func (m *Machine) applyEnds(w *worker, ends []sched.RunEnd) {
	for _, e := range ends {
		if e.Seq <= w.processed {
			continue
		}
		w.processed = e.Seq
		before := m.commits.lastChange
		m.applyEnd(w, e)
		if m.commits.lastChange != before || len(w.pending) > 0 || m.hasUnrecordedChange(e.Run.Task.Job) {
			w.pending = append(w.pending, pendingEnd{seq: e.Seq, change: m.commits.lastChange})
		} else {
			w.durable = e.Seq
		}
	}
}

func (m *Machine) applyEnd(w *worker, e sched.RunEnd) {
	if r := w.runs[e.Run]; r != nil {
		m.resolveTask(r)
		m.close(r, e.How, e.Saved)
		return
	}
	t := m.task(e.Run.Task)
	if t == nil {
		return
	}
	m.log("end of an untracked run", "id", t.job().spec.ID, "task", t.name(), "run", e.Run.Number, "worker", w.name(), "how", e.How)
	m.noteAway(t)
	m.taskEnded(t, w, e.Run.Number, e.How, e.Saved)
}

// notePartialReport logs that rows of a report could not be read. The worker
// lists these rows again at once, so the next renewal is put off.
func (m *Machine) notePartialReport(w *worker, unreadable int) {
	if unreadable != w.unreadable {
		m.log("report has rows that cannot be read", "worker", w.name(), "addr", w.member.Addr, "rows", unreadable,
			"before", w.unreadable)
	}
	w.unreadable = unreadable
	if unreadable > 0 {
		w.renewal.notBefore = m.now.Add(unreadableRenewPause)
	}
}

// applyRunReports compares what the worker runs with what it is expected to
// run. A run that a partial report does not list may still be in progress.
func (m *Machine) applyRunReports(w *worker, sent time.Time, rep *sched.RenewReport) {
	listed := make(map[sched.Run]bool, len(rep.Running))
	w.unknownRuns = 0
	for i := range rep.Running {
		listed[rep.Running[i].Run] = true
		m.applyRunReport(w, &rep.Running[i])
	}
	if rep.Unreadable > 0 {
		return
	}
	for _, r := range w.snapshot() {
		if listed[r.id()] {
			continue
		}
		started := !r.knownAt.IsZero() && r.knownAt.Before(sent)
		stopped := !r.stopKnownAt.IsZero() && r.stopKnownAt.Before(sent)
		if started || stopped {
			m.close(r, sched.EndWorkerGone, "")
		}
	}
}

// applyRunReport applies the report of one run.
func (m *Machine) applyRunReport(w *worker, rep *sched.RunReport) {
	r := w.runs[rep.Run]
	if r == nil {
		if r = m.adopt(w, rep); r == nil {
			w.unknownRuns++
			return
		}
	}
	if r.firstReportAt.IsZero() {
		r.firstPercent, r.firstReportAt = rep.Percent, m.now
	}
	if rep.Percent != r.percent || rep.Saved != r.checkpoint {
		r.progressedAt = m.now
	}
	r.checkpoint, r.percent, r.load, r.reportedAt = rep.Saved, rep.Percent, rep.Load, m.now
	if r.knownAt.IsZero() {
		r.knownAt = m.now
	}
	r.task.job().started = true
	if r.state == runStarting {
		r.state = runRunning
	}
	m.checkThrottle(r)
}

// notCarriedOut reports whether a failed call was certainly not carried out.
func notCarriedOut(err error) bool { return errors.Is(err, sched.ErrUnavailable) }
