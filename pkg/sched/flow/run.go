package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// runState is the state of a run.
type runState uint8

const (
	// runStarting means that the start has no definite answer yet.
	runStarting runState = iota
	// runRunning means that the worker has the run.
	runRunning
	// runStopping means that a stop was ordered and the end is not known yet.
	runStopping
)

// run is one start of a task on one worker. It occupies capacity until it has
// certainly ended.
type run struct {
	task   *task
	number uint64
	worker *worker
	state  runState
	need   sched.Resources

	// firstSent and lastSent are when the start was first and last sent.
	firstSent, lastSent time.Time
	tries               int
	// token is the fencing token with which the start was last sent.
	token uint64
	// incarnationKnown means that the incarnation of the worker is known that has or had
	// the run.
	incarnationKnown bool
	inCall           bool
	// knownAt is when a definite answer said that the worker has the run, zero if
	// there is none.
	knownAt time.Time
	// stopSent is when the last stop was sent, and stopKnownAt when the worker
	// first confirmed a stop.
	stopSent, stopKnownAt time.Time
	stopInCall            bool
	stopCause             string

	// checkpoint is the last one that the worker reported, and resumedFrom the one
	// with which the run started.
	checkpoint  string
	resumedFrom string
	percent     int
	// progressedAt is when percent or checkpoint last changed, or when the worker
	// last confirmed a higher speed limit.
	progressedAt time.Time
	reportedAt   time.Time
	// load is the reported tail latency in milliseconds of a latency-critical run,
	// and the processors in use, in thousandths, of any other.
	load     float64
	throttle throttle
	// doubtfulTicket means that the start was sent with a ticket that has expired, unless
	// its validity counts from the answer.
	doubtfulTicket bool
	// firstPercent is the progress in the first report, which arrived at
	// firstReportAt.
	firstPercent  int
	firstReportAt time.Time
	// adopted means that this machine adopted the run from a report; an earlier
	// leader may have started it.
	adopted bool
	// pace is the part of the run from which the speed of the worker is learned.
	pace pace
	// searchedAt is when another worker was last searched for.
	searchedAt time.Time
}

func (r *run) id() sched.Run { return sched.Run{Task: r.task.id(), Number: r.number} }

// attributed reports whether the run belongs to one incarnation of the worker that is
// known, and cannot have begun in another one. If the start was sent more than once, a later incarnation may carry out
// another copy. How often it was sent is not known of an adopted run.
func (r *run) attributed() bool { return r.incarnationKnown && r.tries == 1 && !r.adopted }

// latencyCritical reports whether the task has a tail latency target.
func (r *run) latencyCritical() bool { return r.task.step.spec.LatencyCritical() }

// bestEffort reports whether the task uses processor time that others leave
// unused.
func (r *run) bestEffort() bool { return r.task.step.spec.BestEffort }

// runNumbersPerTerm separates the ranges of run numbers of different terms.
const runNumbersPerTerm = 1 << 20

// nextNumber returns a run number above all earlier ones of the task.
func (m *Machine) nextNumber(t *task) uint64 {
	return max(t.number, (m.term-1)*runNumbersPerTerm) + 1
}

// attach adds a run to its task and its worker.
func (m *Machine) attach(r *run) {
	if s := r.task.step; r.number <= s.broken {
		s.broken = 0 // This run was not stopped with the others.
	}
	t, w := r.task, r.worker
	m.runs++
	t.runs = append(t.runs, r)
	w.runs[r.id()] = r
	w.list = append(w.list, r)
	w.used = w.used.Add(r.need)
	if t.step.placedOn == nil {
		t.step.placedOn = map[*worker]int{}
	}
	t.step.placedOn[w]++
	w.countRun(r, 1)
}

// detach removes a run that has certainly ended.
func (m *Machine) detach(r *run) {
	t, w := r.task, r.worker
	m.runs--
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	delete(w.runs, r.id())
	w.list = slices.DeleteFunc(w.list, func(o *run) bool { return o == r })
	w.used = w.used.Sub(r.need)
	if t.step.placedOn[w]--; t.step.placedOn[w] <= 0 {
		delete(t.step.placedOn, w)
	}
	w.countRun(r, -1)
	if r.bestEffort() {
		w.addPastRun(r, r.throttle.have, m.now)
	}
	m.stale = true
}
