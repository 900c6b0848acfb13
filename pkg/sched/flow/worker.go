package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// worker is what the machine knows of one worker.
type worker struct {
	member sched.Member
	// listed means that the register shows the worker; unlistedAt is when it
	// last stopped doing so.
	listed     bool
	unlistedAt time.Time
	// rostered means that the durable roster names the worker.
	rostered bool
	// surveyed means that the worker has answered to this term's fence, first at
	// surveyedAt.
	answered   bool
	answeredAt time.Time
	// replaced means that another life answered at the worker's address.
	replaced bool

	runs map[sched.Run]*run
	// list holds the runs in the order in which they were entered, so that a
	// machine does the same in every replay.
	list []*run
	used sched.Resources
	// serveRuns and fillRuns are the runs that serve and that fill.
	criticalRuns, bestEffortRuns []*run
	// departed holds what filled the worker until a moment ago.
	pastRuns []pastRun
	// imageList caches the images of serveRuns.
	imageList   []string
	imagesValid bool
	riskCache   riskCache
	// busy is the processor time that runs are expected to use, those that
	// fill included.
	busy float64

	// clock is the reading of the worker's clock that arrived at clockAt.
	clock    time.Duration
	clockAt  time.Time
	hasClock bool
	// lapseAt is when everything that was ever ordered has surely ended, if
	// nothing more is ordered.
	lapseAt time.Time

	contactAt time.Time
	// silentSince is when the first of a row of calls without an answer was
	// sent.
	unansweredSince time.Time
	suspected       bool

	renewal renewalState
	// processed is the last end that was taken in, durable the last whose
	// effect is recorded, confirmed the last that the worker was told of.
	processed, durable, acknowledged uint64
	pending                          []pendingEnd

	fullUntil   time.Time
	fullBackoff time.Duration
	quarantine  quarantine
	// caution is the share of the computed paces that is in force, and
	// cautionAt when it last changed. trickle is the share of the worker that
	// tasks may use which disturb those that serve.
	throttleFactor float64
	// missedSince is since when a target is missed, zero if none is.
	missedSince       time.Time
	incompatibleShare float64
	throttleFactorAt  time.Time
	learnedAt         time.Time
}

// pendingEnd is an end that may be confirmed once a commit is durable.
type pendingEnd struct {
	seq uint64
	// mark is that of the change that has to be durable first.
	change uint64
}

func (w *worker) name() sched.WorkerName { return w.member.Worker }

// free returns the room that no run takes.
func (w *worker) free() sched.Resources { return w.member.Capacity.Sub(w.used) }

// age returns the time since the worker last answered.
func (w *worker) sinceContact(now time.Time) time.Duration {
	if w.contactAt.IsZero() {
		return -1
	}
	return now.Sub(w.contactAt)
}

// count enters a run into the sums of the worker, or takes it out.
func (w *worker) countRun(r *run, sign int) {
	switch {
	case r.latencyCritical():
		w.criticalRuns = addOrRemove(w.criticalRuns, r, sign)
		w.imagesValid = false
		w.resetRisks(w.riskCache.version)
	case r.bestEffort():
		w.bestEffortRuns = addOrRemove(w.bestEffortRuns, r, sign)
	}
	w.busy += float64(sign) * r.use()
}

// use returns the processor time that a run is expected to use.
func (r *run) use() float64 {
	cpu := float64(r.task.step.spec.Resources.CPU)
	switch {
	case r.latencyCritical():
		return criticalUse * cpu
	case r.bestEffort():
		return cpu * float64(r.throttle.want) / fullSpeed
	default:
		return cpu
	}
}

// enter adds a run to a list, or takes it out if sign is negative.
func addOrRemove(list []*run, r *run, sign int) []*run {
	if sign > 0 {
		return append(list, r)
	}
	return slices.DeleteFunc(list, func(o *run) bool { return o == r })
}

// servingUse is the share of its processors that a task that serves uses at the
// crest of its load. Where those and the tasks that fill want more than there
// is, every tail grows.
const criticalUse = 0.45

// clockDrift bounds how much slower a worker's clock runs, with some margin
// over the 2% that the platform states.
const clockDrift = 1.03

// observe takes in a reading of the worker's clock from an answer to a call.
func (w *worker) recordClock(sent, now time.Time, clock time.Duration) {
	_ = sent
	w.contactAt, w.unansweredSince, w.suspected = now, time.Time{}, false
	if w.hasClock && clock < w.minClock(now) {
		return // An answer that others have overtaken.
	}
	w.clock, w.clockAt, w.hasClock = clock, now, true
}

// earliest returns the lowest reading that the worker's clock can have now.
func (w *worker) minClock(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))/clockDrift)
}

// extend returns a deadline a lease ahead on the worker's clock.
func (w *worker) extendDeadline(now time.Time, lease time.Duration) time.Duration {
	w.extendLapse(now, lease)
	return w.clock + now.Sub(w.clockAt) + lease
}

// leased notes that what the worker runs may last for a lease from now on, by
// a clock that may be slow.
func (w *worker) extendLapse(now time.Time, lease time.Duration) {
	until := now.Add(time.Duration(float64(lease)*clockDrift) + maxOrderDelay)
	if until.After(w.lapseAt) {
		w.lapseAt = until
	}
}

// lapsed reports whether everything that was ever ordered has surely ended.
// The time counts from when orders were sent: a deadline is a reading of the
// worker's clock, so it does not matter how late an order is carried out.
func (w *worker) lapsed(now time.Time) bool {
	return !w.lapseAt.IsZero() && now.After(w.lapseAt)
}

// suspect notes a call without an answer.
func (w *worker) suspect(now time.Time) {
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
	}
	w.suspected = true
}

// silence is how long calls may stay without an answer until the worker's
// leases are no longer renewed.
const unresponsiveAfter = 700 * time.Millisecond

// silent reports whether the worker has not answered for a while.
func (w *worker) unresponsive(now time.Time) bool {
	return !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) > unresponsiveAfter
}

// usable reports whether new runs may be placed on the worker.
func (m *Machine) usable(w *worker) bool {
	return w.listed && w.rostered && w.answered && w.hasClock && !w.replaced && !w.suspected &&
		!w.member.Draining && !m.now.Before(w.fullUntil)
}

// setMembers takes in the register of workers.
func (m *Machine) setMembers(members []sched.Member) {
	seen := map[sched.WorkerName]bool{}
	for _, mb := range members {
		seen[mb.Worker] = true
		m.setMember(mb)
	}
	for _, w := range m.order {
		if w.listed && !seen[w.name()] {
			w.listed, w.unlistedAt = false, m.now
			m.log("worker left the register", "worker", w.name(), "contact", w.sinceContact(m.now), "runs", len(w.runs))
		}
	}
	m.dropWorkers()
	m.stale = true
}

func (m *Machine) setMember(mb sched.Member) {
	w := m.workers[mb.Worker]
	if w == nil {
		w = m.addWorker(mb)
		m.log("worker joined", "worker", mb.Worker, "service", mb.Service, "addr", mb.Addr,
			"dataCentre", mb.DataCentre, "capacity", mb.Capacity, "labels", mb.Labels, "draining", mb.Draining)
	}
	if mb.Born < w.member.Born {
		return // An older entry of the register.
	}
	if !w.listed {
		w.listed = true
	}
	if mb.Born > w.member.Born {
		m.newIncarnation(w, mb.Born, "register")
	}
	if mb.Draining != w.member.Draining {
		m.log("worker draining", "worker", mb.Worker, "draining", mb.Draining, "left", mb.DrainLeft, "runs", len(w.runs))
	}
	if mb.Addr != w.member.Addr {
		w.replaced, w.answered = false, false
	}
	w.member = mb
	if w.member.Draining {
		m.drain(w)
	}
	m.maintainWorker(w)
}

func (m *Machine) addWorker(mb sched.Member) *worker {
	w := &worker{member: mb, runs: map[sched.Run]*run{}}
	m.workers[mb.Worker] = w
	m.order = append(m.order, w)
	m.roster.dirty = true
	return w
}

// newLife handles a worker that was born again under its name: its numbers
// start anew. What ran there before has ended, but runs of the new life may have
// been started before it was known, so the next report tells which is which.
func (m *Machine) newIncarnation(w *worker, incarnation int64, source string) {
	m.log("worker born again", "worker", w.name(), "born", incarnation, "before", w.member.Born, "source", source,
		"runs", len(w.runs))
	w.member.Born = incarnation
	w.processed, w.durable, w.acknowledged, w.pending = 0, 0, 0, nil
	w.hasClock, w.clock, w.answered, w.replaced = false, 0, false, false
	w.renewal.continuous = false
	w.quarantine = quarantine{}
}

// dropWorkers forgets workers that left the register and run nothing.
func (m *Machine) dropWorkers() {
	keep := m.order[:0]
	for _, w := range m.order {
		gone := !w.listed && len(w.runs) == 0 && w.processed == w.acknowledged &&
			m.now.Sub(w.unlistedAt) > 2*m.lease && !m.recovery.waitsFor(w)
		if gone {
			delete(m.workers, w.name())
			m.roster.dirty = true
			continue
		}
		keep = append(keep, w)
	}
	clear(m.order[len(keep):])
	m.order = keep
}

// drain moves work off a worker that leaves: what lasts at once, and what can
// resume from its checkpoint if it would not end in time.
func (m *Machine) drain(w *worker) {
	for _, r := range w.snapshot() {
		if r.state == runStopping || m.endsBefore(r, w.member.DrainLeft) {
			continue
		}
		if r.task.step.spec.Lasting || r.task.step.spec.Checkpoint {
			m.stop(r, "worker leaves")
		}
	}
}

// endsBefore reports whether a run is expected to end within a time.
func (m *Machine) endsBefore(r *run, left time.Duration) bool {
	if r.task.step.spec.Lasting {
		return false
	}
	return m.remaining(r) < left-m.stopTime
}

// snapshot returns the runs of a worker, for loops that end some of them.
func (w *worker) snapshot() []*run { return slices.Clone(w.list) }
