package tasks

import "github.com/mangoslip/mangoslip/pkg/sched"

// stop stops an active task. The stop is repeated until a report or an
// inventory shows that the attempt has ended, or its lease has expired.
func (m *Machine) stop(t *task, checkpoint bool) {
	t.state, t.stopWithCheckpoint = stStopping, checkpoint
	m.sendStop(t)
}

func (m *Machine) sendStop(t *task) {
	t.nextStop = m.now.Add(2 * m.callTimeout)
	t.worker.scheduleCheck(t)
	m.emit(StopCmd{Worker: t.worker.name, Lease: m.leaseOf(t), Checkpoint: t.stopWithCheckpoint})
}

func (m *Machine) onStopResult(msg StopResultMsg) {
	w := m.workers[msg.Worker]
	if w == nil || msg.Outcome != CallOK {
		return
	}
	w.lastContact = m.now
	if msg.Report.State == sched.TaskRunning || msg.Report.Task != msg.Task {
		return
	}
	ref := attemptRef{w.name, msg.Task, msg.Report.Attempt}
	m.onReport(w, &msg.Report, ref)
}

// onEvict evicts one task or all tasks of a worker.
func (m *Machine) onEvict(msg EvictMsg) {
	if msg.Task.Job != "" {
		if t := m.tasks[msg.Task]; t != nil && t.state.active() {
			m.evict(t, msg.Why, msg.Throttle)
		}
		return
	}
	if w := m.workers[msg.Worker]; w != nil {
		for _, t := range w.tasks {
			m.evict(t, msg.Why, msg.Throttle)
		}
	}
}

// throttleShare is the share of its processors that a task keeps during the
// grace period before it is stopped.
const throttleShare = 0.25

// evict stops an active task after a checkpoint, so that it can resume on
// another worker. If throttle is set, the task is throttled for the grace period
// first. why becomes the error text of the task.
func (m *Machine) evict(t *task, why string, throttle bool) {
	if t.state == stStopping {
		return
	}
	t.lastErr, t.evictedAt = why, m.now
	if throttle && m.throttleGrace > 0 {
		t.state, t.stopWithCheckpoint = stStopping, true
		t.nextStop = m.now.Add(m.throttleGrace)
		t.worker.scheduleCheck(t)
		m.emit(ThrottleCmd{Worker: t.worker.name, Lease: m.leaseOf(t), Share: throttleShare})
		return
	}
	m.stop(t, true)
}
