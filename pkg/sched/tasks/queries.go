package tasks

import (
	"maps"
	"slices"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Inventoried reports whether the machine has used an inventory of a worker in this
// ownership, so that the resources of the worker's running tasks are reserved. It is
// false for a worker that is known to have restarted since.
func (m *Machine) Inventoried(name sched.WorkerName) bool {
	w := m.workers[name]
	return w != nil && w.inventoried
}

func sortedJobs(jobs map[sched.JobID]*job) []sched.JobID {
	return slices.Sorted(maps.Keys(jobs))
}

// Job returns the status of a job whose home is this shard.
func (m *Machine) Job(id sched.JobID) (sched.JobStatus, bool) {
	j := m.jobs[id]
	if j == nil || !j.durable {
		return sched.JobStatus{}, false
	}
	return j.status(), true
}

// Jobs returns the status of up to limit jobs in the order of their ids.
func (m *Machine) Jobs(limit int) []sched.JobStatus {
	var out []sched.JobStatus
	for _, id := range sortedJobs(m.jobs) {
		if len(out) >= limit {
			break
		}
		if s, ok := m.Job(id); ok {
			out = append(out, s)
		}
	}
	return out
}

func (j *job) status() sched.JobStatus {
	s := sched.JobStatus{
		ID: j.spec.ID, Team: j.spec.Team, Urgent: j.spec.Urgent,
		Tasks: make([]sched.TaskStatus, len(j.tasks)),
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		s.Tasks[i] = sched.TaskStatus{
			Index: i, Phase: t.phase, Shard: j.hosts[i], Worker: t.worker, Attempts: t.attempts,
		}
		if t.final != nil {
			s.Tasks[i].Error = t.final.Error
		}
		if !t.assigned && t.final == nil {
			s.Tasks[i].Wait = sched.WaitAssignment
		}
	}
	return s
}

// Explain returns the phase of each task of a job that this shard hosts and that
// has not ended, and the reason why the task waits.
func (m *Machine) Explain(id sched.JobID) []sched.TaskStatus {
	var out []sched.TaskStatus
	for _, t := range m.sortedTasks() {
		if t.id.Job == id && !t.state.final() {
			out = append(out, m.explain(t))
		}
	}
	return out
}

func (m *Machine) explain(t *task) sched.TaskStatus {
	s := sched.TaskStatus{
		Index: t.id.Index, Phase: sched.PhaseQueued, Shard: m.shard,
		Attempts: t.attempts, Error: t.lastErr,
	}
	switch t.state {
	case stRecovering:
		s.Wait = sched.WaitRecovery
	case stQueued:
		s.Wait = sched.WaitCapacity
		if tm := m.queue.team(t.team); tm.dominantShare >= 1 && tm.quota != (sched.Resources{}) {
			s.Wait = sched.WaitQuota
		}
	case stBackoff, stSaving:
		s.Wait = sched.WaitBackoff
	case stUnfit:
		s.Wait = sched.WaitNoWorkerFits
	case stStarting:
		s.Phase, s.Worker = sched.PhaseStarting, t.worker.name
	case stRunning:
		s.Phase, s.Worker = sched.PhaseRunning, t.worker.name
	case stStopping:
		s.Phase, s.Worker = sched.PhaseStopping, t.worker.name
	}
	return s
}

// Counts are the numbers of jobs, of hosted tasks by state, of unacknowledged
// events and of uncommitted appends in a machine. Recovering counts the tasks
// that wait for the end of the recovery. Waiting counts those that wait for a
// backoff or for a bigger worker. Running includes the tasks that are being
// stopped. Ending counts the tasks whose attempt or final state is being saved
// or acknowledged.
type Counts struct {
	Jobs, FinishedJobs                                     int
	Queued, Recovering, Waiting, Starting, Running, Ending int
	Events, Appends                                        int
}

// Counts returns the current counts.
func (m *Machine) Counts() Counts {
	c := Counts{
		Jobs: len(m.jobs), FinishedJobs: len(m.finishedJobs),
		Events: len(m.unacked), Appends: len(m.pending) + m.retries.len(),
	}
	for _, t := range m.tasks {
		switch t.state {
		case stRecovering:
			c.Recovering++
		case stQueued:
			c.Queued++
		case stBackoff, stUnfit:
			c.Waiting++
		case stStarting:
			c.Starting++
		case stRunning, stStopping:
			c.Running++
		default:
			c.Ending++
		}
	}
	return c
}
