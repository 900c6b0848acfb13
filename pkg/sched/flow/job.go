package flow

import (
	"strconv"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// job is a workflow with its state and progress.
type job struct {
	spec  *sched.Workflow
	queue sched.QueueName
	// acceptedAt is when the job was accepted, on the machine's clock.
	acceptedAt time.Time
	// inherited means that an earlier leader may have started its tasks.
	inherited bool

	occurrences []*occurrence
	// opened counts the occurrences that were opened, and remaining those that
	// have not ended.
	opened    int
	remaining int

	state sched.JobState
	// durable is the last state that is known to be recorded. A final state is
	// shown to callers only once it is durable.
	durable sched.JobState
	// started means that a worker is known to have started a task.
	started    bool
	cause      string
	finishedAt time.Time

	// dirty means that the job waits for a commit, and inFlight that it is part of
	// one.
	dirty, inFlight bool
	// firstChange is the number of the first change that is not durable, 0 if
	// there is none. lastChange is the number of the last change.
	firstChange, lastChange uint64
	version                 sched.Version
}

// occurrence is one execution of the steps of a job. A repeated job has
// several.
type occurrence struct {
	job   *job
	index int
	// due is when the occurrence may start.
	due   time.Time
	steps []*step
	// remaining counts the steps that have not ended.
	remaining int
	ended     bool
}

// step is one step of an occurrence.
type step struct {
	occ   *occurrence
	spec  *sched.StepSpec
	index int
	tasks []*task
	// unfinishedBefore counts the steps in the spec's After list that have not
	// ended.
	unfinishedBefore int
	// remaining counts the tasks that have not succeeded.
	remaining int
	// readyAt is when the last step of the After list ended.
	readyAt time.Time
	// queued counts the tasks that wait for a worker.
	queued int
	// placedOn counts the step's runs by worker, for anti-affinity.
	placedOn map[*worker]int
	// advice is the adviser's decisions on workers, nil if it was not asked.
	advice *advice
	// fitsTwo caches whether the pool has free capacity for two tasks of the step.
	fitsTwo fitsTwoCache
	// searchedAt is when workers for a gang were last searched for.
	searchedAt time.Time
	// blocked is the last reason why tasks of the step could not be placed, empty
	// once one was.
	blocked string
	// successHidden means that a task succeeded in a run whose end no earlier
	// leader can have seen. So no earlier leader has started the steps that depend
	// on this one.
	successHidden bool
}

// phase is the state of a task.
type phase uint8

const (
	phaseWaiting phase = iota // some step that it depends on has not ended
	phaseQueued               // waits for a worker
	phaseActive               // has a run that has not ended
	phaseDone
	phaseDropped // its job has ended
)

// task is one task of a step.
type task struct {
	step  *step
	index int
	phase phase
	runs  []*run
	// number is the highest run number of the task so far.
	number uint64
	// failed lists the numbers of the runs that failed, to count each only once.
	failed     []uint64
	checkpoint string
	// avoid lists the workers on which the task failed or stalled.
	avoid []sched.WorkerName
	// queuedAt is when the task last began to wait for a worker.
	queuedAt time.Time
	// mayBeRunning means that an earlier leader may have started the task on a
	// worker that has not answered yet.
	mayBeRunning bool
}

func (t *task) job() *job { return t.step.occ.job }

func (t *task) id() sched.RunTask {
	return sched.RunTask{
		Job: t.job().spec.ID, Occurrence: t.step.occ.index, Step: t.step.index, Index: t.index,
	}
}

// name returns the task's name within its job, "occurrence.step.index".
func (t *task) name() string {
	b := make([]byte, 0, 16)
	b = strconv.AppendInt(b, int64(t.step.occ.index), 10)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(t.step.index), 10)
	b = append(b, '.')
	return string(strconv.AppendInt(b, int64(t.index), 10))
}

func (t *task) avoids(w sched.WorkerName) bool {
	for _, a := range t.avoid {
		if a == w {
			return true
		}
	}
	return false
}

// addJob adds an accepted job.
func (m *Machine) addJob(msg JobMsg) {
	id := msg.Job.ID
	if m.jobs[id] != nil {
		return
	}
	j := &job{
		spec: msg.Job, queue: msg.Job.Queue, version: msg.Version, inherited: msg.Inherited,
		remaining: msg.Job.Occurrences(),
	}
	j.acceptedAt = m.now
	if age := time.Duration(m.wallMillis(m.now)-msg.Accepted) * time.Millisecond; age > 0 {
		j.acceptedAt = m.now.Add(-age)
	}
	m.jobs[id] = j
	if msg.Progress != nil {
		if err := m.restoreProgress(j, msg.Progress); err != nil {
			m.log("stored progress is damaged; the job starts over", "id", id, "error", err)
		}
	}
	if j.state.Final() {
		j.durable, j.finishedAt = j.state, m.now
		return
	}
	m.log("job added", "id", id, "queue", j.queue, "steps", len(j.spec.Steps),
		"age", m.now.Sub(j.acceptedAt), "inherited", j.inherited, "version", j.version)
	m.live = append(m.live, j)
	if m.cancels[id] {
		m.cancelJob(id)
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
		for n := range spec.Count {
			s.tasks = append(s.tasks, &task{step: s, index: n, mayBeRunning: j.inherited})
		}
		o.steps = append(o.steps, s)
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
	for _, t := range s.tasks {
		if t.phase == phaseWaiting {
			m.enqueue(t)
		}
	}
}

// enqueue makes a task wait for a worker.
func (m *Machine) enqueue(t *task) {
	if t.phase == phaseQueued {
		return
	}
	t.phase, t.queuedAt = phaseQueued, m.now
	t.step.queued++
	m.stale = true
}

// dequeue moves a task to another phase. If the task waits for a worker, it no
// longer does.
func (m *Machine) dequeue(t *task, to phase) {
	if t.phase == phaseQueued {
		t.step.queued--
	}
	t.phase = to
}

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
	for _, next := range s.occ.steps {
		for _, after := range next.spec.After {
			if after != s.index {
				continue
			}
			next.unfinishedBefore--
			if s.successHidden {
				next.clearMayBeRunning()
			}
			if next.unfinishedBefore == 0 && s.occ.job.opened > s.occ.index && !s.occ.job.state.Final() {
				m.openStep(next)
			}
		}
	}
}

// clearMayBeRunning records that no earlier leader has started tasks of the
// step.
func (s *step) clearMayBeRunning() {
	for _, t := range s.tasks {
		t.mayBeRunning = false
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

// tasks returns the tasks of all occurrences that were created.
func (j *job) tasks() []*task {
	var out []*task
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			out = append(out, s.tasks...)
		}
	}
	return out
}

// task returns a task by its name, or nil if there is none. It creates the
// occurrence if necessary, because a worker may report one that is not due yet
// by this machine's time of day.
func (m *Machine) task(id sched.RunTask) *task {
	j := m.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= j.spec.Occurrences() {
		return nil
	}
	if j.state.Final() && (id.Occurrence >= len(j.occurrences) || j.occurrences[id.Occurrence] == nil) {
		return nil
	}
	o := m.occurrence(j, id.Occurrence)
	if id.Step < 0 || id.Step >= len(o.steps) {
		return nil
	}
	if tasks := o.steps[id.Step].tasks; id.Index >= 0 && id.Index < len(tasks) {
		return tasks[id.Index]
	}
	return nil
}

// cancelJob cancels a job that has not ended. A cancellation of an unknown job
// is kept until the job arrives.
func (m *Machine) cancelJob(id sched.JobID) {
	j := m.jobs[id]
	if j == nil {
		m.cancels[id] = true
		return
	}
	if !j.state.Final() {
		m.endJob(j, sched.JobCancelled, "cancelled by its owner")
	}
}

// dropEndedJobs removes jobs that ended longer ago than the retention time.
func (m *Machine) dropEndedJobs() {
	for id, j := range m.jobs {
		if !j.durable.Final() || j.dirty || m.now.Sub(j.finishedAt) < m.retention {
			continue
		}
		if j.hasRuns() {
			continue
		}
		delete(m.jobs, id)
		delete(m.cancels, id)
	}
}

func (j *job) hasRuns() bool {
	for _, t := range j.tasks() {
		if len(t.runs) > 0 {
			return true
		}
	}
	return false
}
