package flow

import (
	"slices"
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
	// inherited means that an earlier leader may have started any of its tasks.
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
	started bool
	// lateLogged means that the lateness of the job was logged.
	lateLogged bool
	cause      string
	finishedAt time.Time
	// cost is the memory that the job takes. It is 0 once the job is released, which
	// means that its tasks and its description are not kept any more.
	cost     sched.Bytes
	released bool

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
	delay     occurrenceDelay
}

// step is one step of an occurrence.
type step struct {
	occ   *occurrence
	spec  *sched.StepSpec
	index int
	tasks []*task
	// dependents holds the steps with this one in their After list.
	dependents []*step
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
	// broken is the number up to which all runs of a gang were stopped.
	broken uint64
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
	// restartedFromSlow means that a run was restarted because its worker is slow.
	restartedFromSlow bool
	// queuedAt is when the task last began to wait for a worker.
	queuedAt time.Time
	// awaySince is when the last known run of a perpetual task ended, zero if none has.
	// awayMillis is the recorded time, as Unix time in milliseconds.
	awaySince  time.Time
	awayMillis int64
	// moved means that a run of the task was stopped to move it. The task does not wait
	// for the reserve of short tasks then.
	moved bool
	// unresolved means that an earlier leader may have started the task on any of the
	// recovery's holders. mayRunOn counts the unanswered workers on which an earlier
	// leader, as it handed over, may have a run of the task.
	unresolved bool
	mayRunOn   int
}

// mayBeRunning reports whether an earlier leader may have started the task on a
// worker that has not answered yet.
func (t *task) mayBeRunning() bool { return t.unresolved || t.mayRunOn > 0 }

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

// enqueue makes a task wait for a worker.
func (m *Machine) enqueue(t *task) {
	if t.phase == phaseQueued {
		return
	}
	t.phase, t.queuedAt = phaseQueued, m.now
	m.noteInherited(t)
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

func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		if o != nil && o.hasRuns() {
			return true
		}
	}
	return false
}

func (o *occurrence) hasRuns() bool {
	for _, s := range o.steps {
		if slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.runs) > 0 }) {
			return true
		}
	}
	return false
}
