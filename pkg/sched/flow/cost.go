package flow

import (
	"math"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// The memory in bytes that the parts of a job take, with what the passes over them take
// for a short time.
const (
	jobCost        = 1 << 10
	occurrenceCost = 256
	specCost       = 192
	stepCost       = 384
	taskCost       = 240
	dependencyCost = 40
)

// A job is large if it costs more than LargeCost. Large jobs leave the share 1/LargeShare
// of what is bounded to the others.
const (
	LargeCost  = 64 << 10
	LargeShare = 4
)

const (
	// releaseAfter is how long after its end the tasks of a job are kept. Workers may
	// carry out orders seconds late; a run that is reported after the release counts as
	// a run of an unknown job, and is stopped.
	releaseAfter = 15 * time.Second
	// releaseInterval is the interval at which ended jobs are released or dropped.
	releaseInterval = time.Second
	// maxKeptAge is the age of the last complete read of the jobs beyond which the
	// machine does not tell what the accepted jobs take.
	maxKeptAge = 1500 * time.Millisecond
)

// Cost returns how much memory a job takes in a machine until it is released. The
// occurrences of a repeated job count as if they were all open.
func Cost(w *sched.Workflow) sched.Bytes {
	shared, each := jobCost+textCost(w.Text), sched.Bytes(occurrenceCost)
	for i := range w.Steps {
		s := &w.Steps[i]
		shared += specCost + textCost(s.Requires) + textCost(s.Affinity) + textCost(s.Image)
		each += sched.Bytes(stepCost + taskCost*s.Count + dependencyCost*len(s.After))
	}
	return shared + sched.Bytes(w.Occurrences())*each
}

// textCost returns how much memory a text takes. The allocator rounds its size up by as
// much as a sixth.
func textCost(s string) sched.Bytes { return sched.Bytes(len(s) + len(s)/6) }

// Kept returns how much memory the jobs take that are not released. It reports false if
// that is not known: this leader may have been replaced, or there may be accepted jobs
// that were not delivered to it.
func (m *Machine) Kept(now time.Time) (sched.KeptJobs, bool) {
	return m.kept, m.loaded && m.Confirmed(now) && now.Sub(m.workReadAt) <= maxKeptAge
}

// freeRuns returns how many more runs there may be.
func (m *Machine) freeRuns() int {
	if m.maxRuns == 0 {
		return math.MaxInt
	}
	return max(m.maxRuns-m.runs, 0)
}

// freeRunsFor returns how many more runs of a job there may be.
func (m *Machine) freeRunsFor(j *job) int {
	free := m.freeRuns()
	if m.maxRuns > 0 && j.cost > LargeCost {
		free -= m.maxRuns / LargeShare
	}
	return max(free, 0)
}

// keep counts what a job takes.
func (m *Machine) keep(j *job) {
	j.cost = Cost(j.spec)
	m.kept.Cost += j.cost
	m.kept.Added += j.cost
}

// release drops the tasks and the description of a job that has ended. What is left
// tells callers its state, as for a job that ended before this leader's term.
func (m *Machine) release(j *job) {
	m.kept.Cost -= j.cost
	j.cost = 0
	j.occurrences = nil
	j.spec = &sched.Workflow{ID: j.spec.ID, Queue: j.spec.Queue}
	j.released = true
}

// maintainEndedJobs releases the jobs that ended some time ago, and drops those that
// ended longer ago than the retention time.
func (m *Machine) maintainEndedJobs() {
	if m.now.Sub(m.releasedAt) < releaseInterval {
		return
	}
	m.releasedAt = m.now
	for id, j := range m.jobs {
		age := m.now.Sub(j.finishedAt)
		if !j.durable.Final() || j.dirty || age < releaseAfter {
			continue
		}
		if !j.released && !j.hasRuns() {
			m.release(j)
		}
		if j.released && age >= m.retention {
			delete(m.jobs, id)
		}
	}
}
