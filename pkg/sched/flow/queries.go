package flow

import (
	"math"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// State returns the state of a job as callers may see it. A final state is
// shown only once it is durable.
func (m *Machine) State(id sched.JobID) (sched.JobState, sched.QueueName, bool) {
	j := m.jobs[id]
	if j == nil {
		return 0, "", false
	}
	switch {
	case j.state == sched.JobCancelled:
		return j.state, j.queue, true // The cancellation itself is already durable.
	case j.durable.Final():
		return j.durable, j.queue, true
	case j.started:
		return sched.JobRunning, j.queue, true
	default:
		return sched.JobQueued, j.queue, true
	}
}

// Confirmed reports whether the store has recently confirmed the term as the
// newest one. The state of an unconfirmed leader may be out of date.
func (m *Machine) Confirmed(now time.Time) bool { return now.Sub(m.confirmedAt) <= confirmationValid }

// Waiting returns the number of a queue's jobs without a started task.
func (m *Machine) Waiting(q sched.QueueName) int {
	n := 0
	for _, j := range m.live {
		if j.queue == q && !j.started {
			n++
		}
	}
	return n
}

// Workers returns the number of workers that the machine knows.
func (m *Machine) Workers() int { return len(m.order) }

// Totals holds sums over the machine's state for metrics and status.
type Totals struct {
	Jobs, Live, Workers, Runs, Queued int
	// Uncommitted counts the jobs with changes that are not durable.
	Uncommitted int
	// Recovering means that the takeover is not complete.
	Recovering bool
	// Unanswered counts the starts without a result, and StartWindow is how many there
	// may be.
	Unanswered, StartWindow int
	// EvacuatedDataCentres counts the evacuated data centres of which workers are known,
	// and EvacuatedRuns the runs that are still in progress there.
	EvacuatedDataCentres, EvacuatedRuns int
	// SlowWorkers counts the slow workers, and RunsMovedSlow the runs that were
	// restarted for that reason in this term.
	SlowWorkers, RunsMovedSlow int
	// DelayedJobs counts the jobs that come after others because of a shortage, and
	// ShortageCores is how many cores are missing for all of them to be in time.
	DelayedJobs, ShortageCores int
	// Late counts the late jobs.
	Late int
	// Kept is how much memory the jobs take that are not released.
	Kept sched.Bytes
}

// Totals returns the sums.
func (m *Machine) Totals() Totals {
	t := Totals{
		Jobs: len(m.jobs), Live: len(m.live), Workers: len(m.order),
		Uncommitted: len(m.commits.changed), Recovering: m.recovery.active,
		Unanswered: m.window.ordered, StartWindow: int(m.window.size),
		SlowWorkers: m.speeds.SlowWorkers(), RunsMovedSlow: m.runsMovedSlow, Late: m.countLate(), Kept: m.kept.Cost,
	}
	jobs, cores := m.delays.totals()
	t.DelayedJobs, t.ShortageCores = jobs, int(math.Ceil(cores))
	for _, w := range m.order {
		t.Runs += len(w.runs)
	}
	t.EvacuatedDataCentres, t.EvacuatedRuns = m.countEvacuated()
	for _, j := range m.live {
		for _, o := range j.occurrences {
			if o == nil {
				continue
			}
			for _, s := range o.steps {
				t.Queued += s.queued
			}
		}
	}
	return t
}
