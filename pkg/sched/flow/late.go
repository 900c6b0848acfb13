package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// lateInterval is the interval between two passes that determine the late jobs.
	// Questions are answered from the last pass, so that their number does not add to
	// the work of the machine.
	lateInterval = time.Second
	// lateMaxAge is the age of the last pass beyond which it is not shown, because the
	// machine has not run meanwhile.
	lateMaxAge = 3 * time.Second
	// maxLateLines bounds the late jobs that are logged in one pass.
	maxLateLines = 8
)

// lateRecord is the result of the last pass over the live jobs.
type lateRecord struct {
	// jobs holds the late jobs, the most late first.
	jobs []sched.LateJob
	at   time.Time
}

// LateJobs returns the late jobs of a queue, or of all queues if the name is empty, the
// most late first and at most limit. It reports false if the list is not known: it has
// not been determined recently, or another leader may have taken over.
func (m *Machine) LateJobs(now time.Time, q sched.QueueName, limit int) (sched.LateJobs, bool) {
	if m.lost || m.resignation.began || !m.mayIssueOrders || m.late.at.IsZero() || now.Sub(m.late.at) > lateMaxAge {
		return sched.LateJobs{}, false
	}
	var out sched.LateJobs
	for _, l := range m.late.jobs {
		switch {
		case q != "" && l.Queue != q || !m.isLive(l.Job):
		case len(out.Jobs) < limit:
			out.Jobs = append(out.Jobs, l)
		default:
			out.More++
		}
	}
	return out, true
}

// countLate returns the number of late jobs.
func (m *Machine) countLate() int {
	n := 0
	for _, l := range m.late.jobs {
		if m.isLive(l.Job) {
			n++
		}
	}
	return n
}

// isLive reports whether a job is known and has not ended.
func (m *Machine) isLive(id sched.JobID) bool {
	j := m.jobs[id]
	return j != nil && !j.state.Final()
}

// updateLate determines the late jobs at intervals and logs those that became late.
func (m *Machine) updateLate() {
	if !m.loaded || m.now.Sub(m.late.at) < lateInterval {
		return
	}
	m.late = lateRecord{at: m.now}
	for _, j := range m.live {
		if l, ok := m.lateness(j); ok {
			m.late.jobs = append(m.late.jobs, l)
		}
	}
	slices.SortFunc(m.late.jobs, func(a, b sched.LateJob) int {
		return cmp.Or(cmp.Compare(b.Late, a.Late), cmp.Compare(a.Job, b.Job))
	})
	m.logLate()
}

// logLate logs each job once when it is late. Jobs beyond the bound are logged in later
// passes if they are still late then.
func (m *Machine) logLate() {
	var fresh []*sched.LateJob
	for i := range m.late.jobs {
		if l := &m.late.jobs[i]; !m.jobs[l.Job].lateLogged {
			fresh = append(fresh, l)
		}
	}
	lines := min(len(fresh), maxLateLines)
	for _, l := range fresh[:lines] {
		m.jobs[l.Job].lateLogged = true
		m.log("job is late", "id", l.Job, "queue", l.Queue, "state", l.State, "late", l.Late, "age", l.Age,
			"objective", l.Objective, "tasksLeft", l.TasksLeft, "reason", l.Waits, "unlogged", len(fresh)-lines)
	}
}

// lateness returns the lateness of the open occurrence that is most late, and whether
// the job is late. A job of a queue without an objective never is.
func (m *Machine) lateness(j *job) (sched.LateJob, bool) {
	q := m.fleet.Queues[j.queue]
	if q.Stretch == 0 && q.Target == 0 {
		return sched.LateJob{}, false
	}
	var worst *occurrence
	out := sched.LateJob{Job: j.spec.ID, Queue: j.queue}
	for _, o := range j.occurrences {
		if o == nil || o.ended || o.index >= j.opened {
			continue
		}
		within := objective(q, m.chains(o).longest)
		late := max(m.expectedDuration(o), m.longestWithoutRun(o)) - within
		// Without an estimate for any step the objective may be 0, which is none.
		if within > 0 && late > out.Late {
			worst, out.Late, out.Objective = o, late, within
		}
	}
	if worst == nil {
		return sched.LateJob{}, false
	}
	out.State, _, _ = m.State(j.spec.ID)
	out.Age, out.TasksLeft, out.Waits = m.now.Sub(worst.due), worst.tasksLeft(), worst.firstWait()
	return out, true
}

// expectedDuration returns the duration of an occurrence if all its waiting tasks start
// at once, or 0 if only perpetual steps are left.
func (m *Machine) expectedDuration(o *occurrence) time.Duration {
	left, open := time.Duration(0), false
	ends := make([]time.Duration, len(o.steps))
	for i, s := range o.steps {
		for _, after := range s.spec.After {
			ends[i] = max(ends[i], ends[after])
		}
		if s.spec.Perpetual {
			continue
		}
		open = open || s.remaining > 0
		ends[i] += m.stepRemaining(s)
		left = max(left, ends[i])
	}
	if !open {
		return 0
	}
	return m.now.Sub(o.due) + left
}

// stepRemaining returns how long the longest task of a step takes from its start or, if
// it runs, from now.
func (m *Machine) stepRemaining(s *step) time.Duration {
	longest := time.Duration(0)
	if s.remaining == 0 {
		return longest
	}
	whole := m.duration(s)
	for _, t := range s.tasks {
		if t.phase != phaseDone && t.phase != phaseDropped {
			longest = max(longest, m.taskRemaining(t, whole))
		}
	}
	return longest
}

// taskRemaining returns how long a task still takes if a whole run of it takes the given
// time. Work of unknown size counts as none: that of a task which an earlier leader may
// have started, and that of a task which resumes from a checkpoint.
func (m *Machine) taskRemaining(t *task, whole time.Duration) time.Duration {
	shortest, running := time.Duration(0), false
	for _, r := range t.runs {
		if left := m.remaining(r); r.state != runStopping && (!running || left < shortest) {
			shortest, running = left, true
		}
	}
	if running || t.mayBeRunning() || t.checkpoint != "" {
		return shortest
	}
	return whole
}

// longestWithoutRun returns for how long the perpetual task of an occurrence that has
// waited longest has had no run. A task that has not run yet counts from when its step
// was opened.
func (m *Machine) longestWithoutRun(o *occurrence) time.Duration {
	longest := time.Duration(0)
	for _, s := range o.steps {
		if !s.spec.Perpetual || s.queued == 0 {
			continue
		}
		for _, t := range s.tasks {
			if t.phase != phaseQueued || t.mayBeRunning() {
				continue
			}
			since := t.awaySince
			if since.IsZero() {
				since = s.readyAt
			}
			longest = max(longest, m.now.Sub(since))
		}
	}
	return longest
}

// tasksLeft counts the tasks that have not succeeded. Of perpetual steps it counts the
// waiting tasks, because their tasks do not succeed.
func (o *occurrence) tasksLeft() int {
	n := 0
	for _, s := range o.steps {
		if s.spec.Perpetual {
			n += s.queued
		} else {
			n += s.remaining
		}
	}
	return n
}

// firstWait returns why the first step with waiting tasks waits, empty if none does.
func (o *occurrence) firstWait() string {
	for _, s := range o.steps {
		if s.queued > 0 {
			return s.blocked
		}
	}
	return ""
}
