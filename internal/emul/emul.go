// Package emul emulates workers, a store and an adviser in virtual time for one
// or more state machines of package flow. Nothing in it reads a clock or starts
// a goroutine, so a simulation with the same seed repeats exactly.
//
// It is meant for tests, benchmarks and load experiments. It delivers orders
// with a delay, loses their answers or executes them late. Workers crash,
// restart, hang or fail the runs that they start, and connections are cut. An
// oracle checks every start of a run on a worker, and every final state that a
// leader reports for a job, against the guarantees of the scheduler.
//
// # Usage
//
//	s := emul.New(1)
//	s.AddWorkers(8, sched.Resources{CPU: 32000, Memory: 128 << 30})
//	s.Lead()
//	s.Submit(&sched.Workflow{…}, emul.Work{Duration: time.Second})
//	s.RunFor(10 * time.Second)
//	err := s.Check()
package emul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Emulator is a deployment in virtual time: workers, a store, an adviser and the
// leaders.
type Emulator struct {
	// Rand is the only source of random numbers.
	Rand *rand.Rand
	now  time.Time

	events eventHeap
	// seq is the sequence number of the event that was scheduled last.
	seq uint64

	Workers []*Worker
	byName  map[sched.WorkerName]*Worker
	// Fleet is the configuration that leaders receive when they begin.
	Fleet       *sched.FleetConfig
	jobs        map[sched.JobID]*Job
	gangs       map[gangKey]*gang
	submitted   []*Job
	leaders     []*Leader
	store       store
	longestMiss time.Duration
	waits       waits
	// storeDownChanged is when the store last failed or recovered.
	storeDownChanged time.Time
	// startsExcusedUntil is until when late starts of cancelled jobs are excused.
	startsExcusedUntil time.Time

	// Interferes reports whether a best-effort image interferes with a
	// latency-critical one. By default it does if the last bytes of their names
	// are equal.
	Interferes func(bestEffort, latencyCritical string) bool
	// Adviser decides which workers may run the steps of advised queues.
	Adviser Adviser

	// Delay is the one-way network delay of calls to workers and the adviser.
	Delay time.Duration
	// LoseAnswers is the share of orders that are executed and whose answers
	// are lost. LateShare is the share of orders that are executed seconds later, by
	// whichever incarnation of the worker there is by then; their answers are lost too.
	LoseAnswers, LateShare float64
	// RegisterLag is how long after a restart the register of workers still shows the
	// incarnation before.
	RegisterLag time.Duration

	// EndsPerReport is the most run ends that a worker lists in one report.
	EndsPerReport int

	// evacuations holds when data centres were evacuated, nil if they are not.
	evacuations map[sched.DataCentre]time.Time

	// Violations are the broken guarantees that the oracle found, one text each.
	Violations []string
	// Counts holds event counters by name.
	Counts map[string]int
}

// Work is the actual behaviour of the tasks of a job, which the scheduler cannot
// see.
type Work struct {
	// Duration is how long a task runs at full speed.
	Duration time.Duration
	// FailureShare is the share of the runs that fail. It is 1 for a job that can
	// never complete.
	FailureShare float64
	// Factor returns by which factor a task takes longer than Duration, nil if all
	// tasks take equally long.
	Factor func(t sched.RunTask) float64
}

// total returns how long a task runs at full speed.
func (w *Work) total(t sched.RunTask) time.Duration {
	if w.Factor == nil {
		return w.Duration
	}
	return time.Duration(float64(w.Duration) * w.Factor(t))
}

// Job is a submitted job and its history.
type Job struct {
	Spec      *sched.Workflow
	Work      Work
	Submitted time.Time
	Cancelled time.Time
	// FinalAt is when a leader first reported the job in a final state.
	FinalAt time.Time
	// State is the final state that a leader reported first, if any.
	State sched.JobState

	// Runs counts the starts of its tasks.
	Runs int

	// version is the store version at which the job was accepted.
	version sched.Version
	// succeeded holds the tasks that have succeeded, and failures the number of
	// failed runs of each task. ackedSucceeded and ackedFailures hold the same for
	// the run ends that a leader has acknowledged.
	ackedSucceeded map[sched.RunTask]bool
	ackedFailures  map[sched.RunTask]int
	succeeded      map[sched.RunTask]bool
	failures       map[sched.RunTask]int
	// startedAt is when each task was last started, and succeededAt when a run succeeded.
	startedAt   map[sched.RunTask]time.Time
	succeededAt map[sched.Run]time.Time
}

// New returns an emulator with a store and no workers.
func New(seed uint64) *Emulator {
	e := &Emulator{
		Rand: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_700_000_000, 0),
		byName: map[sched.WorkerName]*Worker{}, jobs: map[sched.JobID]*Job{},
		gangs:      map[gangKey]*gang{},
		Interferes: sameLastByte,
		Delay:      time.Millisecond, Counts: map[string]int{}, EndsPerReport: endsPerReport,
		Fleet: &sched.FleetConfig{
			Revision: 1,
			Queues:   map[sched.QueueName]sched.Queue{},
			Pools:    map[sched.ServiceName]sched.Pool{Service: {Name: Service, Guards: true}},
		},
	}
	e.store.init()
	return e
}

// endsPerReport is the default of [Emulator.EndsPerReport].
const endsPerReport = 500

// Service is the name of the service whose workers the emulator emulates.
const Service sched.ServiceName = "Pool"

// Now returns the virtual time.
func (e *Emulator) Now() time.Time { return e.now }

// AddQueue adds a queue to the configuration or replaces it.
func (e *Emulator) AddQueue(q sched.Queue) {
	q.Service = Service
	e.Fleet.Queues[q.Name] = q
}

// event is a function to call at a virtual time, in nanoseconds since 1970. Events
// at the same time run in the order of seq.
type event struct {
	at  int64
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return x
}

// After schedules a call of f after d.
func (e *Emulator) After(d time.Duration, f func()) {
	e.seq++
	heap.Push(&e.events, event{e.now.Add(d).UnixNano(), e.seq, f})
}

// RunFor advances virtual time by d and processes the events on the way.
func (e *Emulator) RunFor(d time.Duration) {
	until := e.now.Add(d)
	for e.runNext(until) {
	}
	e.now = until
}

// RunUntil advances virtual time until done returns true, for at most d. It
// returns the last result of done.
func (e *Emulator) RunUntil(d time.Duration, done func() bool) bool {
	until := e.now.Add(d)
	for !done() {
		if !e.runNext(until) {
			e.now = until
			return done()
		}
	}
	return true
}

// runNext processes the next event. It returns false if there is none until the
// given time.
func (e *Emulator) runNext(until time.Time) bool {
	if len(e.events) == 0 || e.events[0].at > until.UnixNano() {
		return false
	}
	x := heap.Pop(&e.events).(event)
	e.now = time.Unix(0, x.at)
	x.do()
	return true
}

// violate records the violation of a guarantee.
func (e *Emulator) violate(format string, args ...any) {
	e.Violations = append(e.Violations, fmt.Sprintf("%s: ", e.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

// Submit stores a job, as an entry does when it accepts one.
func (e *Emulator) Submit(w *sched.Workflow, work Work) *Job {
	j := &Job{
		Spec: w, Work: work, Submitted: e.now, version: e.store.nextVersion(),
		ackedSucceeded: map[sched.RunTask]bool{}, ackedFailures: map[sched.RunTask]int{}, failures: map[sched.RunTask]int{},
		succeeded: map[sched.RunTask]bool{}, startedAt: map[sched.RunTask]time.Time{}, succeededAt: map[sched.Run]time.Time{},
	}
	e.jobs[w.ID] = j
	e.submitted = append(e.submitted, j)
	for _, l := range e.leaders {
		l.deliverChange(flow.JobMsg{Job: w, Accepted: j.Submitted.UnixMilli()})
	}
	return j
}

// Cancel stores the cancellation of a job. Later calls change nothing.
func (e *Emulator) Cancel(j *Job) {
	if !j.Cancelled.IsZero() {
		return
	}
	j.Cancelled = e.now
	for _, l := range e.leaders {
		l.deliverChange(flow.CancelMsg{Job: j.Spec.ID, Recorded: j.Cancelled.UnixMilli()})
	}
}

// Jobs returns the jobs in the order of submission.
func (e *Emulator) Jobs() []*Job { return e.submitted }

// AllFinal reports whether a leader has reported a final state for every job that
// has no perpetual step.
func (e *Emulator) AllFinal() bool {
	for _, j := range e.submitted {
		if !j.Spec.Perpetual() && !j.State.Final() {
			return false
		}
	}
	return true
}
