package flow

import (
	"slices"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// close removes a run that has certainly ended or was never started, frees its
// capacity and applies the end to its task.
func (m *Machine) close(r *run, how sched.EndKind, checkpoint string) {
	t, w := r.task, r.worker
	m.log("run ended", "id", t.job().spec.ID, "task", t.name(), "run", r.number, "worker", w.name(), "how", how,
		"born", w.member.Born, "known", !r.knownAt.IsZero(), "tries", r.tries, "cause", r.stopCause, "took", m.now.Sub(r.firstSent), "percent", r.percent)
	m.detach(r)
	if !r.knownAt.IsZero() {
		m.noteAway(t)
	}
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
// end of a run that was in progress in this term. This holds if that leader has handed
// over, if this term started the run, or if its worker has rejected earlier leaders for longer
// than they rely on an answer from it.
func (m *Machine) hiddenFromEarlierLeaders(r *run) bool {
	return m.recovery.handedOver || r.number > (m.term-1)*runNumbersPerTerm || m.now.Sub(r.worker.answeredAt) > answerValid
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
