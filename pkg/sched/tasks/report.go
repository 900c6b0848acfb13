package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// defaultMaxAttempts is the number of failed attempts after which a task is
	// NotRunnable, unless its class sets another number.
	defaultMaxAttempts = 3
	// overrunFactor is the multiple of its predicted run time beyond which a
	// running task raises the estimate of its class.
	overrunFactor = 2
)

// onInventory compares the inventory of a worker with the tasks that should run
// on it. An answer to an older poll is ignored.
func (m *Machine) onInventory(msg InventoryMsg) {
	w := m.workers[msg.Worker]
	if w == nil || msg.Seq != w.pollSeq {
		return
	}
	w.pollSeq = 0
	if msg.Outcome != CallOK {
		return
	}
	w.lastContact, w.inventoried = m.now, true
	w.clock, w.clockAt, w.incarnation = msg.Inventory.Clock, m.now, msg.Inventory.Incarnation
	seen := make(map[attemptRef]bool, len(msg.Inventory.Tasks))
	for i := range msg.Inventory.Tasks {
		r := &msg.Inventory.Tasks[i]
		if r.Shard != m.shard {
			continue
		}
		ref := attemptRef{w.name, r.Task, r.Attempt}
		seen[ref] = true
		m.onReport(w, r, ref)
	}
	m.handleAbsent(w, seen)
	w.pollPaused = len(seen) == 0 && len(w.tasks) == 0
	delete(m.awaitingInventory, w.name)
	m.checkRecovered()
	m.passNeeded = true
}

// handleAbsent handles the tasks, orphans and reports that an inventory does not
// show. A task that is absent has ended only if its start was confirmed before
// the inventory was requested, or could no longer arrive after that. Otherwise
// the worker may have received the start after it took the inventory.
func (m *Machine) handleAbsent(w *worker, seen map[attemptRef]bool) {
	for i := len(w.tasks) - 1; i >= 0; i-- {
		t := w.tasks[i]
		confirmed := !t.confirmedAt.IsZero() && !t.confirmedAt.After(w.pollSentAt)
		startExpired := !w.pollSentAt.Before(t.startedAt.Add(m.callTimeout))
		if (confirmed || startExpired) && !seen[attemptRef{w.name, t.id, t.attempt}] {
			m.endWithoutReport(t, "worker "+string(w.name)+" does not run the task")
		}
	}
	for ref, r := range w.orphans {
		if !seen[ref] {
			delete(w.orphans, ref)
			m.ledger.Release(w.name, r)
		}
	}
	for ref := range w.unsavedReports {
		if !seen[ref] && m.tasks[ref.task] == nil {
			delete(w.unsavedReports, ref)
		}
	}
}

// endWithoutReport ends an attempt for which there is no report, and queues the
// task again.
func (m *Machine) endWithoutReport(t *task, why string) {
	t.lastErr = why
	m.detach(t)
	m.requeue(t, 0)
}

// onReport handles the report of one task in an inventory or in the answer to a
// stop.
func (m *Machine) onReport(w *worker, r *sched.TaskReport, ref attemptRef) {
	t := m.tasks[r.Task]
	if r.State == sched.TaskRunning {
		m.onRunning(w, t, r, ref)
		return
	}
	if res, ok := w.orphans[ref]; ok {
		delete(w.orphans, ref)
		m.ledger.Release(w.name, res)
	}
	switch {
	case w.unsavedReports[ref]:
		// The report is acknowledged when its content is in the journal.
	case t == nil, t.state.final(), r.Attempt <= t.endedAttempt, r.Attempt < t.attempt:
		m.acknowledge(&ref)
	case t.state.active() && t.worker != w:
		// The reported attempt has a higher number than the one that is active
		// on another worker.
		m.orphanAttempt(t)
		m.onEnd(w, t, r, ref)
	default:
		if t.state.active() {
			m.detach(t)
		}
		m.onEnd(w, t, r, ref)
	}
}

// onRunning handles the report of a running attempt. It may be the active one,
// one to adopt, or an orphan to stop.
func (m *Machine) onRunning(w *worker, t *task, r *sched.TaskReport, ref attemptRef) {
	switch {
	case t == nil, t.state.final(), r.Attempt < t.attempt:
		m.rejectOrphan(w, r, ref)
	case r.Attempt <= t.endedAttempt:
		// The end of this attempt has been reported. An inventory that was
		// requested before the end may still show it running.
		if w.pollSentAt.After(t.endedAt) {
			m.rejectOrphan(w, r, ref)
		}
	case t.state.active() && t.worker == w && t.attempt == r.Attempt:
		m.confirmRunning(t)
		m.checkOverrun(t, r)
	case t.state.active():
		m.orphanAttempt(t)
		m.adopt(w, t, r)
	default:
		m.adopt(w, t, r)
	}
}

// adopt makes a running attempt active that this owner did not start, or whose
// lease it had treated as expired.
func (m *Machine) adopt(w *worker, t *task, r *sched.TaskReport) {
	m.dequeue(t)
	m.ledger.Restore(w.name, t.spec.Resources)
	t.attempt, t.attempts = r.Attempt, max(t.attempts, 1)
	t.startedAt = m.now.Add(-r.RunTime)
	t.confirmedAt, t.leaseUntil = time.Time{}, m.leaseExpiry()
	t.predictedRunTime = m.runTimes.predict(m.config, &t.spec)
	t.state = stRunning
	m.attach(t, w)
	m.confirmRunning(t)
	w.nextRenewal = m.now
	if t.cancel {
		m.stop(t, false)
	}
}

// orphanAttempt makes the active attempt of a task an orphan and stops it,
// because an attempt with a higher number has been found.
func (m *Machine) orphanAttempt(t *task) {
	w, ref := t.worker, attemptRef{t.worker.name, t.id, t.attempt}
	lease := m.leaseOf(t)
	m.detach(t)
	m.ledger.Restore(w.name, t.spec.Resources)
	w.orphans[ref] = t.spec.Resources
	m.emit(StopCmd{Worker: w.name, Lease: lease})
}

// rejectOrphan stops an attempt that must not run, and keeps its resources
// reserved until it has ended.
func (m *Machine) rejectOrphan(w *worker, r *sched.TaskReport, ref attemptRef) {
	if _, ok := w.orphans[ref]; !ok {
		w.orphans[ref] = r.Resources
		m.ledger.Restore(w.name, r.Resources)
	}
	m.emit(StopCmd{Worker: w.name, Lease: sched.Lease{
		Task: r.Task, Shard: m.shard, Epoch: m.epoch, Attempt: r.Attempt,
	}})
}

// onEnd handles the end of the highest attempt of a task. The caller has
// detached the task from its worker.
func (m *Machine) onEnd(w *worker, t *task, r *sched.TaskReport, ref attemptRef) {
	m.dequeue(t)
	t.worker = w
	t.attempt, t.endedAttempt, t.endedAt = r.Attempt, r.Attempt, m.now
	t.attempts = max(t.attempts, 1)
	switch {
	case r.State == sched.TaskSucceeded:
		w.resetFailures()
		m.runTimes.observe(t.spec.Class, r.RunTime)
		m.finish(t, sched.PhaseSucceeded, "", &ref)
	case t.cancel:
		m.finish(t, sched.PhaseCancelled, "", &ref)
	case r.State == sched.TaskFailed:
		m.onFailed(w, t, r, ref)
	default:
		if r.Checkpoint != "" {
			t.checkpoint = r.Checkpoint
		}
		m.saveProgress(t, ref, 0)
	}
}

// onFailed handles a failed attempt. The task is tried again after a delay, or
// ends as NotRunnable after too many failures.
func (m *Machine) onFailed(w *worker, t *task, r *sched.TaskReport, ref attemptRef) {
	m.countFailure(w, t.id.Job)
	t.failedOn = append(t.failedOn[:len(t.failedOn):len(t.failedOn)], w.name)
	t.lastErr = r.Error
	if len(t.failedOn) >= m.maxAttempts(t.spec.Class) {
		m.finish(t, sched.PhaseNotRunnable, "every attempt failed; last: "+r.Error, &ref)
		return
	}
	m.saveProgress(t, ref, min(failBackoff<<min(len(t.failedOn)-1, 8), maxBackoff))
}

func (m *Machine) maxAttempts(class sched.ClassName) int {
	if m.config != nil {
		if c, ok := m.config.Class(class); ok && c.MaxAttempts > 0 {
			return c.MaxAttempts
		}
	}
	return defaultMaxAttempts
}

// saveProgress journals a checkpoint or a failure and then queues the task
// again. If the append fails, the task is queued anyway. The worker keeps the
// report until a later append has committed.
func (m *Machine) saveProgress(t *task, ref attemptRef, delay time.Duration) {
	t.state = stSaving
	rec := &progressRecord{
		Task: t.id, Attempt: t.attempt, Count: t.attempts,
		Checkpoint: t.checkpoint, Failed: t.failedOn, Error: t.lastErr,
	}
	proceed := func() {
		if t.state == stSaving && t.attempt == rec.Attempt {
			m.requeue(t, delay)
		}
	}
	m.markUnsaved(&ref)
	m.persist(record{Progress: rec}, proceed, func() {
		if t.lastProgress == nil || t.lastProgress.Attempt < rec.Attempt {
			t.lastProgress = rec
		}
		m.acknowledge(&ref)
		proceed()
	})
}

// checkOverrun raises the estimated run time of a class if one of its tasks
// runs far longer than predicted. Each overrun of a task doubles the bound for
// its next one.
func (m *Machine) checkOverrun(t *task, r *sched.TaskReport) {
	bound := t.predictedRunTime * overrunFactor << min(t.overruns, 16)
	if t.predictedRunTime > 0 && r.RunTime > bound {
		t.overruns++
		m.runTimes.overrun(t.spec.Class, r.RunTime)
	}
}
