// Package speed estimates which workers are slow relative to the others, from the
// progress of the runs on them. It is meant for fleets where some workers take
// several times as long for the same work while their health checks are good.
//
// The tasks of a step are compared with each other. One slow run says little,
// because some tasks need several times the work of their siblings on any worker.
// A worker is slow only if at least two of its tasks are, or one if the worker was
// slow shortly before; two that were slow from their start are enough only while
// this is so on several workers. Speeds are relative: if many workers are slow, none
// is.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	e := speed.New()
//	e.Observe(speed.Sample{Worker: "w1", Task: task, Run: 1, Low: 1.2, High: 1.3, Expected: time.Second, At: now})
//	for _, c := range e.Update(now) {
//		// log the change
//	}
//	if e.Slow("w1") {
//		// use another worker
//	}
package speed

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// slowBelow is the relative speed up to which a run counts as slow, and
	// normalFrom that from which it counts as normal. Between them lie the tasks
	// that need up to twice the work of their siblings.
	slowBelow  = 0.5
	normalFrom = 0.65
	// aloneSlowBelow and aloneNormalFrom replace them where a run has too few
	// siblings and is compared with its estimate, which may be half of the truth.
	aloneSlowBelow  = 0.2
	aloneNormalFrom = 0.5
	// minSiblings is the least number of tasks on other workers whose median is a
	// reference.
	minSiblings = 3
	// staleAfter is how long evidence holds. Workers are slow for some seconds, and a
	// recovered one has to be used again.
	staleAfter = 3 * time.Second
	// recentFor is how long after its last evidence a slow worker counts as recently
	// slow.
	recentFor = 10 * time.Second
	// maxSlowShare is the share of the workers with evidence, and maxSlowSamples that of
	// the runs reported in the last sharedWindow, above which no worker is slow: the
	// cause is then something that they share.
	maxSlowShare   = 0.4
	maxSlowSamples = 0.4
	sharedWindow   = 500 * time.Millisecond
	// maxSamples bounds the runs that are kept for a worker.
	maxSamples = 16
)

// The evidence of a run, as the natural logarithm of how much more often it is seen
// on a slow worker than on another one. About one task in 30 is assumed to need several
// times the work of its siblings on any worker, so the first sight of a slow run is 30
// times as frequent on a slow worker. A change of speed during a run has no such
// explanation.
const (
	firstEvidence  = 3.4
	changeEvidence = 5.0
	// aloneFactor reduces the evidence of a run without enough siblings.
	aloneFactor = 0.5
	// mildFactor reduces it for a run above mildFrom, which the scatter of tasks
	// explains more often.
	mildFactor = 0.5
	mildFrom   = 0.35
	// initialOdds is the logarithm of the odds that a worker is slow before there is
	// evidence, and the lowest value. Three tasks that are slow from their start outweigh
	// it and two do not: in a fleet of some hundred workers, some worker often gets two
	// long tasks in a row. recentOdds applies to a worker that was slow shortly before.
	// maxOdds lets one run at normal speed end the suspicion.
	initialOdds = -7.0
	recentOdds  = -2.5
	maxOdds     = 2.0
	// suspectedFrom is the value from which there is some evidence.
	suspectedFrom = -4.0
	// severalFrom is the value that replaces 0 where severalShare of the workers with
	// evidence, and at least severalLeast, have reached it. Long tasks alone bring
	// about a tenth of that share there.
	severalFrom  = -1.0
	severalShare = 0.03
	severalLeast = 3
)

// Sample is what a report says of a run.
type Sample struct {
	Worker sched.WorkerName
	Task   sched.RunTask
	// Run is the number of the run.
	Run uint64
	// Low and High are the bounds of the share of the task's work that the run did a
	// second since the last sample.
	Low, High float64
	// Expected is the duration of the task as far as it can be known without siblings,
	// zero if it cannot.
	Expected time.Duration
	At       time.Time
}

// Change is a worker that became slow, or that is not slow any more.
type Change struct {
	Worker sched.WorkerName
	Slow   bool
	// Speed is the speed relative to other workers. Tasks counts the slow tasks that
	// showed it.
	Speed float64
	Tasks int
	// Stale means that a worker is not slow any more because there is no evidence.
	Stale bool
}

// Estimator estimates the speeds of workers. It is not safe for concurrent use.
type Estimator struct {
	workers map[sched.WorkerName]*record
	// names holds the names of workers in the order in which they were added.
	names []sched.WorkerName
	steps map[sched.RunTask]*siblings
	slow  int
}

// New returns an estimator without evidence.
func New() *Estimator {
	return &Estimator{workers: map[sched.WorkerName]*record{}, steps: map[sched.RunTask]*siblings{}}
}

// class is the speed of a run relative to its reference.
type class uint8

const (
	classUnknown class = iota
	classNormal
	classSlow
)

// Observe adds a sample.
func (e *Estimator) Observe(s Sample) {
	step := e.step(s)
	reference, alone := step.reference(s)
	last := step.put(s)
	if reference <= 0 {
		return
	}
	current := classify(s, reference, alone)
	if current == classUnknown {
		return
	}
	relative := (s.Low + s.High) / 2 / reference
	e.worker(s.Worker).add(judged{s.Task, s.Run, current, relative, s.At}, evidence(last.class, current, relative, alone))
	last.class = current
}

// classify compares a sample with its reference. The bounds of the sample decide, so
// one that is too rough says nothing.
func classify(s Sample, reference float64, alone bool) class {
	slow, normal := slowBelow, normalFrom
	if alone {
		slow, normal = aloneSlowBelow, aloneNormalFrom
	}
	switch {
	case s.High <= slow*reference:
		return classSlow
	case s.Low >= normal*reference:
		return classNormal
	default:
		return classUnknown
	}
}

func (e *Estimator) worker(name sched.WorkerName) *record {
	w := e.workers[name]
	if w == nil {
		w = &record{odds: initialOdds, speed: 1}
		e.workers[name] = w
		e.names = append(e.names, name)
	}
	return w
}

// evidence returns by how much a sample changes the odds that a worker is slow. A run
// counts only when its class changes: a task that needs much work is slow in every
// report.
func evidence(before, current class, relative float64, alone bool) float64 {
	value := firstEvidence
	switch before {
	case current:
		return 0
	case classUnknown:
	default:
		value = changeEvidence
	}
	if alone {
		value *= aloneFactor
	}
	switch {
	case current == classNormal:
		return -value
	case relative > mildFrom:
		return value * mildFactor
	default:
		return value
	}
}

// Update determines which workers are slow at time now and returns the changes.
func (e *Estimator) Update(now time.Time) []Change {
	e.forget(now)
	known, slowRuns, allRuns := 0, 0, 0
	for _, name := range e.names {
		w := e.workers[name]
		w.expire(now)
		if len(w.samples) > 0 {
			known++
		}
		s, n := w.since(now.Add(-sharedWindow))
		slowRuns, allRuns = slowRuns+s, allRuns+n
	}
	suspects := e.suspects(now, known)
	shared := float64(len(suspects)) > maxSlowShare*float64(known) || float64(slowRuns) > maxSlowSamples*float64(allRuns)
	var out []Change
	e.slow = 0
	for _, name := range e.names {
		w := e.workers[name]
		n := suspects[name]
		slow := n > 0 && !shared
		if slow {
			e.slow++
			w.speed, w.lastSlow = w.slowSpeed(), now
		}
		if slow != w.slow {
			out = append(out, w.setSlow(name, slow, n))
		}
		if shared {
			w.lastSlow, w.odds = time.Time{}, initialOdds
		}
	}
	return out
}

// suspects returns the workers with enough evidence, with the numbers of their slow
// tasks. known is the number of workers with evidence.
func (e *Estimator) suspects(now time.Time, known int) map[sched.WorkerName]int {
	certain, several := map[sched.WorkerName]int{}, map[sched.WorkerName]int{}
	for _, name := range e.names {
		w := e.workers[name]
		n := w.slowTasks()
		if n == 0 || n < w.tasksNeeded(now) || w.odds < severalFrom {
			continue
		}
		several[name] = n
		if w.odds > 0 || w.slow {
			certain[name] = n
		}
	}
	if len(several) >= severalLeast && float64(len(several)) >= severalShare*float64(known) {
		return several
	}
	return certain
}

// Slow reports whether a worker is slow, as of the last update.
func (e *Estimator) Slow(name sched.WorkerName) bool {
	w := e.workers[name]
	return w != nil && w.slow
}

// Recent reports whether a worker was slow shortly before now and has not shown
// normal speed since.
func (e *Estimator) Recent(now time.Time, name sched.WorkerName) bool {
	w := e.workers[name]
	return w != nil && !w.slow && w.recent(now)
}

// Suspected reports whether there is evidence that a worker is slow, but not enough.
func (e *Estimator) Suspected(name sched.WorkerName) bool {
	w := e.workers[name]
	return w != nil && !w.slow && w.odds >= suspectedFrom
}

// Speed returns the speed of a worker relative to the others. It is 1 unless the
// worker is slow.
func (e *Estimator) Speed(name sched.WorkerName) float64 {
	if w := e.workers[name]; w != nil {
		return w.speed
	}
	return 1
}

// SlowWorkers returns the number of slow workers.
func (e *Estimator) SlowWorkers() int { return e.slow }
