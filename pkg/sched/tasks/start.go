package tasks

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
)

const (
	// minPassInterval is the minimum time between scheduling passes outside of
	// ticks. A pass copies the free capacity of every worker.
	minPassInterval = 5 * time.Millisecond
	// maxUnplaced is the number of tasks without a worker after which a pass
	// ends, so that a long queue of tasks that do not fit takes a bounded time.
	// maxUnplacedPerTeam is the number after which a pass skips the other tasks
	// of a team, so that the big tasks of one team do not block other teams.
	maxUnplaced        = 512
	maxUnplacedPerTeam = 32
	// epochShift is the number of low bits of an attempt number that count the
	// attempts within an epoch.
	epochShift = 20
)

// rackKey is the key of Machine.rackCounts, the number of active tasks of a job
// in a rack.
type rackKey struct {
	job  sched.JobID
	rack string
}

// schedulingPass starts queued tasks in the order of the queue as long as workers
// have free capacity for them.
func (m *Machine) schedulingPass(msg sched.Msg) {
	_, tick := msg.(sched.TickMsg)
	if !m.passNeeded || (!tick && m.now.Sub(m.lastPass) < minPassInterval) {
		return
	}
	m.passNeeded, m.lastPass = false, m.now
	if m.queue.teamsByShare[0].len()+m.queue.teamsByShare[1].len() == 0 {
		return
	}
	m.available = append(m.available[:0], m.ledger.FreeCapacity()...)
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

// filterAvailable removes the workers from m.available that must not get tasks:
// those that are not listed, not inventoried, quarantined or unresponsive, and
// those whose clock reading is too old.
func (m *Machine) filterAvailable() {
	m.available = slices.DeleteFunc(m.available, func(c sched.WorkerCapacity) bool {
		w := m.workers[c.Worker]
		if w != nil && m.now.Sub(w.clockAt) > maxClockAge {
			// The next tick polls the worker. Its inventory triggers another pass.
			w.pollPaused = false
			return true
		}
		return w == nil || !w.listed || !w.inventoried || w.quarantinedUntil.After(m.now) ||
			m.now.Sub(w.lastContact) > m.lease/2 && len(w.tasks) > 0
	})
}

// tryStart chooses a worker for a task and starts the task there. It reports
// false if no worker was found.
func (m *Machine) tryStart(t *task) bool {
	// A task that needs at least as much as an unplaced one does not fit either.
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
		// The ledger has less free capacity than at the start of the pass. A
		// negative value hides the worker from the rest of the pass.
		chosen.Free = sched.Resources{CPU: -1}
	}
	switch {
	case t.urgent:
		m.preempt(t)
	case len(t.failedOn) == 0:
		m.unplacedSizes = append(m.unplacedSizes, t.spec.Resources)
	}
	// A worker is reserved only for the first task of a pass that finds no
	// worker, so that a team over its quota gains nothing by waiting.
	if m.reservedFor == nil && len(m.unplaced) == 0 && m.now.Sub(t.assignedAt) > reserveAfter {
		m.reserveWorker(t)
	}
	return false
}

// place asks the placer for a worker and returns its index in m.available, or a
// negative number. Workers on which the task has failed are avoided as long as
// another usable worker is big enough.
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

// fitsOther reports whether any usable worker on which the task has not failed is
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

// start starts a task on a worker on which its resources are reserved.
func (m *Machine) start(t *task, w *worker) {
	t.state = stStarting
	t.attempt = max(t.attempt+1, int(m.epoch)<<epochShift+1)
	t.attempts++
	t.startedAt, t.confirmedAt, t.leaseUntil = m.now, time.Time{}, m.leaseExpiry()
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

// activeAttempt returns the task if this attempt of it is active on the worker,
// and nil otherwise.
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
			return // An inventory has already shown that the task runs.
		}
		m.countFailure(t.worker, t.id.Job)
		m.detach(t)
		m.requeue(t, startBackoff)
	case CallOtherIncarnation:
		m.awaitIncarnation(t.worker)
		if !t.confirmedAt.IsZero() {
			return // The next inventory shows whether the task runs.
		}
		m.detach(t)
		m.requeue(t, startBackoff)
	case CallLost:
		// The task may run. It stays active until an inventory shows its state
		// or its lease expires.
		t.worker.nextPoll = m.now
	}
}

// confirmRunning records that the worker runs the task, and reports it to the
// home shard the first time.
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
	// startBackoff is the delay after a start that the worker refused or did not
	// receive.
	startBackoff = 200 * time.Millisecond
	// failBackoff is the delay after the first failed attempt. It doubles with
	// each further one up to maxBackoff.
	failBackoff = time.Second
	maxBackoff  = time.Minute
)

// requeue queues a task again after a delay, or ends it if it is cancelled.
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
