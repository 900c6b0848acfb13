package tasks

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// record is the journal form of a state transition. Exactly one field is set.
// Applying a record again, or one older than the state, changes nothing.
type record struct {
	Job      *jobRecord      `cbor:"1,keyasint,omitempty"`
	Cancel   *cancelRecord   `cbor:"2,keyasint,omitempty"`
	Final    *finalRecord    `cbor:"3,keyasint,omitempty"`
	Assign   *assignRecord   `cbor:"4,keyasint,omitempty"`
	Progress *progressRecord `cbor:"5,keyasint,omitempty"`
	End      *endRecord      `cbor:"6,keyasint,omitempty"`
}

// jobRecord is an accepted job with the hosting shard of each task. The home
// shard journals it.
type jobRecord struct {
	Spec  sched.JobSpec   `cbor:"1,keyasint"`
	Hosts []sched.ShardID `cbor:"2,keyasint"`
	At    int64           `cbor:"3,keyasint"`
	Hash  uint64          `cbor:"4,keyasint"`
}

// cancelRecord is an accepted cancel of a job. The home shard journals it.
type cancelRecord struct {
	Job sched.JobID `cbor:"1,keyasint"`
}

// finalRecord is the final state of a task as its hosting shard reported it. The
// home shard journals it.
type finalRecord struct {
	Task     sched.TaskID     `cbor:"1,keyasint"`
	Phase    sched.TaskPhase  `cbor:"2,keyasint"`
	Worker   sched.WorkerName `cbor:"3,keyasint,omitempty"`
	Attempts int              `cbor:"4,keyasint,omitempty"`
	Error    string           `cbor:"5,keyasint,omitempty"`
	At       int64            `cbor:"6,keyasint"`
}

// assignRecord is a task that was assigned to this shard. The hosting shard
// journals it.
type assignRecord struct {
	Home   sched.ShardID  `cbor:"1,keyasint"`
	Task   sched.TaskID   `cbor:"2,keyasint"`
	Spec   sched.TaskSpec `cbor:"3,keyasint"`
	Team   sched.TeamName `cbor:"4,keyasint"`
	Urgent bool           `cbor:"5,keyasint,omitempty"`
	At     int64          `cbor:"6,keyasint"`
}

// progressRecord is the end of an attempt that does not end the task. The hosting
// shard journals it.
type progressRecord struct {
	Task       sched.TaskID       `cbor:"1,keyasint"`
	Attempt    int                `cbor:"2,keyasint"`
	Count      int                `cbor:"3,keyasint"`
	Checkpoint string             `cbor:"4,keyasint,omitempty"`
	Failed     []sched.WorkerName `cbor:"5,keyasint,omitempty"`
	Error      string             `cbor:"6,keyasint,omitempty"`
}

// endRecord is the final state of a task. The hosting shard journals it.
type endRecord struct {
	Home     sched.ShardID    `cbor:"1,keyasint"`
	Task     sched.TaskID     `cbor:"2,keyasint"`
	Phase    sched.TaskPhase  `cbor:"3,keyasint"`
	Worker   sched.WorkerName `cbor:"4,keyasint,omitempty"`
	Attempts int              `cbor:"5,keyasint,omitempty"`
	Error    string           `cbor:"6,keyasint,omitempty"`
	At       int64            `cbor:"7,keyasint"`
	// Acknowledged is set if the home shard has acknowledged the final state.
	// The record is then a tombstone.
	Acknowledged bool `cbor:"8,keyasint,omitempty"`
}

func (r record) encode() sched.Record {
	return sched.Record{Kind: sched.RecordTask, Data: encode(r)}
}

// Restore implements [sched.Durable]. It must not be called between AcquiredMsg
// and LostMsg.
func (m *Machine) Restore(rec sched.Record) error {
	if rec.Kind != sched.RecordTask {
		return eris.Errorf("restore task record: unexpected record kind %d", rec.Kind)
	}
	r, err := decode[record](rec.Data, "task record")
	if err != nil {
		return err
	}
	switch {
	case r.Job != nil:
		m.restoreJob(r.Job)
	case r.Cancel != nil:
		if j := m.jobs[r.Cancel.Job]; j != nil {
			j.cancelled = true
		}
	case r.Final != nil:
		m.applyFinal(r.Final)
	case r.Assign != nil:
		m.restoreAssign(r.Assign)
	case r.Progress != nil:
		m.applyProgress(r.Progress)
	case r.End != nil:
		m.restoreEnd(r.End)
	default:
		return eris.New("restore task record: unknown transition")
	}
	return nil
}

func (m *Machine) restoreJob(r *jobRecord) {
	if m.jobs[r.Spec.ID] != nil {
		return
	}
	j := newJob(r)
	j.durable = true
	m.jobs[r.Spec.ID] = j
}

func (m *Machine) restoreAssign(r *assignRecord) {
	if m.tasks[r.Task] != nil || m.tombstones[r.Task] != nil {
		return
	}
	m.tasks[r.Task] = newTask(r)
}

func (m *Machine) applyProgress(r *progressRecord) {
	t := m.tasks[r.Task]
	if t == nil || r.Attempt < t.endedAttempt {
		return
	}
	t.attempt, t.endedAttempt = max(t.attempt, r.Attempt), r.Attempt
	t.attempts = max(t.attempts, r.Count)
	t.checkpoint, t.failedOn, t.lastErr = r.Checkpoint, r.Failed, r.Error
	t.lastProgress = r
}

func (m *Machine) restoreEnd(r *endRecord) {
	if m.tombstones[r.Task] != nil {
		return
	}
	if r.Acknowledged {
		m.addTombstone(&tombstone{end: *r})
		return
	}
	t := m.tasks[r.Task]
	if t == nil {
		t = newTask(&assignRecord{Home: r.Home, Task: r.Task, At: r.At})
		m.tasks[r.Task] = t
	}
	if t.state != stEnded {
		t.state, t.end = stEnded, r
	}
}

// Snapshot implements [sched.Durable]. The order of the records depends only on
// the state.
func (m *Machine) Snapshot() []sched.Record {
	var out []sched.Record
	add := func(r record) { out = append(out, r.encode()) }
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		if j := m.jobs[id]; j.durable {
			j.snapshot(add)
		}
	}
	for _, t := range m.sortedTasks() {
		t.snapshot(add)
	}
	for _, t := range m.tombstonesByAge {
		add(record{End: &t.end})
	}
	return out
}

func (j *job) snapshot(add func(record)) {
	add(record{Job: &jobRecord{Spec: j.spec, Hosts: j.hosts, At: j.submittedAt.UnixNano(), Hash: j.hash}})
	if j.cancelled {
		add(record{Cancel: &cancelRecord{Job: j.spec.ID}})
	}
	for i := range j.tasks {
		if f := j.tasks[i].final; f != nil {
			add(record{Final: f})
		}
	}
}

func (t *task) snapshot(add func(record)) {
	if t.state == stEnded {
		add(record{End: t.end})
		return
	}
	add(record{Assign: &assignRecord{
		Home: t.home, Task: t.id, Spec: t.spec, Team: t.team, Urgent: t.urgent, At: t.assignedAt.UnixNano(),
	}})
	if t.lastProgress != nil {
		add(record{Progress: t.lastProgress})
	}
}

// sortedTasks returns the hosted tasks sorted by id, so that every run produces
// commands and records in the same order.
func (m *Machine) sortedTasks() []*task {
	out := slices.Collect(maps.Values(m.tasks))
	slices.SortFunc(out, func(a, b *task) int { return compareIDs(a.id, b.id) })
	return out
}

// fromUnixNano returns the time that a record holds as nanoseconds since 1970.
func fromUnixNano(ns int64) time.Time { return time.Unix(0, ns) }
