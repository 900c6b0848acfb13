package tasks

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// job is a job at its home.
type job struct {
	spec        sched.JobSpec
	hosts       []sched.ShardID
	hash        uint64
	submittedAt time.Time
	durable     bool
	cancelled   bool
	tasks       []homeTask
	unfinished  int
	finishedAt  time.Time
	waiters     []Waiter
}

// homeTask is what the home knows of a task. Phase, worker and attempts are
// hints until final is set.
type homeTask struct {
	phase     sched.TaskPhase
	worker    sched.WorkerName
	attempts  int
	assigned  bool
	finishing bool
	final     *finalRecord
}

func newJob(r *jobRecord) *job {
	j := &job{
		spec: r.Spec, hosts: r.Hosts, hash: r.Hash, submittedAt: fromUnixNano(r.At),
		tasks: make([]homeTask, len(r.Spec.Tasks)), unfinished: len(r.Spec.Tasks),
	}
	// Payloads are dropped as tasks end, so the slice is not the caller's.
	j.spec.Tasks = slices.Clone(r.Spec.Tasks)
	for i := range j.tasks {
		j.tasks[i].phase = sched.PhaseQueued
	}
	return j
}

func (m *Machine) onSubmit(msg SubmitMsg) {
	if reason := m.checkSubmit(&msg); reason != "" {
		m.refuse(msg.Waiter, reason)
		return
	}
	hash := xxhash.Sum64(EncodeJob(msg.Spec))
	if j := m.jobs[msg.Spec.ID]; j != nil {
		m.resubmit(j, hash, msg.Waiter)
		return
	}
	rec := &jobRecord{
		Spec: msg.Spec, Hosts: chooseHosts(msg.Spec.Tasks, msg.Targets),
		At: m.now.UnixNano(), Hash: hash,
	}
	j := newJob(rec)
	j.waiters = []Waiter{msg.Waiter}
	m.jobs[msg.Spec.ID] = j
	m.appendOnce(record{Job: rec}, func(ok, lost bool) { m.onJobAppended(j, ok, lost) })
}

func (m *Machine) checkSubmit(msg *SubmitMsg) sched.Reason {
	if !m.owner || m.suspended {
		return sched.ReasonNotOwner
	}
	if msg.Spec.ID == "" || len(msg.Spec.Tasks) == 0 {
		return sched.ReasonBadRequest
	}
	for i := range msg.Spec.Tasks {
		if msg.Spec.Tasks[i].Resources.Negative() {
			return sched.ReasonBadRequest
		}
	}
	if len(msg.Targets) == 0 && m.jobs[msg.Spec.ID] == nil {
		return sched.ReasonNoOwner
	}
	return ""
}

func (m *Machine) resubmit(j *job, hash uint64, w Waiter) {
	switch {
	case j.hash != hash:
		m.refuse(w, sched.ReasonKeyReused)
	case j.durable:
		m.emit(ReplyCmd{Waiter: w, Known: true, Status: j.status(), Outcome: sched.Ran})
	default:
		j.waiters = append(j.waiters, w)
	}
}

// submitted handles the result of a job's append. A lost append may be
// durable, so the job is kept and appended until it certainly is; the callers
// learn that the outcome is unknown and may submit again with the same id.
func (m *Machine) onJobAppended(j *job, ok, lost bool) {
	reply := ReplyCmd{Known: true, Outcome: sched.Ran}
	switch {
	case ok:
		m.onJobDurable(j)
		reply.Status = j.status()
	case lost:
		reply.Reason, reply.Outcome = sched.ReasonStoreUnavailable, sched.Unknown
		rec := &jobRecord{Spec: j.spec, Hosts: j.hosts, At: j.submittedAt.UnixNano(), Hash: j.hash}
		m.persist(record{Job: rec}, nil, func() { m.onJobAppended(j, true, false) })
	default:
		reply.Reason, reply.Outcome = sched.ReasonStoreUnavailable, sched.NotRun
		delete(m.jobs, j.spec.ID)
	}
	for _, w := range j.waiters {
		reply.Waiter = w
		m.emit(reply)
	}
	j.waiters = nil
}

func (m *Machine) onJobDurable(j *job) {
	j.durable = true
	for i := range j.tasks {
		m.handOver(j, i)
	}
}

// handOver posts the assignment, or the cancel, of a task that has not ended.
func (m *Machine) handOver(j *job, i int) {
	if j.tasks[i].final != nil {
		return
	}
	kind := EventAssign
	if j.cancelled {
		kind = EventCancel
	}
	m.sendUntilAcked(j.hosts[i], Event{
		Kind: kind, Task: sched.TaskID{Job: j.spec.ID, Index: i},
		Spec: j.spec.Tasks[i], Team: j.spec.Team, Urgent: j.spec.Urgent,
	})
}

// refuse answers a caller whose request had no effect.
func (m *Machine) refuse(w Waiter, reason sched.Reason) {
	m.emit(ReplyCmd{Waiter: w, Known: true, Reason: reason, Outcome: reason.Outcome()})
}

func (m *Machine) onCancel(msg CancelMsg) {
	if !m.owner || m.suspended {
		m.refuse(msg.Waiter, sched.ReasonNotOwner)
		return
	}
	j := m.jobs[msg.Job]
	if j == nil {
		m.emit(ReplyCmd{Waiter: msg.Waiter, Outcome: sched.NotRun})
		return
	}
	if j.cancelled || (j.durable && j.unfinished == 0) {
		m.emit(ReplyCmd{Waiter: msg.Waiter, Known: true, Status: j.status(), Outcome: sched.Ran})
		return
	}
	rec := record{Cancel: &cancelRecord{Job: msg.Job}}
	m.appendOnce(rec, func(ok, lost bool) { m.onCancelAppended(j, msg.Waiter, ok, lost) })
}

func (m *Machine) onCancelAppended(j *job, w Waiter, ok, lost bool) {
	if !ok {
		outcome := sched.NotRun
		if lost {
			outcome = sched.Unknown
		}
		m.emit(ReplyCmd{Waiter: w, Known: true, Reason: sched.ReasonStoreUnavailable, Outcome: outcome})
		return
	}
	j.cancelled = true
	for i := range j.tasks {
		if j.durable {
			m.stopResending(EventAssign, sched.TaskID{Job: j.spec.ID, Index: i})
			m.handOver(j, i)
		}
	}
	m.emit(ReplyCmd{Waiter: w, Known: true, Status: j.status(), Outcome: sched.Ran})
}

// onHomeEvent handles what a host tells the home.
func (m *Machine) onHomeEvent(from sched.ShardID, e Event) {
	if e.Kind == EventAssigned {
		m.stopResending(EventAssign, e.Task)
	}
	j := m.jobs[e.Task.Job]
	if j == nil || e.Task.Index < 0 || e.Task.Index >= len(j.tasks) {
		if e.Kind == EventFinished {
			m.emit(EventCmd{To: from, Event: Event{Kind: EventFinishAck, Task: e.Task}})
		}
		return
	}
	t := &j.tasks[e.Task.Index]
	switch e.Kind {
	case EventAssigned:
		t.assigned = true
	case EventProgress:
		if t.final == nil {
			t.phase, t.worker, t.attempts = e.Phase, e.Worker, e.Attempts
		}
	case EventFinished:
		m.onFinished(from, t, e)
	}
}

// onFinished journals a final state before the host is told to forget it.
func (m *Machine) onFinished(from sched.ShardID, t *homeTask, e Event) {
	ack := EventCmd{To: from, Event: Event{Kind: EventFinishAck, Task: e.Task}}
	if t.final != nil {
		m.emit(ack)
		return
	}
	if t.finishing {
		return
	}
	t.finishing = true
	rec := &finalRecord{
		Task: e.Task, Phase: e.Phase, Worker: e.Worker,
		Attempts: e.Attempts, Error: e.Error, At: m.now.UnixNano(),
	}
	m.persist(record{Final: rec}, nil, func() {
		m.applyFinal(rec)
		m.stopResending(EventAssign, e.Task)
		m.stopResending(EventCancel, e.Task)
		m.emit(ack)
	})
}

func (m *Machine) applyFinal(r *finalRecord) {
	j := m.jobs[r.Task.Job]
	if j == nil || r.Task.Index >= len(j.tasks) || j.tasks[r.Task.Index].final != nil {
		return
	}
	t := &j.tasks[r.Task.Index]
	t.final, t.phase, t.worker, t.attempts = r, r.Phase, r.Worker, r.Attempts
	j.spec.Tasks[r.Task.Index].Payload = nil
	j.unfinished--
	if j.unfinished == 0 {
		j.finishedAt = fromUnixNano(r.At)
		m.finishedJobs = append(m.finishedJobs, j)
	}
}

// expireJobs forgets finished jobs beyond the retention time or count.
func (m *Machine) expireJobs() {
	n := 0
	for _, j := range m.finishedJobs {
		if len(m.finishedJobs)-n <= m.maxFinishedJobs && m.now.Sub(j.finishedAt) < m.retention {
			break
		}
		delete(m.jobs, j.spec.ID)
		n++
	}
	m.finishedJobs = m.finishedJobs[n:]
}

// assign chooses a hosting shard for each task: the one with the most free
// capacity among those with a worker that is big enough. A task that is too
// big for every known worker goes to the shard with the biggest worker, which
// waits a bounded time for one that fits before it reports NotRunnable; the
// hints lag, so the choice is not final here.
func chooseHosts(specs []sched.TaskSpec, targets []Target) []sched.ShardID {
	free := make([]sched.Resources, len(targets))
	for i := range targets {
		free[i] = targets[i].Free
	}
	hosts := make([]sched.ShardID, len(specs))
	for i := range specs {
		best := 0
		for j := 1; j < len(targets); j++ {
			if betterHost(specs[i].Resources, targets[j], free[j], targets[best], free[best]) {
				best = j
			}
		}
		hosts[i] = targets[best].Shard
		free[best] = free[best].Sub(specs[i].Resources)
	}
	return hosts
}

func betterHost(r sched.Resources, a Target, freeA sched.Resources, b Target, freeB sched.Resources) bool {
	if fa, fb := r.Fits(a.Biggest), r.Fits(b.Biggest); fa != fb {
		return fa
	}
	if fa, fb := r.Fits(freeA), r.Fits(freeB); fa != fb {
		return fa
	}
	if r.Accelerators == 0 && freeA.Accelerators != freeB.Accelerators && r.Fits(freeA) {
		return freeA.Accelerators < freeB.Accelerators
	}
	if freeA.CPU != freeB.CPU {
		return freeA.CPU > freeB.CPU
	}
	return freeA.Memory > freeB.Memory
}

// rebuildDone orders the restored finished jobs by their end.
func (m *Machine) sortFinishedJobs() {
	slices.SortStableFunc(m.finishedJobs, func(a, b *job) int { return a.finishedAt.Compare(b.finishedAt) })
}
