package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// worker is the machine's view of one worker.
type worker struct {
	member sched.Member
	// listed means that the register shows the worker. unlistedAt is when the
	// worker last disappeared from the register.
	listed     bool
	unlistedAt time.Time
	// rostered means that the durable roster names the worker.
	rostered bool
	// leftOut means that the roster that was last sent to the store does not name the
	// worker.
	leftOut bool
	// answered means that the worker has accepted this term's fencing token.
	// answeredAt is when it first did.
	answered   bool
	answeredAt time.Time
	// accounted means that the worker has since given a complete report, so that all
	// its runs and ends are known.
	accounted bool
	// replaced means that another incarnation answered at the worker's address.
	replaced bool
	// claim is what is known about the truth of member.Born.
	claim incarnationClaim

	runs map[sched.Run]*run
	// list holds the runs in the order in which they were added. Iterating over it
	// instead of the map keeps the machine deterministic.
	list []*run
	used sched.Resources
	// criticalRuns holds the latency-critical runs and bestEffortRuns the
	// best-effort runs.
	criticalRuns, bestEffortRuns []*run
	// pastRuns holds best-effort runs that recently ended or were throttled and
	// may still affect the reported latencies.
	pastRuns []pastRun
	// imageList caches the images of criticalRuns.
	imageList   []string
	imagesValid bool
	riskCache   riskCache
	// busy is the processor time that all runs are expected to use, including
	// best-effort runs.
	busy float64

	// clock is a reading of the worker's clock. It arrived at clockAt, in the answer to
	// a call that began at clockAsked.
	clock               time.Duration
	clockAt, clockAsked time.Time
	hasClock            bool
	// leasesExpireAt is when all runs have certainly ended of which the incarnation is
	// known that started them, and unattributedExpireAt when all others have, if nothing more
	// is ordered.
	leasesExpireAt, unattributedExpireAt time.Time
	// raises is the number of raises of fencing tokens in this term when the worker's
	// own was last raised.
	raises uint64

	// contactAt is when the worker last accepted an order, as far as is certain.
	contactAt time.Time
	// unansweredSince is when the first of the latest consecutive unanswered calls
	// was noticed, zero if the last call was answered. suspected means that the
	// last call was not answered.
	unansweredSince time.Time
	suspected       bool
	// slow means that the worker answers, but not within the usual timeout.
	slow bool

	renewal renewalState
	// processed is the sequence number of the last run end that was applied,
	// durable of the last whose effect is recorded, and acknowledged of the last
	// that was acknowledged to the worker.
	processed, durable, acknowledged uint64
	pending                          []pendingEnd

	report reportState
	// reportClock is the worker's clock in the last report.
	reportClock time.Duration
	// unknownRuns counts the runs of unknown tasks in the last report. They were
	// ordered to stop.
	unknownRuns int

	booking booking

	// fullUntil is until when a worker that refused a start for lack of capacity
	// gets no further start.
	fullUntil   time.Time
	fullBackoff time.Duration
	quarantine  quarantine
	cold        coldStart
	// throttleFactor falls from 1 while a latency target is missed and rises again
	// afterwards. Low values throttle best-effort runs and keep new ones away.
	throttleFactor float64
	// missedSince is since when a latency target is missed, zero if none is.
	missedSince time.Time
	// incompatibleShare is the share of the worker's processors that best-effort
	// tasks may use in total if they interfere with its latency-critical tasks.
	incompatibleShare float64
	// throttleFactorAt is when throttleFactor or incompatibleShare last changed.
	throttleFactorAt time.Time
	// learnedAt is when learnFromTails last evaluated a report of the worker.
	learnedAt time.Time
}

// pendingEnd is a run end that may be acknowledged once a change is durable.
type pendingEnd struct {
	seq uint64
	// change is the number of the change that has to be durable first.
	change uint64
}

func (w *worker) name() sched.WorkerName { return w.member.Worker }

// free returns the capacity that no run takes.
func (w *worker) free() sched.Resources { return w.member.Capacity.Sub(w.used) }

// sinceContact returns the time since the worker last answered, or -1 if it
// never did.
func (w *worker) sinceContact(now time.Time) time.Duration {
	if w.contactAt.IsZero() {
		return -1
	}
	return now.Sub(w.contactAt)
}

// countRun adds a run to the sums and lists by kind, or removes it if sign is
// negative.
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

// addOrRemove adds a run to a list, or removes it if sign is negative.
func addOrRemove(list []*run, r *run, sign int) []*run {
	if sign > 0 {
		return append(list, r)
	}
	return slices.DeleteFunc(list, func(o *run) bool { return o == r })
}

// criticalUse is the share of its processors that a latency-critical task uses
// at its peak load. Where latency-critical and best-effort tasks together want
// more processors than the worker has, every tail latency grows.
const criticalUse = 0.45

// unresponsiveAfter is how long calls may stay unanswered before the worker's
// leases are no longer renewed.
const unresponsiveAfter = 700 * time.Millisecond

// unresponsive reports whether calls have been unanswered for longer than
// unresponsiveAfter.
func (w *worker) unresponsive(now time.Time) bool {
	return !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) > unresponsiveAfter
}

// usable reports whether new runs may be placed on the worker.
func (m *Machine) usable(w *worker) bool {
	return w.listed && w.rostered && w.accounted && w.hasClock && !w.replaced && !w.suspected && !w.slow &&
		w.report.endsUnreadableSince.IsZero() && m.takesStarts(w) && !m.now.Before(w.fullUntil)
}

// setMembers applies the content of the register of workers.
func (m *Machine) setMembers(members []sched.Member) {
	seen := map[sched.WorkerName]bool{}
	for _, mb := range m.withKnownService(members) {
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
	if w.contradicts(mb.Born) {
		return // The register's entry is out of date, or the worker has not written it.
	}
	w.listed = true
	if mb.Born != w.member.Born {
		m.newIncarnation(w, mb.Born, "register")
		w.claimed()
	}
	if mb.Draining != w.member.Draining {
		m.log("worker draining", "worker", mb.Worker, "draining", mb.Draining, "left", mb.DrainLeft, "runs", len(w.runs))
	}
	if mb.Addr != w.member.Addr {
		w.replaced = false
		m.expectRestart(w)
		w.rostered, m.roster.dirty = false, true
	}
	w.member = mb
	w.noteCold(m.now)
	if w.member.Draining {
		m.drain(w)
	}
	m.maintainWorker(w)
}

func (m *Machine) addWorker(mb sched.Member) *worker {
	w := &worker{member: mb, runs: map[sched.Run]*run{}}
	m.raiseToken(w)
	m.workers[mb.Worker] = w
	m.order = append(m.order, w)
	m.roster.dirty = true
	return w
}

// dropWorkers removes workers that left the register, run nothing and have no
// end to acknowledge.
func (m *Machine) dropWorkers() {
	keep := m.order[:0]
	for _, w := range m.order {
		gone := !w.listed && len(w.runs) == 0 && w.processed == w.acknowledged &&
			m.now.Sub(w.unlistedAt) > 2*m.lease && !m.recovery.waitsFor(w)
		if gone {
			delete(m.workers, w.name())
			m.roster.dirty = m.roster.dirty || !w.leftOut
			continue
		}
		keep = append(keep, w)
	}
	clear(m.order[len(keep):])
	m.order = keep
}

// drain stops runs on a worker that is leaving so that their tasks start
// elsewhere. It stops perpetual runs at once, and runs with a checkpoint if
// they would not end in time.
func (m *Machine) drain(w *worker) {
	for _, r := range w.snapshot() {
		if r.state == runStopping || m.endsBefore(r, w.member.DrainLeft) {
			continue
		}
		if r.task.step.spec.Perpetual || r.task.step.spec.Checkpoint {
			m.stop(r, "worker is draining")
		}
	}
}

// endsBefore reports whether a run is expected to end within the time left,
// with enough time to stop it.
func (m *Machine) endsBefore(r *run, left time.Duration) bool {
	if r.task.step.spec.Perpetual {
		return false
	}
	return m.remaining(r) < left-m.stopTime
}

// snapshot returns a copy of the worker's runs for loops that remove some of
// them.
func (w *worker) snapshot() []*run { return slices.Clone(w.list) }
