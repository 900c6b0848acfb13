package flow

import (
	"github.com/mangoslip/mangoslip/pkg/sched"
)

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
	m.emit(StopCmd{Member: r.worker.member, Order: sched.StopOrder{Run: r.id(), Fence: m.token(r.worker)}})
}

// handleStopResult handles the answer to a stop.
func (m *Machine) handleStopResult(msg StopResultMsg) {
	w := m.workers[msg.Worker]
	if w == nil {
		return
	}
	if m.endsTerm(w, msg.Result, msg.Reply.Refusal) {
		return
	}
	m.recordReply(w, msg.Result, msg.Reply)
	r := w.runs[msg.Run]
	if r == nil {
		return
	}
	r.stopInCall = false
	switch {
	case msg.Err != nil:
		m.lostContact(w, msg.Err)
	case msg.Reply.Refusal == sched.OrderOtherIncarnation:
		m.noteReplaced(w, msg.Result, msg.Reply.Refusal)
	case msg.Reply.Refusal == sched.OrderAccepted:
		w.recordContact(msg.Sent, m.now)
		if r.stopKnownAt.IsZero() {
			r.stopKnownAt = m.now
		}
	default:
		m.log("stop refused", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number, "worker", w.name(),
			"reason", msg.Reply.Refusal)
	}
	m.maintainWorker(w)
}

// stopOtherRuns stops the remaining runs of a task that has succeeded.
func (m *Machine) stopOtherRuns(t *task) {
	for _, r := range t.runs {
		m.stop(r, "another run of the task succeeded")
	}
}
