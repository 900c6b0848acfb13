package tasks

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// job is the state of a job at its home shard.
type job struct {
	spec sched.JobSpec
	// hosts are the hosting shards of the tasks, in the order of the tasks.
	hosts []sched.ShardID
	// hash is the hash of the encoded spec. A resubmission with the same id but
	// another hash is refused.
	hash        uint64
	submittedAt time.Time
	// durable is set when the job is known to be in the journal.
	durable   bool
	cancelled bool
	tasks     []homeTask
	// unfinished is the number of tasks without a final state.
	unfinished int
	finishedAt time.Time
	// waiters are the submitters that have not been answered yet.
	waiters []Waiter
}

// homeTask is the state of a task at its home shard. phase, worker and attempts
// are for display only until final is set.
type homeTask struct {
	phase    sched.TaskPhase
	worker   sched.WorkerName
	attempts int
	// assigned is set when the hosting shard has acknowledged the assignment.
	assigned bool
	// finishing is set while the final state is being journaled.
	finishing bool
	final     *finalRecord
}

func newJob(r *jobRecord) *job {
	j := &job{
		spec: r.Spec, hosts: r.Hosts, hash: r.Hash, submittedAt: fromUnixNano(r.At),
		tasks: make([]homeTask, len(r.Spec.Tasks)), unfinished: len(r.Spec.Tasks),
	}
	// applyFinal removes the payloads of ended tasks from this slice, so it must
	// not be shared with the caller.
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

// onJobAppended handles the result of the append of a job. If the answer was
// lost, the job may be in the journal. Then the job is kept, and its append is
// repeated until it commits. The submitters get the outcome Unknown and may
// submit again with the same id.
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

// onJobDurable sends the tasks of a job to their hosting shards. The job is in
// the journal.
func (m *Machine) onJobDurable(j *job) {
	j.durable = true
	for i := range j.tasks {
		m.handOver(j, i)
	}
}

// handOver sends the assignment of a task that has not ended to its hosting
// shard, or the cancel if the job is cancelled.
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

// refuse answers a request that had no effect.
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

// onHomeEvent handles an event from a hosting shard to this home shard.
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

// onFinished journals the final state of a task and then acknowledges it, after
// which the hosting shard drops the task.
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

// expireJobs drops finished jobs beyond the retention time or count.
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

// chooseHosts chooses a hosting shard for each task: the one with the most free
// capacity among those that have a worker big enough for the task. A task that
// is too big for every known worker is assigned all the same, because the known
// capacities of the shards may be out of date. Its hosting shard waits for a
// bigger worker before it reports NotRunnable (see [WithNoFitWait]).
func chooseHosts(specs []sched.TaskSpec, targets []HostingShard) []sched.ShardID {
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

// betterHost reports whether a is a better hosting shard than b for a task that
// needs r. A task that needs no accelerators prefers the shard with fewer free
// ones.
func betterHost(r sched.Resources, a HostingShard, freeA sched.Resources, b HostingShard, freeB sched.Resources) bool {
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

// sortFinishedJobs sorts the restored finished jobs by their end.
func (m *Machine) sortFinishedJobs() {
	slices.SortStableFunc(m.finishedJobs, func(a, b *job) int { return a.finishedAt.Compare(b.finishedAt) })
}
