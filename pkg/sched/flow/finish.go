package flow

import "github.com/mangoslip/mangoslip/pkg/sched"

// taskDone records the success of a task.
func (m *Machine) taskDone(t *task) {
	if t.phase == phaseDone {
		return
	}
	m.dequeue(t, phaseDone)
	m.markChanged(t.job())
	s := t.step
	if !s.spec.Gang {
		m.stopOtherRuns(t)
	}
	s.remaining--
	if s.remaining > 0 {
		return
	}
	s.occ.remaining--
	m.openNextSteps(s)
	if s.occ.remaining == 0 {
		m.endOccurrence(s.occ)
	}
}

// openNextSteps opens the steps whose last unfinished dependency was s.
func (m *Machine) openNextSteps(s *step) {
	for _, next := range s.dependents {
		next.unfinishedBefore--
		if s.successHidden {
			next.resolve()
		}
		if next.unfinishedBefore == 0 && s.occ.job.opened > s.occ.index && !s.occ.job.state.Final() {
			m.openStep(next)
		}
	}
}

// resolve records that no earlier leader has started tasks of the step.
func (s *step) resolve() {
	for _, t := range s.tasks {
		t.unresolved = false
	}
}

// endOccurrence ends an occurrence, and the job if it was the last one.
func (m *Machine) endOccurrence(o *occurrence) {
	j := o.job
	if o.ended {
		return
	}
	o.ended = true
	j.remaining--
	if j.remaining == 0 && !j.state.Final() {
		m.endJob(j, sched.JobCompleted, "all tasks done")
	}
}

// endJob gives a job its final state and stops its runs.
func (m *Machine) endJob(j *job, state sched.JobState, cause string) {
	if j.state.Final() {
		return
	}
	j.state, j.cause, j.finishedAt = state, cause, m.now
	m.log("job ended", "id", j.spec.ID, "queue", j.queue, "state", state, "cause", cause,
		"age", m.now.Sub(j.acceptedAt))
	m.markChanged(j)
	for _, t := range j.tasks() {
		if t.phase != phaseDone {
			m.dequeue(t, phaseDropped)
		}
		for _, r := range t.runs {
			m.stop(r, cause)
		}
	}
	for i, l := range m.live {
		if l == j {
			m.live = append(m.live[:i], m.live[i+1:]...)
			break
		}
	}
}
