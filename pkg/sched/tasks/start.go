package tasks

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
)

const (
	// passEvery bounds how often the queue is walked outside of ticks; a walk
	// copies the room of every worker.
	minPassInterval = 5 * time.Millisecond
	// maxMisses bounds the tasks of a walk that find no place, so that a long
	// queue of tasks that do not fit costs a bounded time; maxTeamMisses bounds
	// those of one team, so that one team's big tasks do not block the others.
	maxUnplaced        = 512
	maxUnplacedPerTeam = 32
	// epochShift leaves 2^20 attempts of a task for each epoch.
	epochShift = 20
)

// rackKey counts the tasks of a job in a rack.
type rackKey struct {
	job  sched.JobID
	rack string
}

// pass starts queued tasks while there is room.
func (m *Machine) schedulingPass(msg sched.Msg) {
	_, tick := msg.(sched.TickMsg)
	if !m.passNeeded || (!tick && m.now.Sub(m.lastPass) < minPassInterval) {
		return
	}
	m.passNeeded, m.lastPass = false, m.now
	if m.queue.teamsByShare[0].len()+m.queue.teamsByShare[1].len() == 0 {
		return
	}
	m.available = append(m.available[:0], m.ledger.Rooms()...)
	m.filterAvailable()
	m.unplacedSizes, m.unplaced, m.freeAfterStops = m.unplacedSizes[:0], m.unplaced[:0], m.freeAfterStops[:0]
	for b := range m.queue.teamsByShare {
		if b == 1 {
			m.applyReservation()
		}
		for len(m.unplaced) < maxUnplaced {
			t, ok := m.queue.pop(b)
			if !ok {
				break
			}
			if !m.tryStart(t) {
				m.unplaced = append(m.unplaced, t)
				m.queue.markUnplaced(t, b)
			}
		}
	}
	for _, t := range m.unplaced {
		m.queue.team(t.team).unplaced = 0
		m.queue.push(t)
	}
}

// benched takes the workers out of the scratch rooms that get no tasks.
func (m *Machine) filterAvailable() {
	m.available = slices.DeleteFunc(m.available, func(r sched.WorkerRoom) bool {
		w := m.workers[r.Worker]
		if w != nil && m.now.Sub(w.clockAt) > maxClockAge {
			// Polled at the next tick; its inventory starts another pass.
			w.pollPaused = false
			return true
		}
		return w == nil || !w.listed || !w.inventoried || w.quarantinedUntil.After(m.now) ||
			m.now.Sub(w.lastContact) > m.lease/2 && len(w.tasks) > 0
	})
}

// tryStart places and starts a task; it reports false if it found no place.
func (m *Machine) tryStart(t *task) bool {
	for _, r := range m.unplacedSizes {
		if !t.urgent && len(t.failedOn) == 0 && r.Fits(t.spec.Resources) {
			return false
		}
	}
	for {
		i := m.place(t)
		if i < 0 {
			break
		}
		chosen := &m.available[i]
		if m.ledger.Reserve(chosen.Worker, t.spec.Resources) {
			chosen.Free = chosen.Free.Sub(t.spec.Resources)
			m.start(t, m.workers[chosen.Worker])
			return true
		}
		chosen.Free = sched.Resources{CPU: -1} // The ledger has less than it showed.
	}
	switch {
	case t.urgent:
		m.preempt(t)
	case len(t.failedOn) == 0:
		m.unplacedSizes = append(m.unplacedSizes, t.spec.Resources)
	}
	// Only the head of the line is given a worker, so that a team over its
	// quota does not gain by waiting.
	if m.reservedFor == nil && len(m.unplaced) == 0 && m.now.Sub(t.assignedAt) > reserveAfter {
		m.reserveWorker(t)
	}
	return false
}

// place asks the placer; workers on which the task failed are avoided while
// another one is big enough.
func (m *Machine) place(t *task) int {
	avoid := t.failedOn
	if len(avoid) > 0 && !m.fitsOther(t) {
		avoid = nil
	}
	if s, ok := m.placer.(place.Spreader); ok {
		return s.PlaceSpread(m.now, t.spec, m.available, avoid, func(rack string) int {
			return m.rackCounts[rackKey{t.id.Job, rack}]
		})
	}
	return m.placer.Place(m.now, t.spec, m.available, avoid)
}

// fitsOther reports whether a usable worker that the task has not failed on is
// big enough.
func (m *Machine) fitsOther(t *task) bool {
	for _, w := range m.sortedWorkers {
		if w.listed && w.inventoried && t.spec.Resources.Fits(w.capacity) &&
			!w.quarantinedUntil.After(m.now) && !slices.Contains(t.failedOn, w.name) {
			return true
		}
	}
	return false
}

// start sends a task whose resources are reserved.
func (m *Machine) start(t *task, w *worker) {
	t.state = stStarting
	t.attempt = max(t.attempt+1, int(m.epoch)<<epochShift+1)
	t.attempts++
	t.startedAt, t.confirmedAt, t.leaseUntil = m.now, time.Time{}, m.leaseLapseTime()
	t.overruns = 0
	m.attach(t, w)
	if w.nextPoll.Before(m.now) {
		w.nextPoll = m.now.Add(m.pollEvery)
	}
	m.emit(StartCmd{Worker: w.name, Start: sched.TaskStart{
		Lease: m.leaseOf(t), Class: t.spec.Class, Resources: t.spec.Resources,
		Payload: t.spec.Payload, Checkpoint: t.checkpoint,
	}})
}

// current returns the active task of an attempt on a worker.
func (m *Machine) activeAttempt(w sched.WorkerName, id sched.TaskID, attempt int) *task {
	t := m.tasks[id]
	if t == nil || !t.state.active() || t.attempt != attempt || t.worker.name != w {
		return nil
	}
	return t
}

func (m *Machine) onStartResult(msg StartResultMsg) {
	t := m.activeAttempt(msg.Worker, msg.Task, msg.Attempt)
	if t == nil {
		return
	}
	switch msg.Outcome {
	case CallOK:
		t.worker.lastContact = m.now
		m.confirmRunning(t)
	case CallRefused, CallUnavailable:
		if !t.confirmedAt.IsZero() {
			return // An inventory has shown it running.
		}
		m.countFailure(t.worker, t.id.Job)
		m.detach(t)
		m.requeue(t, startBackoff)
	case CallLost:
		// It may run: the lease of the start stands until an inventory or its
		// lapse decides.
		t.worker.nextPoll = m.now
	}
}

// confirm notes that a worker runs the task.
func (m *Machine) confirmRunning(t *task) {
	if t.confirmedAt.IsZero() {
		t.confirmedAt = m.now
		m.emit(EventCmd{To: t.home, Event: Event{
			Kind: EventProgress, Task: t.id, Phase: sched.PhaseRunning,
			Worker: t.worker.name, Attempts: t.attempts,
		}})
	}
	if t.state == stStarting {
		t.state = stRunning
	}
}

const (
	startBackoff = 200 * time.Millisecond
	failBackoff  = time.Second
	maxBackoff   = time.Minute
)

// resume queues a task again after a delay, or ends it if it is cancelled.
func (m *Machine) requeue(t *task, delay time.Duration) {
	if t.cancel && (!t.restored || !m.recovering) {
		m.finish(t, sched.PhaseCancelled, "", nil)
		return
	}
	if delay <= 0 {
		m.enqueue(t)
		return
	}
	t.state = stBackoff
	m.setTimer(t, m.now.Add(delay))
}
