package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// handoverWait bounds how long a machine that resigns waits until the changes of
	// jobs are durable.
	handoverWait = 400 * time.Millisecond
	// maxHandoverSize bounds the record. The store accepts values of a megabyte.
	maxHandoverSize = 700_000
)

// resignation is the last part of a term that ends voluntarily. Once it has begun, the
// machine issues no orders, and nothing that arrives changes what it knows of runs.
type resignation struct {
	began, done bool
	at          time.Time
	skipped     []sched.JobID
}

// resign begins the resignation.
func (m *Machine) resign(msg ResignMsg) {
	m.resignation = resignation{began: true, at: m.now, skipped: msg.Skipped}
	m.log("resignation begins", "term", m.term, "uncommitted", len(m.commits.changed), "loaded", m.loaded)
	m.commits.notBefore = m.now
	m.handOver()
}

// updateResigned consumes a message after the resignation has begun. Only the results of
// commits matter. What the machine does not learn any more counts as running.
func (m *Machine) updateResigned(msg sched.Msg) {
	switch msg := msg.(type) {
	case CommittedMsg:
		m.handleCommitted(msg)
	case CommitFailedMsg:
		m.handleCommitFailed(msg)
	}
	if !m.lost {
		m.handOver()
	}
}

// handOver records the changes of jobs. When all are durable, or the time is up, it
// returns the record of the runs.
func (m *Machine) handOver() {
	m.commit()
	if m.loaded && len(m.commits.changed) > 0 && m.now.Sub(m.resignation.at) < handoverWait {
		return
	}
	m.resignation.done = true
	if !m.loaded {
		m.emit(HandoverCmd{})
		return
	}
	h := m.newHandover()
	b := h.encode()
	m.log("runs handed over", "term", m.term, "workers", len(h.Workers), "jobs", len(h.Jobs), "earlierLeader", h.EarlierLeader,
		"uncommitted", len(m.commits.changed), "bytes", len(b), "took", m.now.Sub(m.resignation.at))
	if len(b) > maxHandoverSize {
		h.dropWaiting()
		b = h.encode()
	}
	if len(b) > maxHandoverSize {
		b = nil
	}
	m.emit(HandoverCmd{Value: b})
}

// handoverBuilder builds the record of a machine that resigns.
type handoverBuilder struct {
	m       *Machine
	record  *handover
	workers map[*worker]int
	jobs    map[sched.JobID]int
}

// newHandover returns what the machine knows of runs.
func (m *Machine) newHandover() *handover {
	r := &m.recovery
	b := handoverBuilder{m, &handover{Term: m.term}, map[*worker]int{}, map[sched.JobID]int{}}
	b.record.EarlierLeader = len(r.holders) > 0 && !r.handedOver
	for _, w := range m.order {
		for _, x := range w.list {
			b.addTask(x.task, b.addWorker(w))
		}
	}
	for _, w := range r.awaited {
		for _, t := range r.named[w] {
			b.addTask(t, b.addWorker(w))
		}
		if r.holders[w] {
			b.addHolder(w, r.left(w, m.now))
		}
	}
	for _, j := range m.live {
		b.addUnresolved(j)
		b.addWaiting(j)
	}
	b.addUnrecorded()
	return b.record
}

// left returns how long the leases that an earlier leader granted may last.
func (r *recovery) left(w *worker, now time.Time) time.Duration {
	until := r.expiresAt(w)
	if until.IsZero() {
		return unknownLeft
	}
	return max(until.Sub(now), 0)
}

// addUnresolved adds the tasks of a job that a leader before this one may have started
// on any holder.
func (b *handoverBuilder) addUnresolved(j *job) {
	var unresolved []*task
	waiting := 0
	for _, t := range j.tasks() {
		if t.phase == phaseDone {
			continue
		}
		waiting++
		if t.unresolved {
			unresolved = append(unresolved, t)
		}
	}
	// Later occurrences of a repeated job may have been opened by the earlier leader.
	if j.inherited && (len(unresolved) == waiting || j.spec.Repeat > 0) {
		b.job(j.spec.ID).Unresolved = true
		return
	}
	for _, t := range unresolved {
		b.addTask(t, anyHolder)
	}
}

// addWaiting adds the tasks of a job that wait for a worker.
func (b *handoverBuilder) addWaiting(j *job) {
	for _, t := range j.tasks() {
		waited := b.m.now.Sub(t.queuedAt)
		if t.phase != phaseQueued || waited <= 0 && t.checkpoint == "" {
			continue
		}
		x := b.job(j.spec.ID)
		x.Waiting = append(x.Waiting, handoverWaitingTask{
			Occurrence: t.step.occ.index, Step: t.step.index, Index: t.index, Waited: waited, Checkpoint: t.checkpoint,
		})
	}
}

// addUnrecorded adds the jobs of which the store does not show what this machine knows,
// and the skipped ones. A worker lists an end again whose effect is not durable. Runs of
// a skipped job may be on any worker.
func (b *handoverBuilder) addUnrecorded() {
	var unrecorded []sched.JobID
	for j := range b.m.commits.changed {
		unrecorded = append(unrecorded, j.spec.ID)
	}
	unrecorded = append(unrecorded, b.m.resignation.skipped...)
	slices.Sort(unrecorded)
	for _, id := range unrecorded {
		b.job(id).Unresolved = true
	}
	for _, w := range b.m.order {
		if len(w.pending) > 0 || len(b.m.resignation.skipped) > 0 && !w.leftOut {
			b.addHolder(w, b.m.orderLifetime())
		}
	}
}

// addTask adds a task that may be running on a worker.
func (b *handoverBuilder) addTask(t *task, worker int) {
	j := b.job(t.job().spec.ID)
	j.Tasks = append(j.Tasks, handoverTask{
		Occurrence: t.step.occ.index, Step: t.step.index, Index: t.index, Worker: worker,
	})
}

// addWorker adds a worker and returns its position.
func (b *handoverBuilder) addWorker(w *worker) int {
	i, ok := b.workers[w]
	if !ok {
		i = len(b.record.Workers)
		b.workers[w] = i
		left := max(w.lastExpiry().Sub(b.m.now), b.m.recovery.expiry[w].Sub(b.m.now), 0)
		b.record.Workers = append(b.record.Workers, handoverWorker{Name: w.name(), Left: left})
	}
	return i
}

// addHolder adds a worker that may have any unresolved task.
func (b *handoverBuilder) addHolder(w *worker, left time.Duration) {
	x := &b.record.Workers[b.addWorker(w)]
	x.Holder = true
	if x.Left = max(x.Left, left); left == unknownLeft {
		x.Left = unknownLeft
	}
}

// job returns the entry of a job, which it adds if necessary.
func (b *handoverBuilder) job(id sched.JobID) *handoverJob {
	i, ok := b.jobs[id]
	if !ok {
		i = len(b.record.Jobs)
		b.jobs[id] = i
		b.record.Jobs = append(b.record.Jobs, handoverJob{ID: id})
	}
	return &b.record.Jobs[i]
}
