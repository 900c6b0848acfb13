package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// taskState is the state of a hosted task.
type taskState uint8

const (
	// stHeld waits for the end of the recovery: the previous owner may have
	// started it.
	stRecovering taskState = iota
	// stQueued waits for capacity.
	stQueued
	// stBackoff waits before its next attempt.
	stBackoff
	// stUnfit fits no worker of the shard.
	stUnfit
	// stStarting has been sent to a worker; it may run.
	stStarting
	stRunning
	// stStopping runs and is to be stopped.
	stStopping
	// stSaving has ended on its worker; the checkpoint is being journaled.
	stSaving
	// stEnding is final; the end is being journaled.
	stEnding
	// stEnded is final and journaled; the home has not acknowledged it.
	stEnded
)

// active reports whether the task holds resources on a worker.
func (s taskState) active() bool { return s == stStarting || s == stRunning || s == stStopping }

// final reports whether the outcome of the task is decided.
func (s taskState) final() bool { return s == stEnding || s == stEnded }

// task is a task at its host.
type task struct {
	id         sched.TaskID
	home       sched.ShardID
	spec       sched.TaskSpec
	team       sched.TeamName
	urgent     bool
	assignedAt time.Time

	state taskState
	// restored says that a previous owner may have started the task.
	restored bool
	cancel   bool
	// attempt is the highest attempt known; closed the highest whose end a
	// worker has reported; count the number of attempts.
	attempt, endedAttempt, attempts int
	endedAt                         time.Time
	checkpoint                      string
	failedOn                        []sched.WorkerName
	lastErr                         string
	lastProgress                    *progressRecord
	end                             *endRecord

	worker      *worker
	workerIndex int
	rack        string
	// startedAt is when the start was sent, confirmedAt when the worker first
	// confirmed it (zero before).
	startedAt, confirmedAt time.Time
	// until is when the lease has certainly lapsed.
	leaseUntil         time.Time
	predictedRunTime   time.Duration
	overruns           int
	evictedAt          time.Time
	nextStop           time.Time
	stopWithCheckpoint bool

	orderKey int64
	queuePos int
	timerAt  time.Time
	timerPos int
}

// incoming is an assignment whose journal append is in progress.
type pendingAssign struct{ cancel bool }

// tomb remembers a task that the home knows to be final, so that a delayed
// duplicate of its assignment does not run it again.
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
			end.Told, end.At = true, m.now.UnixNano()
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
	in := &pendingAssign{}
	m.pendingAssigns[e.Task] = in
	rec := &assignRecord{
		Home: from, Task: e.Task, Spec: e.Spec, Team: m.teamName(e.Team),
		Urgent: e.Urgent, At: m.now.UnixNano(),
	}
	m.appendOnce(record{Assign: rec}, func(ok, _ bool) {
		delete(m.pendingAssigns, e.Task)
		if !ok {
			return // The home repeats the assignment.
		}
		t := newTask(rec)
		t.restored = false
		m.tasks[e.Task] = t
		m.emit(ack)
		if in.cancel {
			m.finish(t, sched.PhaseCancelled, "", nil)
			return
		}
		m.enqueue(t)
	})
}

func (m *Machine) teamName(name sched.TeamName) sched.TeamName {
	if m.config != nil {
		if t, ok := m.config.Team(name); ok {
			return t.Name
		}
	}
	return name
}

// onCancelTask decides a cancel. A task that has not been started ends at
// once; one that may run is stopped, and its report decides.
func (m *Machine) onCancelTask(from sched.ShardID, e Event) {
	if in := m.pendingAssigns[e.Task]; in != nil {
		in.cancel = true
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
		// Recovery decides: the task may run on a silent worker.
	default:
		m.finish(t, sched.PhaseCancelled, "", nil)
	}
}

// enqueue puts a task that may start into the queue, or aside if it cannot.
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

// dequeue takes a task that does not run out of every waiting structure.
func (m *Machine) dequeue(t *task) {
	if t.state == stQueued {
		m.queue.remove(t)
	}
	m.timers.remove(t)
}

func (m *Machine) fitsAny(t *task) bool {
	for _, w := range m.sortedWorkers {
		if w.listed && t.spec.Resources.Fits(w.capacity) {
			return true
		}
	}
	return false
}

// mayFitLater reports whether a task waits for workers that went away rather
// than for ones that never were: the shard has no worker at all, as when its
// data centre is cut off, or it had one that was big enough.
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

// runTimers ends backoffs and the wait of tasks that fit no worker.
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

// finish decides the outcome of a task once, journals it, and then reports it
// to the home and acknowledges the worker's report.
func (m *Machine) finish(t *task, phase sched.TaskPhase, why string, ack *attemptRef) {
	m.dequeue(t)
	t.state = stEnding
	t.end = &endRecord{
		Home: t.home, Task: t.id, Phase: phase, Attempts: t.attempts,
		Error: why, At: m.now.UnixNano(),
	}
	if t.worker != nil {
		t.end.Worker = t.worker.name
	}
	m.markUnsaved(ack)
	m.persist(record{End: t.end}, nil, func() {
		t.state = stEnded
		m.acknowledge(ack)
		m.sendUntilAcked(t.home, t.end.event())
	})
}

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

func (m *Machine) expireTombstones() {
	n := 0
	for n < len(m.tombstonesByAge) && m.now.Sub(fromUnixNano(m.tombstonesByAge[n].end.At)) >= m.tombstoneRetention {
		delete(m.tombstones, m.tombstonesByAge[n].end.Task)
		n++
	}
	m.tombstonesByAge = m.tombstonesByAge[n:]
}
