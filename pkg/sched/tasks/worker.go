package tasks

import (
	"slices"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// benchAfter is the number of failures of different jobs in a row after
	// which a worker gets no tasks for a while; some workers fail everything.
	quarantineAfter = 3
	quarantineMin   = 30 * time.Second
	quarantineMax   = 10 * time.Minute
	// maxClockAge bounds how long a reading of a worker's clock is used. At
	// 200 ppm the clocks drift apart by 120 ms in this time, which is well
	// within the margin of a lease.
	maxClockAge = 10 * time.Minute
)

// worker is what the machine knows of one worker.
type worker struct {
	name     sched.WorkerName
	rack     string
	capacity sched.Resources
	// listed is false after the list dropped the worker or shows it leaving.
	listed bool
	// known is false until its first inventory in this ownership.
	inventoried bool
	// clean is set when an inventory shows no task of the shard, running or
	// not acknowledged. Until then the worker is polled: an acknowledgement
	// may be lost, or an attempt given up by its lease may have left a report.
	pollPaused bool
	tasks      []*task
	orphans    map[attemptRef]sched.Resources
	// unsaved are reports whose content is not journaled yet.
	unsavedReports map[attemptRef]bool

	// clock is the worker's clock as the inventory that arrived at clockAt
	// shows it.
	clock   time.Duration
	clockAt time.Time

	lastContact time.Time
	nextRenewal time.Time
	nextPoll    time.Time
	pollSeq     uint64
	pollSentAt  time.Time
	// checkAt is not after the first lapse or repeated stop of a task here.
	nextCheck time.Time

	failures         int
	lastFailedJob    sched.JobID
	quarantines      int
	quarantinedUntil time.Time
}

// ackRef identifies an attempt on a worker.
type attemptRef struct {
	worker  sched.WorkerName
	task    sched.TaskID
	attempt int
}

func (m *Machine) worker(name sched.WorkerName) *worker {
	if w := m.workers[name]; w != nil {
		return w
	}
	w := &worker{
		name: name, lastContact: m.now,
		orphans: map[attemptRef]sched.Resources{}, unsavedReports: map[attemptRef]bool{},
	}
	m.workers[name] = w
	i, _ := slices.BinarySearchFunc(m.sortedWorkers, name, func(w *worker, n sched.WorkerName) int {
		return strings.Compare(string(w.name), string(n))
	})
	m.sortedWorkers = slices.Insert(m.sortedWorkers, i, w)
	return w
}

// onWorkers takes the current list. A worker that is no longer listed is kept
// while tasks may run there.
func (m *Machine) onWorkers(list []sched.Instance) {
	for _, w := range m.sortedWorkers {
		w.listed = false
	}
	for i := range list {
		// The previous owner may have seen a worker before this entry's list
		// showed it.
		if name := sched.WorkerName(list[i].Name); m.recovering && m.workers[name] == nil {
			m.awaitingInventory[name] = true
		}
		m.addWorker(&list[i])
	}
	for i := range list {
		if list[i].State == sched.StateLeaving {
			m.evictAll(m.workers[sched.WorkerName(list[i].Name)])
		}
	}
	m.forgetWorkers()
	m.applyConfig()
	m.requeueUnfit()
}

// leave moves the tasks off a worker that is leaving.
func (m *Machine) evictAll(w *worker) {
	for _, t := range w.tasks {
		m.evict(t, "worker "+string(w.name)+" is leaving", false)
	}
}

// maxSizes bounds the sizes of workers that are remembered; a fleet has a few.
const maxWorkerSizes = 64

func (m *Machine) addWorker(in *sched.Instance) {
	w := m.worker(sched.WorkerName(in.Name))
	w.rack, w.capacity = in.Rack, in.Capacity
	w.listed = in.State == sched.StateLive
	if w.listed && len(m.workerSizes) < maxWorkerSizes {
		m.workerSizes[in.Capacity] = true
	}
}

func (m *Machine) forgetWorkers() {
	m.sortedWorkers = slices.DeleteFunc(m.sortedWorkers, func(w *worker) bool {
		gone := !w.listed && len(w.tasks) == 0 && len(w.orphans) == 0 &&
			len(w.unsavedReports) == 0 && !m.awaitingInventory[w.name]
		if gone {
			delete(m.workers, w.name)
		}
		return gone
	})
}

// refit queues tasks that fitted no worker if one fits now.
func (m *Machine) requeueUnfit() {
	for _, t := range slices.Clone(m.timers.items) {
		if t.state == stUnfit && m.fitsAny(t) {
			m.timers.remove(t)
			m.enqueue(t)
		}
	}
}

// tendWorkers polls, renews, and releases tasks whose lease has lapsed.
func (m *Machine) maintainWorkers() {
	for _, w := range m.sortedWorkers {
		m.pollIfDue(w)
		if !m.suspended && !w.nextRenewal.After(m.now) {
			m.renew(w)
		}
		m.checkTasks(w)
	}
}

func (m *Machine) pollIfDue(w *worker) {
	waiting := w.pollSeq != 0 && m.now.Sub(w.pollSentAt) < m.callTimeout+m.margin
	if waiting || w.pollPaused || w.nextPoll.After(m.now) {
		return
	}
	m.pollWorker(w)
}

func (m *Machine) pollWorker(w *worker) {
	m.lastPollSeq++
	w.pollSeq, w.pollSentAt, w.nextPoll = m.lastPollSeq, m.now, m.now.Add(m.pollEvery)
	m.emit(InventoryCmd{Worker: w.name, Seq: w.pollSeq, Epoch: m.epoch})
}

// renew extends the leases of a worker's tasks. It stops when the worker has
// been silent for half a lease: renewals that may arrive but are not answered
// would put off the restart of its tasks without bound.
func (m *Machine) renew(w *worker) {
	w.nextRenewal = m.now.Add(m.renewEvery)
	if m.now.Sub(w.lastContact) > m.lease/2 {
		return
	}
	var leases []sched.Lease
	for _, t := range w.tasks {
		if t.confirmedAt.IsZero() {
			continue
		}
		leases = append(leases, m.leaseOf(t))
		t.leaseUntil = m.leaseLapseTime()
	}
	if len(leases) > 0 {
		m.emit(RenewCmd{Worker: w.name, Leases: leases})
	}
}

// lapse returns when a lease that is sent now has certainly lapsed.
func (m *Machine) leaseLapseTime() time.Time { return m.now.Add(m.callTimeout + m.lease + m.margin) }

func (m *Machine) leaseOf(t *task) sched.Lease {
	return sched.Lease{
		Task: t.id, Shard: m.shard, Epoch: m.epoch, Attempt: t.attempt, Duration: m.lease,
		NotAfter: m.notAfter(t.worker),
	}
}

// notAfter returns the reading of the worker's clock after which a lease that
// is sent now must not take effect. The clock ran on by at least the time since
// the inventory arrived, so the reading is reached before lapse counts on it.
func (m *Machine) notAfter(w *worker) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + m.now.Sub(w.clockAt) + m.callTimeout
}

func (m *Machine) checkTasks(w *worker) {
	if w.nextCheck.After(m.now) {
		return
	}
	w.nextCheck = m.now.Add(m.lease)
	for i := len(w.tasks) - 1; i >= 0; i-- {
		t := w.tasks[i]
		switch {
		case !t.leaseUntil.After(m.now):
			m.endWithoutReport(t, "lease lapsed on worker "+string(w.name))
		case t.state == stStopping && !t.nextStop.After(m.now):
			m.sendStop(t)
		default:
			w.scheduleCheck(t)
		}
	}
}

// check makes the worker's next check early enough for a task.
func (w *worker) scheduleCheck(t *task) {
	if t.leaseUntil.Before(w.nextCheck) {
		w.nextCheck = t.leaseUntil
	}
	if t.state == stStopping && t.nextStop.Before(w.nextCheck) {
		w.nextCheck = t.nextStop
	}
}

func (m *Machine) onRenewResult(msg RenewResultMsg) {
	w := m.workers[msg.Worker]
	if w == nil || msg.Outcome != CallOK {
		return
	}
	w.lastContact = m.now
	if len(msg.Missing) > 0 {
		w.nextPoll = m.now // The inventory tells how they ended.
	}
}

// attach makes a task active on a worker.
func (m *Machine) attach(t *task, w *worker) {
	t.worker, t.workerIndex, t.rack = w, len(w.tasks), w.rack
	w.tasks, w.pollPaused = append(w.tasks, t), false
	m.queue.addUsage(t.team, t.spec.Resources, 1)
	m.rackCounts[rackKey{t.id.Job, t.rack}]++
	w.scheduleCheck(t)
}

// detach ends the activity of a task and returns its resources. The task keeps
// the worker for its status.
func (m *Machine) detach(t *task) {
	w := t.worker
	last := len(w.tasks) - 1
	w.tasks[t.workerIndex] = w.tasks[last]
	w.tasks[t.workerIndex].workerIndex = t.workerIndex
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	m.queue.addUsage(t.team, t.spec.Resources, -1)
	k := rackKey{t.id.Job, t.rack}
	if m.rackCounts[k]--; m.rackCounts[k] <= 0 {
		delete(m.rackCounts, k)
	}
	m.ledger.Release(w.name, t.spec.Resources)
	m.passNeeded = true
}

// strike counts a failure against a worker. Failures of one job in a row count
// once, because the job may be at fault.
func (m *Machine) countFailure(w *worker, job sched.JobID) {
	if w.failures > 0 && w.lastFailedJob == job {
		return
	}
	w.failures++
	w.lastFailedJob = job
	if w.failures >= quarantineAfter {
		w.quarantinedUntil = m.now.Add(min(quarantineMin<<min(w.quarantines, 8), quarantineMax))
		w.quarantines++
		w.failures = 0
	}
}

func (w *worker) resetFailures() { w.failures, w.quarantines = 0, 0 }

// markUnsaved notes that a report must not be acknowledged yet.
func (m *Machine) markUnsaved(ack *attemptRef) {
	if ack != nil {
		m.worker(ack.worker).unsavedReports[*ack] = true
	}
}

// acknowledge lets the worker forget a report.
func (m *Machine) acknowledge(ack *attemptRef) {
	if ack == nil {
		return
	}
	if w := m.workers[ack.worker]; w != nil {
		delete(w.unsavedReports, *ack)
	}
	m.emit(AcknowledgeCmd{Worker: ack.worker, Leases: []sched.Lease{{
		Task: ack.task, Shard: m.shard, Epoch: m.epoch, Attempt: ack.attempt,
	}}})
}
