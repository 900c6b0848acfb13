package flow

import (
	"time"
)

// addJob adds an accepted job.
func (m *Machine) addJob(msg JobMsg) {
	id := msg.Job.ID
	if m.jobs[id] != nil {
		return
	}
	j := &job{
		spec: msg.Job, queue: msg.Job.Queue, version: msg.Version,
		inherited: msg.Inherited && !m.recovery.resolved, remaining: msg.Job.Occurrences(),
	}
	j.acceptedAt = m.now
	if age := time.Duration(m.wallMillis(m.now)-msg.Accepted) * time.Millisecond; age > 0 {
		j.acceptedAt = m.now.Add(-age)
	}
	m.jobs[id] = j
	cancel, cancelled := m.cancels.take(id)
	if msg.Progress != nil {
		if err := m.restoreProgress(j, msg.Progress); err != nil {
			m.log("stored progress is damaged; the job starts over", "id", id, "error", err)
		}
	}
	if j.state.Final() {
		j.durable, j.finishedAt = j.state, m.now
		m.release(j)
		return
	}
	m.keep(j)
	m.log("job added", "id", id, "queue", j.queue, "steps", len(j.spec.Steps),
		"age", m.now.Sub(j.acceptedAt), "inherited", j.inherited, "version", j.version)
	m.live = append(m.live, j)
	if cancelled {
		m.cancelJob(id, cancel.recorded)
		return
	}
	if j.spec.Repeat > 0 {
		m.repeating = append(m.repeating, j)
		m.openDueOccurrences()
		return
	}
	m.openOccurrence(j, 0, j.acceptedAt)
}

// openDueOccurrences opens the occurrences of repeated jobs that are due.
func (m *Machine) openDueOccurrences() {
	keep := m.repeating[:0]
	for _, j := range m.repeating {
		if j.state.Final() {
			continue
		}
		wall := m.wallMillis(m.now)
		for j.opened < j.spec.Repeat && j.spec.Due(j.opened) <= wall {
			late := time.Duration(wall-j.spec.Due(j.opened)) * time.Millisecond
			m.openOccurrence(j, j.opened, m.now.Add(-late))
		}
		if j.opened < j.spec.Repeat {
			keep = append(keep, j)
		}
	}
	clear(m.repeating[len(keep):])
	m.repeating = keep
}

// openOccurrence opens an occurrence and queues the steps that depend on no
// unfinished step. The occurrence may exist already, if it was restored from
// durable progress.
func (m *Machine) openOccurrence(j *job, index int, due time.Time) {
	o := m.occurrence(j, index)
	if j.opened <= index {
		j.opened = index + 1
	}
	o.due = due
	if o.remaining == 0 {
		m.endOccurrence(o)
		return
	}
	for _, s := range o.steps {
		if s.unfinishedBefore == 0 {
			m.openStep(s)
		}
	}
}

// occurrence returns the state of an occurrence and creates it if necessary.
func (m *Machine) occurrence(j *job, index int) *occurrence {
	for len(j.occurrences) <= index {
		j.occurrences = append(j.occurrences, nil)
	}
	if o := j.occurrences[index]; o != nil {
		return o
	}
	o := &occurrence{job: j, index: index, due: m.now}
	j.occurrences[index] = o
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		s := &step{occ: o, spec: spec, index: i, unfinishedBefore: len(spec.After), remaining: spec.Count}
		s.tasks = make([]*task, 0, spec.Count)
		for n := range spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: n, unresolved: j.inherited})
		}
		o.steps = append(o.steps, s)
		for _, after := range spec.After {
			before := o.steps[after]
			before.dependents = append(before.dependents, s)
		}
		if spec.Count > 0 {
			o.remaining++
		}
	}
	for _, s := range o.steps {
		if s.remaining == 0 {
			m.openNextSteps(s)
		}
	}
	return o
}

// openStep queues the tasks of a step that depends on no unfinished step.
func (m *Machine) openStep(s *step) {
	s.readyAt = m.now
	if len(s.spec.After) == 0 {
		s.readyAt = s.occ.due
	}
	for _, t := range s.tasks {
		if t.phase == phaseWaiting {
			m.enqueue(t)
		}
	}
}
