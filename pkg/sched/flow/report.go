package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// endsLostAfter is how long the ends of a worker may be unreadable before the worker's
// leases are no longer renewed. The worker lists no end behind the unreadable one, so its
// tasks would never be known to end.
const endsLostAfter = 2 * time.Second

// reportState is what the last report of a worker says of its own lists.
type reportState struct {
	// runs counts the listed runs, and unreadable the rows that could not be read.
	runs, unreadable int
	// partial means that the worker may have runs or ends that the report did not list.
	partial bool
	// endsUnreadableSince is since when a run end cannot be read, zero if all can.
	endsUnreadableSince time.Time
}

// endsLost reports whether ends have been unreadable for too long.
func (s *reportState) endsLost(now time.Time) bool {
	return !s.endsUnreadableSince.IsZero() && now.Sub(s.endsUnreadableSince) > endsLostAfter
}

// noteReport records whether a report is partial, and logs when that changes. news means
// that the report had an end that was not known.
func (m *Machine) noteReport(w *worker, rep *sched.RenewReport, news bool) {
	before := w.report
	w.report.runs, w.report.unreadable, w.report.partial = len(rep.Running), rep.Unreadable, !rep.Complete()
	switch {
	case rep.UnreadableEnds == 0:
		w.report.endsUnreadableSince = time.Time{}
	case before.endsUnreadableSince.IsZero():
		w.report.endsUnreadableSince = m.now
	}
	if w.report.partial && !news {
		w.renewal.notBefore = m.now.Add(partialRenewPause)
	}
	if w.report.partial != before.partial || w.report.unreadable != before.unreadable {
		m.log("completeness of reports changed", "worker", w.name(), "addr", w.member.Addr, "complete", rep.Complete(),
			"moreEnds", rep.MoreEnds, "unreadable", rep.Unreadable, "unreadableEnds", rep.UnreadableEnds,
			"ends", len(rep.Ended), "acknowledged", w.acknowledged, "recorded", w.durable, "known", w.processed, "runs", len(w.runs))
	}
}

// applyReport applies a worker's report of its runs and run ends.
func (m *Machine) applyReport(w *worker, msg RenewResultMsg) {
	rep := &msg.Report
	if !m.confirmIncarnation(w, rep.Born) {
		m.log("report may be of an earlier incarnation and is not used", "worker", w.name(), "born", rep.Born,
			"known", w.member.Born, "reported", w.claim.reported, "runs", len(w.runs))
		w.renewal.notBefore = m.now.Add(renewRetry)
		return
	}
	wasSuspected := w.suspected
	m.noteAnswerTime(w, m.now.Sub(msg.Sent))
	w.recordContact(msg.Sent.Add(w.renewal.wait), m.now)
	w.unansweredSince, w.suspected = time.Time{}, false
	w.recordClock(msg.Sent, m.now, rep.Clock)
	if wasSuspected {
		m.log("worker answers again", "worker", w.name(), "runs", len(w.runs))
		m.stale = true
	}
	w.renewal.continuous = true
	w.acknowledged = max(w.acknowledged, w.renewal.seen)
	processed := w.processed
	m.learnFinalSpeeds(w, &msg)
	m.applyEnds(w, rep.Ended)
	// Orders with an older token than the worker has seen are not carried out any more.
	current := w.renewal.token == m.token(w)
	m.applyRunReports(w, msg.Sent, rep, current)
	m.learnSpeeds(w, rep)
	w.reportClock = rep.Clock
	m.noteReport(w, rep, w.processed > processed)
	m.noteFirstReport(w, rep.Complete(), current)
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

// noteFirstReport notes that the worker has accepted this term, and that all of its runs
// and ends are known. The second takes more than one report if there are many ends. Until
// then any task that an earlier leader started may be running or have ended there.
func (m *Machine) noteFirstReport(w *worker, complete, current bool) {
	if !w.answered {
		// An earlier leader, or an order to an earlier incarnation, may have set a deadline
		// this far ahead.
		m.extendExpiry(w, m.maxLease)
	}
	if !current {
		return
	}
	if !w.answered {
		w.answered, w.answeredAt = true, m.now
		m.recovery.answered(w)
		m.noteAnswer(w)
	}
	if w.accounted || !complete {
		return
	}
	w.accounted = true
	m.recovery.resolve(w)
	m.endRecovery()
	m.stale = true
}

// applyRunReports compares what the worker runs with what it is expected to run. Only a
// complete report shows that a run is gone: one that a partial report does not list may
// be in progress, or may have succeeded. current means that the worker rejects all orders
// with an older token. Until then a restarted worker may still get a copy of a start that
// was sent to its earlier incarnation.
func (m *Machine) applyRunReports(w *worker, sent time.Time, rep *sched.RenewReport, current bool) {
	listed := make(map[sched.Run]bool, len(rep.Running))
	w.unknownRuns = 0
	for i := range rep.Running {
		listed[rep.Running[i].Run] = true
		m.applyRunReport(w, &rep.Running[i])
	}
	if !rep.Complete() {
		return
	}
	for _, r := range w.snapshot() {
		if listed[r.id()] {
			continue
		}
		started := !r.knownAt.IsZero() && r.knownAt.Before(sent)
		stopped := !r.stopKnownAt.IsZero() && r.stopKnownAt.Before(sent)
		refused := current && r.token < w.renewal.token
		if (started || stopped || refused) && (current || r.attributed()) {
			m.log("run is missing from a complete report", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number,
				"worker", w.name(), "started", started, "stopped", stopped, "refused", refused, "running", len(rep.Running), "ends", len(rep.Ended))
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
	r.incarnationKnown = true
	r.task.job().started = true
	if r.state == runStarting {
		r.state = runRunning
	}
	m.checkThrottle(r)
}
