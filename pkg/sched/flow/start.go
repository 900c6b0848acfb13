package flow

import (
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// startRun creates a run of a task on a worker and orders its start.
func (m *Machine) startRun(t *task, w *worker, number uint64) {
	m.dequeue(t, phaseActive)
	t.moved = false
	t.number = max(t.number, number)
	r := &run{
		task: t, number: number, worker: w, need: t.step.spec.Need(),
		firstSent: m.now, resumedFrom: t.checkpoint, progressedAt: m.now,
	}
	r.throttle.init()
	m.attach(r)
	m.sendStart(r)
}

// sendStart sends the start of a run for the first time or again.
func (m *Machine) sendStart(r *run) {
	w := r.worker
	r.lastSent, r.inCall, r.token = m.now, true, m.token(w)
	r.tries++
	m.window.ordered++
	ticket, _ := r.task.step.ticket(w, m.now)
	if a := r.task.step.advice; a != nil {
		r.doubtfulTicket = ticket != "" && m.now.After(a.decisions[w].certainUntil)
		a.fruitless = 0
	}
	order := sched.StartOrder{
		Run: r.id(), Text: r.task.job().spec.Text, Deadline: m.extendDeadline(w),
		Fence: r.token, Saved: r.resumedFrom, Ticket: ticket,
	}
	m.log("start ordered", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number, "worker", w.name(),
		"try", r.tries, "waited", m.now.Sub(r.task.queuedAt), "contact", w.sinceContact(m.now), "workRead", m.sinceWorkRead(),
		"born", w.member.Born, "token", order.Fence, "deadline", order.Deadline)
	m.emit(StartCmd{Member: w.member, Order: order})
}

// maxStartTries bounds how often an unanswered start is sent before the run is
// stopped.
const maxStartTries = 2

// handleStartResult handles the answer to a start.
func (m *Machine) handleStartResult(msg StartResultMsg) {
	m.noteStartResult(msg)
	w := m.workers[msg.Worker]
	if w == nil {
		return
	}
	if !errors.Is(msg.Err, ErrWithdrawn) {
		m.noteOnWay(w)
	}
	r := w.runs[msg.Run]
	if m.endsTerm(w, msg.Result, msg.Reply.Refusal) {
		return
	}
	incarnationKnown := m.recordReply(w, msg.Result, msg.Reply)
	if r == nil {
		return
	}
	r.inCall = false
	switch {
	case errors.Is(msg.Err, ErrWithdrawn):
		m.startWithdrawn(r)
	case msg.Err == nil && msg.Reply.Refusal == sched.OrderAccepted:
		r.incarnationKnown = r.incarnationKnown || incarnationKnown
		if r.resumedFrom == "" && msg.Reply.HasClock && !r.pace.known && r.tries == 1 {
			r.pace.begin(msg.Reply.Clock, 0)
		}
		m.startAccepted(r)
	case msg.Err == nil:
		m.noteReplaced(w, msg.Result, msg.Reply.Refusal)
		m.startRefused(r, msg.Reply.Refusal)
	case notCarriedOut(msg.Err):
		m.startUnsent(r, msg.Err)
	default:
		m.startUnanswered(r, msg.Err)
	}
}

// ErrWithdrawn is the error of a start that was not sent because [Machine.Wanted]
// returned false.
var ErrWithdrawn = errors.New("start is not wanted any more")

// Wanted reports whether a start that was ordered should still be sent at time now.
// Orders may wait for some time before they are sent. Meanwhile the job may have
// been cancelled, the worker may drain, its data centre may be evacuated, or the
// process may have been suspended.
func (m *Machine) Wanted(now time.Time, worker sched.WorkerName, id sched.Run) bool {
	m.now = now
	w := m.workers[worker]
	if w == nil || m.resignation.began {
		return false
	}
	r := w.runs[id]
	return r != nil && r.state == runStarting && r.token == m.token(w) && m.takesStarts(w) && m.allowedToIssueOrders() && m.knowsEnough()
}

// startWithdrawn handles a start that was not sent. An earlier copy may have been
// carried out, and the worker may have reported the run meanwhile.
func (m *Machine) startWithdrawn(r *run) {
	m.log("start withdrawn", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number,
		"worker", r.worker.name(), "try", r.tries, "waited", m.now.Sub(r.lastSent), "workRead", m.sinceWorkRead(),
		"evacuated", m.evacuated(r.worker))
	switch {
	case r.state == runRunning:
	case r.tries > 1:
		m.stop(r, "start withdrawn after a lost answer")
	default:
		m.close(r, sched.EndWorkerGone, "")
	}
}

// startAccepted records that the worker has the run.
func (m *Machine) startAccepted(r *run) {
	r.worker.recordContact(r.lastSent, m.now)
	r.worker.fullBackoff = 0
	r.knownAt = m.now
	r.task.job().started = true
	if r.state == runStarting {
		r.state = runRunning
	}
	m.noteDoubtfulTicket(r, true)
	m.maintainWorker(r.worker)
}

// startRefused handles a definite refusal. If an earlier copy of the start was
// not answered, that copy may still be carried out, so the run is stopped
// first.
func (m *Machine) startRefused(r *run, why sched.OrderRefusal) {
	w := r.worker
	m.log("start refused", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number, "worker", w.name(),
		"reason", why, "try", r.tries, "free", w.free())
	switch why {
	case sched.OrderUnhealthy:
		w.startQuarantine(m.now, "unhealthy")
	case sched.OrderNoCapacity:
		w.fullBackoff = min(max(2*w.fullBackoff, minFullBackoff), maxFullBackoff)
		w.fullUntil = m.now.Add(w.fullBackoff)
	case sched.OrderNoTicket:
		m.noteDoubtfulTicket(r, false)
		if a := r.task.step.advice; a != nil {
			a.expire(w)
		}
	case sched.OrderStaleRun:
		if r.tries > 1 {
			// An earlier copy was carried out and the run has ended. The worker lists
			// the end.
			r.knownAt = m.now
			m.maintainWorker(w)
			return
		}
	}
	if r.tries > 1 {
		m.stop(r, "start refused after a lost answer")
		return
	}
	m.close(r, sched.EndWorkerGone, "")
}

// minFullBackoff is how long a worker that refused a start for lack of capacity
// gets no further start. The time doubles up to maxFullBackoff until the worker
// accepts one.
const (
	minFullBackoff = 200 * time.Millisecond
	maxFullBackoff = 3200 * time.Millisecond
)

// startUnsent handles a start that was certainly not carried out.
func (m *Machine) startUnsent(r *run, err error) {
	m.log("start not sent", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number,
		"worker", r.worker.name(), "try", r.tries, "error", err)
	m.lostContact(r.worker, err)
	if r.tries > 1 {
		m.stop(r, "start not sent after a lost answer")
		return
	}
	m.close(r, sched.EndWorkerGone, "")
}

// startUnanswered handles a start that may have been carried out or may still
// be. The same run is ordered again; the worker starts it only once.
func (m *Machine) startUnanswered(r *run, err error) {
	m.log("start has no answer", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number,
		"worker", r.worker.name(), "try", r.tries, "error", err)
	m.suspect(r.worker)
	if r.state != runStarting {
		return
	}
	if r.tries < maxStartTries && m.takesStarts(r.worker) && r.worker.accounted && m.mayStart() {
		m.sendStart(r)
		return
	}
	m.stop(r, "start has no answer")
}
