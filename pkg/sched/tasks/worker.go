package tasks

import (
	"slices"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// quarantineAfter is the number of consecutive failures after which a worker
	// is quarantined, because some workers fail every task. Consecutive failures
	// of the same job count as one.
	quarantineAfter = 3
	// quarantineMin is the length of the first quarantine. It doubles with each
	// further one up to quarantineMax, until a task succeeds on the worker.
	quarantineMin = 30 * time.Second
	quarantineMax = 10 * time.Minute
	// maxClockAge is how long a reading of a worker's clock is used. At 200 ppm
	// the clocks drift apart by 120 ms in this time, which is well within the
	// safety margin of a lease.
	maxClockAge = 10 * time.Minute
)

// worker is the state of one worker of the shard.
type worker struct {
	name     sched.WorkerName
	rack     string
	capacity sched.Resources
	// listed is set while the instance list shows the worker as live.
	listed bool
	// inventoried is set by the first inventory in this ownership. It is cleared when
	// the worker turns out to have restarted, until it has sent another inventory.
	inventoried bool
	// pollPaused is set when an inventory shows no task of the shard, neither
	// running nor unacknowledged. Until then the worker is polled, because an
	// acknowledgement may be lost, or an attempt whose lease expired may have
	// left a report.
	pollPaused bool
	// tasks are the active tasks on the worker.
	tasks []*task
	// orphans are attempts on the worker that must not run, with their
	// resources, until they have ended.
	orphans map[attemptRef]sched.Resources
	// unsavedReports are the reports whose content is not journaled yet. They
	// must not be acknowledged.
	unsavedReports map[attemptRef]bool

	// clock is the reading of the worker's clock in the inventory that arrived
	// at clockAt, and incarnation the one whose clock it is.
	clock       time.Duration
	clockAt     time.Time
	incarnation sched.Incarnation

	lastContact time.Time
	nextRenewal time.Time
	nextPoll    time.Time
	// pollSeq is the sequence number of the poll in progress, or 0.
	pollSeq    uint64
	pollSentAt time.Time
	// nextCheck is not later than the first lease expiry or the next stop of a
	// task on the worker.
	nextCheck time.Time

	// failures is the number of consecutive failures that count toward the next
	// quarantine, quarantines the number of quarantines since the last success.
	failures         int
	lastFailedJob    sched.JobID
	quarantines      int
	quarantinedUntil time.Time
}

// attemptRef identifies an attempt of a task on a worker.
type attemptRef struct {
	worker  sched.WorkerName
	task    sched.TaskID
	attempt int
}

// worker returns the worker with this name, and adds it if it is new.
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

// onWorkers applies a new list of workers. A worker that is no longer listed is
// kept while tasks may run on it.
func (m *Machine) onWorkers(list []sched.Instance) {
	for _, w := range m.sortedWorkers {
		w.listed = false
	}
	for i := range list {
		// The previous owner may have started tasks on this worker before the
		// worker appeared in this entry's list.
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

// evictAll evicts all tasks of a worker that is leaving.
func (m *Machine) evictAll(w *worker) {
	for _, t := range w.tasks {
		m.evict(t, "worker "+string(w.name)+" is leaving", false)
	}
}

// maxWorkerSizes bounds Machine.workerSizes. A fleet has only a few sizes.
const maxWorkerSizes = 64

// addWorker adds a worker of the instance list, or updates it.
func (m *Machine) addWorker(in *sched.Instance) {
	w := m.worker(sched.WorkerName(in.Name))
	w.rack, w.capacity = in.Rack, in.Capacity
	w.listed = in.State == sched.StateLive
	if w.listed && len(m.workerSizes) < maxWorkerSizes {
		m.workerSizes[in.Capacity] = true
	}
}

// forgetWorkers drops the workers that are not listed and that can have no task
// or report of the shard.
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

// requeueUnfit queues the tasks that were too big for every worker and fit one
// now.
func (m *Machine) requeueUnfit() {
	for _, t := range slices.Clone(m.timers.items) {
		if t.state == stUnfit && m.fitsAny(t) {
			m.timers.remove(t)
			m.enqueue(t)
		}
	}
}

// maintainWorkers sends the inventory polls and lease renewals that are due, and
// ends the attempts whose lease has expired.
func (m *Machine) maintainWorkers() {
	for _, w := range m.sortedWorkers {
		m.pollIfDue(w)
		if !m.suspended && !w.nextRenewal.After(m.now) {
			m.renew(w)
		}
		m.checkTasks(w)
	}
}

// pollIfDue polls a worker unless an answer is outstanding or polling is paused.
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

// renew renews the leases of the tasks on a worker. It does nothing if the worker
// has not answered for half a lease. Each renewal that may have arrived postpones
// the time at which the tasks may be restarted elsewhere, so renewals to a worker
// that never answers would postpone it without bound.
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
		t.leaseUntil = m.leaseExpiry()
	}
	if len(leases) > 0 {
		m.emit(RenewCmd{Worker: w.name, Leases: leases})
	}
}

// leaseExpiry returns the time by which a lease sent now has certainly
// expired.
func (m *Machine) leaseExpiry() time.Time { return m.now.Add(m.callTimeout + m.lease + m.margin) }

// leaseOf returns a lease of the current attempt of an active task.
func (m *Machine) leaseOf(t *task) sched.Lease {
	return sched.Lease{
		Task: t.id, Shard: m.shard, Epoch: m.epoch, Attempt: t.attempt, Duration: m.lease,
		NotAfter: m.notAfter(t.worker), Incarnation: t.worker.incarnation,
	}
}

// notAfter returns the reading of the worker's clock after which the worker must
// ignore a lease that is sent now, or 0 if the clock is not known. The worker
// read its clock before the inventory arrived, so the clock has advanced by at
// least the time since the arrival. It therefore reaches the returned reading
// within the call timeout, as leaseExpiry assumes. If the worker has restarted since,
// its clock began anew and may be far behind the returned reading; the incarnation in
// the lease rules that out.
func (m *Machine) notAfter(w *worker) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + m.now.Sub(w.clockAt) + m.callTimeout
}

// awaitIncarnation lets no task start on a worker that has restarted until it has
// sent an inventory. It requests one at once: an outstanding poll may never be answered,
// and an answer may still come from the earlier incarnation.
func (m *Machine) awaitIncarnation(w *worker) {
	w.inventoried, w.pollPaused = false, false
	w.pollSeq, w.nextPoll = 0, m.now
}

// checkTasks ends the attempts on a worker whose lease has expired, and repeats
// the stops that are due. It does nothing before nextCheck.
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

// scheduleCheck makes nextCheck earlier if a task needs an earlier check.
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
		w.nextPoll = m.now // The inventory shows how the missing tasks ended.
	}
}

// attach makes a task active on a worker. The caller has reserved its resources.
func (m *Machine) attach(t *task, w *worker) {
	t.worker, t.workerIndex, t.rack = w, len(w.tasks), w.rack
	w.tasks, w.pollPaused = append(w.tasks, t), false
	m.queue.addUsage(t.team, t.spec.Resources, 1)
	m.rackCounts[rackKey{t.id.Job, t.rack}]++
	w.scheduleCheck(t)
}

// detach removes an active task from its worker and releases its resources.
// task.worker keeps its value, because the final state reports the worker.
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

// countFailure counts a failed attempt against a worker. Consecutive failures of
// the same job count as one, because the cause may be the job.
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

// resetFailures restarts the failure count after a success.
func (w *worker) resetFailures() { w.failures, w.quarantines = 0, 0 }

// markUnsaved records that a report must not be acknowledged until its content
// is journaled.
func (m *Machine) markUnsaved(ref *attemptRef) {
	if ref != nil {
		m.worker(ref.worker).unsavedReports[*ref] = true
	}
}

// acknowledge tells the worker that it may drop a report.
func (m *Machine) acknowledge(ref *attemptRef) {
	if ref == nil {
		return
	}
	if w := m.workers[ref.worker]; w != nil {
		delete(w.unsavedReports, *ref)
	}
	m.emit(AcknowledgeCmd{Worker: ref.worker, Leases: []sched.Lease{{
		Task: ref.task, Shard: m.shard, Epoch: m.epoch, Attempt: ref.attempt,
	}}})
}
