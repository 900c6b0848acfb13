package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// runState is the state of a run.
type runState uint8

const (
	// runStarting means that the start has no definite answer yet.
	runStarting runState = iota
	// runRunning means that the worker has the run.
	runRunning
	// runStopping means that a stop was ordered and the end is not known yet.
	runStopping
)

// run is one start of a task on one worker. It occupies capacity until it has
// certainly ended.
type run struct {
	task   *task
	number uint64
	worker *worker
	state  runState
	need   sched.Resources

	// firstSent and lastSent are when the start was first and last sent.
	firstSent, lastSent time.Time
	tries               int
	inCall              bool
	// knownAt is when a definite answer said that the worker has the run, zero if
	// there is none.
	knownAt time.Time
	// stopSent is when the last stop was sent, and stopKnownAt when the worker
	// first confirmed a stop.
	stopSent, stopKnownAt time.Time
	stopInCall            bool
	stopCause             string

	// checkpoint is the last one that the worker reported, and resumedFrom the one
	// with which the run started.
	checkpoint  string
	resumedFrom string
	percent     int
	// progressedAt is when percent or checkpoint last changed, or when the worker
	// last confirmed a higher speed limit.
	progressedAt time.Time
	reportedAt   time.Time
	// tailMillis is the reported tail latency in milliseconds of a
	// latency-critical run.
	tailMillis float64
	throttle   throttle
	// firstPercent is the progress in the first report, which arrived at
	// firstReportAt.
	firstPercent  int
	firstReportAt time.Time
	// adopted means that this machine adopted the run from a report; an earlier
	// leader may have started it.
	adopted bool
	// searchedAt is when another worker was last searched for.
	searchedAt time.Time
}

func (r *run) id() sched.Run { return sched.Run{Task: r.task.id(), Number: r.number} }

// latencyCritical reports whether the task has a tail latency target.
func (r *run) latencyCritical() bool { return r.task.step.spec.LatencyCritical() }

// bestEffort reports whether the task uses processor time that others leave
// unused.
func (r *run) bestEffort() bool { return r.task.step.spec.BestEffort }

// runNumbersPerTerm separates the ranges of run numbers of different terms.
const runNumbersPerTerm = 1 << 20

// nextNumber returns a run number above all earlier ones of the task.
func (m *Machine) nextNumber(t *task) uint64 {
	return max(t.number, (m.term-1)*runNumbersPerTerm) + 1
}

// startRun creates a run of a task on a worker and orders its start.
func (m *Machine) startRun(t *task, w *worker, number uint64) {
	m.dequeue(t, phaseActive)
	t.number = max(t.number, number)
	r := &run{
		task: t, number: number, worker: w, need: t.step.spec.Need(),
		firstSent: m.now, resumedFrom: t.checkpoint, progressedAt: m.now,
	}
	r.throttle.init()
	m.attach(r)
	m.sendStart(r)
}

// attach adds a run to its task and its worker.
func (m *Machine) attach(r *run) {
	t, w := r.task, r.worker
	t.runs = append(t.runs, r)
	w.runs[r.id()] = r
	w.list = append(w.list, r)
	w.used = w.used.Add(r.need)
	if t.step.placedOn == nil {
		t.step.placedOn = map[*worker]int{}
	}
	t.step.placedOn[w]++
	w.countRun(r, 1)
}

// detach removes a run that has certainly ended.
func (m *Machine) detach(r *run) {
	t, w := r.task, r.worker
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	delete(w.runs, r.id())
	w.list = slices.DeleteFunc(w.list, func(o *run) bool { return o == r })
	w.used = w.used.Sub(r.need)
	if t.step.placedOn[w]--; t.step.placedOn[w] <= 0 {
		delete(t.step.placedOn, w)
	}
	w.countRun(r, -1)
	if r.bestEffort() {
		w.addPastRun(r, r.throttle.have, m.now)
	}
	m.stale = true
}

// sendStart sends the start of a run for the first time or again.
func (m *Machine) sendStart(r *run) {
	w := r.worker
	r.lastSent, r.inCall = m.now, true
	r.tries++
	ticket, _ := r.task.step.ticket(w, m.now)
	order := sched.StartOrder{
		Run: r.id(), Text: r.task.job().spec.Text, Deadline: w.extendDeadline(m.now, m.lease),
		Fence: m.term, Saved: r.resumedFrom, Ticket: ticket,
	}
	m.log("start ordered", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number, "worker", w.name(),
		"try", r.tries, "waited", m.now.Sub(r.task.queuedAt), "contact", w.sinceContact(m.now))
	m.emit(StartCmd{Member: w.member, Order: order})
}

// maxStartTries bounds how often an unanswered start is sent before the run is
// stopped.
const maxStartTries = 2

// handleStartResult handles the answer to a start.
func (m *Machine) handleStartResult(msg StartResultMsg) {
	w := m.workers[msg.Worker]
	if w == nil {
		return
	}
	r := w.runs[msg.Run]
	if msg.Err == nil && msg.Reply.HasClock {
		w.recordClock(msg.Sent, m.now, msg.Reply.Clock)
	}
	if msg.Err == nil && msg.Reply.Refusal == sched.OrderFenced {
		m.endTerm("worker " + string(msg.Worker) + " has seen a newer term")
		return
	}
	if r == nil {
		return
	}
	r.inCall = false
	switch {
	case msg.Err == nil && msg.Reply.Refusal == sched.OrderAccepted:
		m.startAccepted(r)
	case msg.Err == nil:
		m.startRefused(r, msg.Reply.Refusal)
	case notCarriedOut(msg.Err):
		m.startUnsent(r, msg.Err)
	default:
		m.startUnanswered(r, msg.Err)
	}
}

// startAccepted records that the worker has the run.
func (m *Machine) startAccepted(r *run) {
	r.worker.contactAt = m.now
	r.worker.fullBackoff = 0
	r.knownAt = m.now
	r.task.job().started = true
	if r.state == runStarting {
		r.state = runRunning
	}
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
	case sched.OrderOtherIncarnation:
		w.replaced = true
	case sched.OrderNoTicket:
		if a := r.task.step.advice; a != nil {
			delete(a.decisions, w)
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
	r.worker.suspect(m.now)
	if r.state != runStarting {
		return
	}
	if r.tries < maxStartTries {
		m.sendStart(r)
		return
	}
	m.stop(r, "start has no answer")
}

// stop orders the stop of a run, and of the other runs of its gang.
func (m *Machine) stop(r *run, why string) {
	if r.state == runStopping {
		return
	}
	r.state, r.stopCause = runStopping, why
	m.log("stop ordered", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number,
		"worker", r.worker.name(), "cause", why, "percent", r.percent)
	m.sendStop(r)
	if r.task.step.spec.Gang {
		m.breakGang(r.task.step, r.number)
	}
}

func (m *Machine) sendStop(r *run) {
	r.stopSent, r.stopInCall = m.now, true
	m.emit(StopCmd{Member: r.worker.member, Order: sched.StopOrder{Run: r.id(), Fence: m.term}})
}

// handleStopResult handles the answer to a stop.
func (m *Machine) handleStopResult(msg StopResultMsg) {
	w := m.workers[msg.Worker]
	if w == nil {
		return
	}
	if msg.Err == nil && msg.Reply.HasClock {
		w.recordClock(msg.Sent, m.now, msg.Reply.Clock)
	}
	if msg.Err == nil && msg.Reply.Refusal == sched.OrderFenced {
		m.endTerm("worker " + string(msg.Worker) + " has seen a newer term")
		return
	}
	r := w.runs[msg.Run]
	if r == nil {
		return
	}
	r.stopInCall = false
	switch {
	case msg.Err != nil:
		m.lostContact(w, msg.Err)
	case msg.Reply.Refusal == sched.OrderOtherIncarnation:
		w.replaced = true
	default:
		w.contactAt = m.now
		if r.stopKnownAt.IsZero() {
			r.stopKnownAt = m.now
		}
	}
	m.maintainWorker(w)
}

// stopOtherRuns stops the remaining runs of a task that has succeeded.
func (m *Machine) stopOtherRuns(t *task) {
	for _, r := range t.runs {
		m.stop(r, "another run of the task succeeded")
	}
}

// close removes a run that has certainly ended or was never started, frees its
// capacity and applies the end to its task.
func (m *Machine) close(r *run, how sched.EndKind, checkpoint string) {
	t, w := r.task, r.worker
	m.log("run ended", "id", t.job().spec.ID, "task", t.name(), "run", r.number, "worker", w.name(), "how", how,
		"cause", r.stopCause, "took", m.now.Sub(r.firstSent), "percent", r.percent)
	m.detach(r)
	m.learnFromEnd(r, how)
	if how == sched.EndDone && m.hiddenFromEarlierLeaders(r) {
		t.step.successHidden = true
	}
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	m.taskEnded(t, w, r.number, how, checkpoint)
}

// hiddenFromEarlierLeaders reports whether no earlier leader can have seen the
// end of a run that was in progress in this term. This holds if this term
// started the run, or if its worker has rejected earlier leaders for longer
// than they rely on an answer from it.
func (m *Machine) hiddenFromEarlierLeaders(r *run) bool {
	return r.number > (m.term-1)*runNumbersPerTerm || m.now.Sub(r.worker.answeredAt) > answerValid
}

// taskEnded applies the end of a run to its task. The run may be one that this
// machine does not track.
func (m *Machine) taskEnded(t *task, w *worker, number uint64, how sched.EndKind, checkpoint string) {
	t.number = max(t.number, number)
	if how == sched.EndDone || how == sched.EndFailed {
		t.job().started = true
	}
	if checkpoint != "" && t.step.spec.Checkpoint {
		t.checkpoint = checkpoint
	}
	j := t.job()
	if t.phase == phaseDone || j.state.Final() {
		return
	}
	switch how {
	case sched.EndDone:
		if !t.step.spec.Perpetual {
			m.runSucceeded(t, number)
			return
		}
	case sched.EndFailed:
		if m.taskFailed(t, w, number) {
			return
		}
	}
	if t.step.spec.Gang {
		m.breakGang(t.step, number)
	}
	if len(t.runs) == 0 && t.phase == phaseActive {
		m.enqueue(t)
	}
}

// runSucceeded applies the success of a run. The success of one member is the
// success of its whole gang.
func (m *Machine) runSucceeded(t *task, number uint64) {
	if t.step.spec.Gang {
		m.gangDone(t.step, number)
		return
	}
	m.taskDone(t)
}

// taskFailed counts a failed run once and reports whether it ended the job.
func (m *Machine) taskFailed(t *task, w *worker, number uint64) bool {
	if t.step.spec.Perpetual || slices.Contains(t.failed, number) {
		return false
	}
	t.failed = append(t.failed, number)
	t.avoid = append(t.avoid, w.name())
	m.markChanged(t.job())
	limit := m.fleet.Queues[t.job().queue].MaxAttempts
	if limit == 0 || t.failures() < limit {
		return false
	}
	m.endJob(t.job(), sched.JobFailed, "task "+taskName(t.id())+" failed as often as its queue permits")
	return true
}
