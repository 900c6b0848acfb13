package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// taskState is the state of a task at its hosting shard.
type taskState uint8

const (
	// stRecovering means that the previous owner may have started the task. It
	// waits for the end of the recovery.
	stRecovering taskState = iota
	// stQueued means that the task waits for free capacity.
	stQueued
	// stBackoff means that the task waits for the delay before its next attempt.
	stBackoff
	// stUnfit means that the task is too big for every worker of the shard.
	stUnfit
	// stStarting means that the start was sent to a worker and is not confirmed.
	// The task may run.
	stStarting
	// stRunning means that the worker has confirmed that the task runs.
	stRunning
	// stStopping means that a stop was sent, or that the task is throttled before
	// the stop.
	stStopping
	// stSaving means that the attempt has ended on its worker, but the task has
	// not. The checkpoint or the failure is being journaled.
	stSaving
	// stEnding means that the final state is decided and is being journaled.
	stEnding
	// stEnded means that the final state is journaled, but not yet acknowledged
	// by the home shard.
	stEnded
)

// active reports whether the task holds resources on a worker.
func (s taskState) active() bool { return s == stStarting || s == stRunning || s == stStopping }

// final reports whether the final state of the task is decided.
func (s taskState) final() bool { return s == stEnding || s == stEnded }

// task is the state of a task at its hosting shard.
type task struct {
	id         sched.TaskID
	home       sched.ShardID
	spec       sched.TaskSpec
	team       sched.TeamName
	urgent     bool
	assignedAt time.Time

	state taskState
	// restored is set while a previous owner may have started the task.
	restored bool
	// cancel is set when the home shard has cancelled the task.
	cancel bool
	// attempt is the highest known attempt number. endedAttempt is the highest
	// one whose end a worker has reported, at endedAt. attempts is the number of
	// attempts.
	attempt, endedAttempt, attempts int
	endedAt                         time.Time
	checkpoint                      string
	// failedOn lists the worker of each failed attempt.
	failedOn []sched.WorkerName
	lastErr  string
	// lastProgress is the newest progress record in the journal, of this owner or
	// an earlier one.
	lastProgress *progressRecord
	// end is the final state, if it is decided.
	end *endRecord

	// worker runs the task if it is active, and otherwise is the last one that
	// did. workerIndex is the position of an active task in worker.tasks.
	worker      *worker
	workerIndex int
	rack        string
	// startedAt is when the start was sent. confirmedAt is when the worker first
	// confirmed that the task runs, or zero.
	startedAt, confirmedAt time.Time
	// leaseUntil is the time by which the lease has certainly expired.
	leaseUntil       time.Time
	predictedRunTime time.Duration
	overruns         int
	evictedAt        time.Time
	// nextStop is when a stopping task is sent the next stop.
	nextStop           time.Time
	stopWithCheckpoint bool

	// orderKey orders the queue of a team. queuePos and timerPos are the
	// positions in the heaps of the queue and the timers.
	orderKey int64
	queuePos int
	timerAt  time.Time
	timerPos int
}

// pendingAssign is an assignment whose journal append is in progress. cancel is
// set if a cancel arrives meanwhile.
type pendingAssign struct{ cancel bool }

// tombstone records a task that has ended and whose final state the home shard
// has acknowledged. A delayed duplicate of the assignment must not run the task
// again.
type tombstone struct{ end endRecord }

func timerLess(a, b *task) bool {
	if !a.timerAt.Equal(b.timerAt) {
		return a.timerAt.Before(b.timerAt)
	}
	return compareIDs(a.id, b.id) < 0
}

func newTask(r *assignRecord) *task {
	return &task{
		id: r.Task, home: r.Home, spec: r.Spec, team: r.Team,
		urgent: r.Urgent, assignedAt: fromUnixNano(r.At), restored: true,
	}
}

func (m *Machine) onHostEvent(from sched.ShardID, e Event) {
	switch e.Kind {
	case EventAssign:
		m.onAssign(from, e)
	case EventCancel:
		m.onCancelTask(from, e)
	case EventFinishAck:
		m.stopResending(EventFinished, e.Task)
		if t := m.tasks[e.Task]; t != nil && t.state == stEnded {
			end := *t.end
			end.Acknowledged, end.At = true, m.now.UnixNano()
			delete(m.tasks, e.Task)
			m.addTombstone(&tombstone{end: end})
		}
	}
}

func (m *Machine) onAssign(from sched.ShardID, e Event) {
	ack := EventCmd{To: from, Event: Event{Kind: EventAssigned, Task: e.Task}}
	if m.tasks[e.Task] != nil || m.tombstones[e.Task] != nil {
		m.emit(ack)
		return
	}
	if m.pendingAssigns[e.Task] != nil {
		return
	}
	pending := &pendingAssign{}
	m.pendingAssigns[e.Task] = pending
	rec := &assignRecord{
		Home: from, Task: e.Task, Spec: e.Spec, Team: m.teamName(e.Team),
		Urgent: e.Urgent, At: m.now.UnixNano(),
	}
	m.appendOnce(record{Assign: rec}, func(ok, _ bool) {
		delete(m.pendingAssigns, e.Task)
		if !ok {
			return // The home shard sends the assignment again.
		}
		t := newTask(rec)
		t.restored = false
		m.tasks[e.Task] = t
		m.emit(ack)
		if pending.cancel {
			m.finish(t, sched.PhaseCancelled, "", nil)
			return
		}
		m.enqueue(t)
	})
}

// teamName returns the current name of a team that may have been renamed.
func (m *Machine) teamName(name sched.TeamName) sched.TeamName {
	if m.config != nil {
		if t, ok := m.config.Team(name); ok {
			return t.Name
		}
	}
	return name
}

// onCancelTask cancels a task. A task that has not been started ends at once. A
// task that may run is stopped, and the worker's report decides its final state.
func (m *Machine) onCancelTask(from sched.ShardID, e Event) {
	if pending := m.pendingAssigns[e.Task]; pending != nil {
		pending.cancel = true
		return
	}
	if ended := m.tombstones[e.Task]; ended != nil {
		m.emit(EventCmd{To: from, Event: ended.end.event()})
		return
	}
	t := m.tasks[e.Task]
	if t == nil {
		t = newTask(&assignRecord{
			Home: from, Task: e.Task, Spec: e.Spec, Team: e.Team,
			Urgent: e.Urgent, At: m.now.UnixNano(),
		})
		t.restored = false
		m.tasks[e.Task] = t
	}
	if t.cancel || t.state.final() {
		return
	}
	t.cancel = true
	switch {
	case t.state.active():
		m.stop(t, false)
	case t.state == stRecovering && t.restored:
		// The task may run on a worker that has not answered since the takeover.
		// The cancel takes effect when an inventory shows the task, or at the end
		// of the recovery.
	default:
		m.finish(t, sched.PhaseCancelled, "", nil)
	}
}

// enqueue queues a task. If the task cannot start now, enqueue puts it into the
// state that it waits in, or ends it if it is cancelled.
func (m *Machine) enqueue(t *task) {
	switch {
	case t.restored && m.recovering:
		t.state = stRecovering
	case t.cancel:
		m.finish(t, sched.PhaseCancelled, "", nil)
	case !m.fitsAny(t):
		t.state = stUnfit
		m.setTimer(t, m.now.Add(m.noFitWait))
	default:
		t.state, t.restored = stQueued, false
		t.predictedRunTime = m.runTimes.predict(m.config, &t.spec)
		t.orderKey = t.assignedAt.Add(min(t.predictedRunTime, maxRunTimePenalty)).UnixNano()
		m.queue.push(t)
		m.passNeeded = true
	}
}

// dequeue removes a task that is not active from the queue and the timers.
func (m *Machine) dequeue(t *task) {
	if t.state == stQueued {
		m.queue.remove(t)
	}
	m.timers.remove(t)
}

// fitsAny reports whether any listed worker is big enough for a task.
func (m *Machine) fitsAny(t *task) bool {
	for _, w := range m.sortedWorkers {
		if w.listed && t.spec.Resources.Fits(w.capacity) {
			return true
		}
	}
	return false
}

// mayFitLater reports whether a task that fits no listed worker may fit one
// later: the shard had a worker that was big enough, or it has no worker at all
// now, for example because its data centre is unreachable.
func (m *Machine) mayFitLater(t *task) bool {
	for size := range m.workerSizes {
		if t.spec.Resources.Fits(size) {
			return true
		}
	}
	for _, w := range m.sortedWorkers {
		if w.listed {
			return false
		}
	}
	return true
}

func (m *Machine) setTimer(t *task, at time.Time) {
	m.timers.remove(t)
	t.timerAt = at
	m.timers.push(t)
}

// runTimers queues the tasks whose backoff has ended, and checks the tasks that
// fit no worker.
func (m *Machine) runTimers() {
	for {
		t, ok := m.timers.top()
		if !ok || t.timerAt.After(m.now) {
			return
		}
		m.timers.remove(t)
		switch t.state {
		case stBackoff:
			m.enqueue(t)
		case stUnfit:
			if m.fitsAny(t) {
				m.enqueue(t)
				continue
			}
			if m.mayFitLater(t) {
				m.setTimer(t, m.now.Add(m.noFitWait))
				continue
			}
			m.finish(t, sched.PhaseNotRunnable,
				"no worker is big enough: needs "+t.spec.Resources.String(), nil)
		}
	}
}

// finish sets the final state of a task and journals it. Once it is durable,
// finish reports it to the home shard and acknowledges the worker's report, if
// there is one.
func (m *Machine) finish(t *task, phase sched.TaskPhase, why string, ref *attemptRef) {
	m.dequeue(t)
	t.state = stEnding
	t.end = &endRecord{
		Home: t.home, Task: t.id, Phase: phase, Attempts: t.attempts,
		Error: why, At: m.now.UnixNano(),
	}
	if t.worker != nil {
		t.end.Worker = t.worker.name
	}
	m.markUnsaved(ref)
	m.persist(record{End: t.end}, nil, func() {
		t.state = stEnded
		m.acknowledge(ref)
		m.sendUntilAcked(t.home, t.end.event())
	})
}

// event returns the event that reports the final state to the home shard.
func (r *endRecord) event() Event {
	return Event{
		Kind: EventFinished, Task: r.Task, Phase: r.Phase, Worker: r.Worker,
		Attempts: r.Attempts, Error: r.Error,
	}
}

func (m *Machine) addTombstone(ts *tombstone) {
	delete(m.tasks, ts.end.Task)
	m.tombstones[ts.end.Task] = ts
	m.tombstonesByAge = append(m.tombstonesByAge, ts)
}

// expireTombstones drops the tombstones beyond their retention time.
func (m *Machine) expireTombstones() {
	n := 0
	for n < len(m.tombstonesByAge) && m.now.Sub(fromUnixNano(m.tombstonesByAge[n].end.At)) >= m.tombstoneRetention {
		delete(m.tombstones, m.tombstonesByAge[n].end.Task)
		n++
	}
	m.tombstonesByAge = m.tombstonesByAge[n:]
}
