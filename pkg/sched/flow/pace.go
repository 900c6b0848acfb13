package flow

import (
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// pace is the share of its speed at which a run that fills works, in percent.
type throttle struct {
	// want is what the machine decided, have what the worker last confirmed.
	want, have int
	inCall     bool
	sent       time.Time
	// lowSince is when the pace was last lowered below movePace.
	lowSince time.Time
}

const (
	fullSpeed = 100
	// paceUnknown stands for the pace of a run of which the worker last took
	// an order without an answer, or one of another leader.
	throttleUnknown = -1
	// figureWindow is the time that a reported figure covers.
	figureWindow = 500 * time.Millisecond
	// tailCalm is the tail, as a share of its target, below which caution is
	// given up.
	relaxBelow = 0.85
	// trickleFirst is the share of a worker that tasks which do not get along
	// with those that serve there use together at first; it is adjusted between
	// trickleLeast and trickleMost by the tails that follow.
	initialIncompatibleShare = 0.01
	minIncompatibleShare     = 0.005
	maxIncompatibleShare     = 0.03
	incompatibleShareGrowth  = 1.4
	// trickleCalm is the tail, as a share of its target, below which the
	// trickle is raised.
	growShareBelow = 0.7
	// cautionLeast is the caution from which every task that fills is slowed,
	// whatever is believed of it, and cautionStop the one that pauses.
	throttleAllBelow = 0.2
	// cautionMiddle is the caution from which tasks are slowed that are not
	// known to get along.
	throttleUncertainBelow = 0.25
	// cautionAlone is the caution of a worker on which a target is missed though
	// nothing fills it: it takes nothing that fills while others can.
	criticalOnlyFactor = 0.4
	// nearlyDone is the time left from which a run is not slowed any more: it
	// ends sooner than the slowing would show.
	nearlyDoneWithin = 400 * time.Millisecond
	// spareMost bounds how long a target may be missed beside runs that are
	// spared because they seem to be nearly done.
	nearlyDoneMaxMiss = time.Second
	pauseBelow        = 0.1
	// leastPace is the lowest pace above a pause, and pausePatience how long a
	// run is paused until it goes on at that pace while no target is missed.
	minSpeed = 20
	maxPause = 6 * time.Second
	// movePace is the pace below which a run is better off elsewhere, and
	// moveAfter how long it has to be that low.
	moveBelow = 60
	moveAfter = 300 * time.Millisecond
	// movesPerTick bounds the runs that are moved at a time.
	maxMovesPerTick = 12
	// searchesPerTick bounds the runs for which a tick looks for another worker,
	// and searchEvery is how often it does for one run: each search rates all
	// workers.
	maxSearchesPerTick = 24
	searchInterval     = 200 * time.Millisecond
)

// paceLevel returns the pace for a share. There are few levels, as each change
// is an order.
func speedLevel(share float64) int {
	switch {
	case share >= 0.75:
		return fullSpeed
	case share >= 0.35:
		return 50
	case share >= pauseBelow:
		return minSpeed
	default:
		return 0
	}
}

func (p *throttle) init() { p.want, p.have = fullSpeed, fullSpeed }

// worstTail returns the highest tail on a worker as a share of its target.
func (w *worker) worstTailRatio() float64 {
	worst := 0.0
	for _, r := range w.criticalRuns {
		if r.ready() {
			worst = max(worst, r.tailRatio())
		}
	}
	return worst
}

// adjustPace slows the tasks that fill while a task that serves beside them
// misses its target, those first that are believed to be the cause.
func (m *Machine) adjustThrottles(w *worker) {
	switch {
	case w.worstTailRatio() <= 1:
		w.missedSince = time.Time{}
	case w.missedSince.IsZero():
		w.missedSince = m.now
	}
	if len(w.bestEffortRuns) == 0 {
		w.throttleFactor, w.incompatibleShare = 1, initialIncompatibleShare
		if w.worstTailRatio() > 1 {
			w.throttleFactor = criticalOnlyFactor
		}
		return
	}
	m.adjustThrottleFactor(w)
	for _, r := range w.bestEffortRuns {
		if r.state == runRunning {
			m.setThrottle(r, m.speedFor(w, r))
		}
	}
}

// adjustCaution halves the paces while a target is missed and raises them
// again when all tails have been low for a while.
func (m *Machine) adjustThrottleFactor(w *worker) {
	if w.throttleFactor == 0 {
		w.throttleFactor = 1
	}
	if w.incompatibleShare == 0 {
		w.incompatibleShare = initialIncompatibleShare
	}
	worst := w.worstTailRatio()
	since := m.now.Sub(w.throttleFactorAt)
	settle := m.throttleTime + figureWindow
	switch {
	case worst > 1 && since >= settle:
		w.incompatibleShare = max(w.incompatibleShare/2, minIncompatibleShare)
	case worst < growShareBelow && since >= 2*settle && w.incompatibleShare < maxIncompatibleShare:
		w.incompatibleShare = min(w.incompatibleShare*incompatibleShareGrowth, maxIncompatibleShare)
		w.throttleFactorAt = m.now
	}
	switch {
	case worst > 1 && since >= settle:
		w.throttleFactor /= 2
		if worst > farMissFrom {
			w.throttleFactor /= 2
		}
		w.throttleFactorAt = m.now
	case worst < relaxBelow && since >= 2*settle && w.throttleFactor < 1:
		w.throttleFactor = min(1, max(w.throttleFactor, pauseBelow)*2)
		w.throttleFactorAt = m.now
	}
}

// tailFar is the tail, as a share of its target, that shows a target missed by
// far.
const farMissFrom = 1.5

// paceFor returns the pace of a run beside the tasks that serve.
func (m *Machine) speedFor(w *worker, r *run) int {
	if m.remaining(r) < nearlyDoneWithin && (w.missedSince.IsZero() || m.now.Sub(w.missedSince) < nearlyDoneMaxMiss) {
		return fullSpeed
	}
	risk := m.risk(w, r.task.step.spec.Image)
	share := 1.0
	switch {
	case risk >= incompatibleFrom:
		share = min(1, w.incompatibleShare*float64(w.member.Capacity.CPU)/m.incompatibleCPU(w))
	case risk >= compatibleBelow && w.throttleFactor <= throttleUncertainBelow, w.throttleFactor < throttleAllBelow:
		share = w.throttleFactor
	}
	level := speedLevel(share)
	low := r.throttle.lowSince
	if level == 0 && !low.IsZero() && m.now.Sub(low) > maxPause && w.worstTailRatio() <= 1 {
		return minSpeed
	}
	return level
}

// riskyCPU returns the processors of the runs that fill a worker and do not get
// along with those that serve there.
func (m *Machine) incompatibleCPU(w *worker) float64 {
	sum := 0.0
	for _, r := range w.bestEffortRuns {
		if r.state != runStopping && m.risk(w, r.task.step.spec.Image) >= incompatibleFrom {
			sum += float64(r.task.step.spec.Resources.CPU)
		}
	}
	return max(sum, 1)
}

// setPace orders a pace if it differs from the one that is in force.
func (m *Machine) setThrottle(r *run, percent int) {
	changed := r.throttle.want != percent
	if changed {
		m.log("pace changed", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number,
			"worker", r.worker.name(), "percent", percent, "before", r.throttle.want, "worst", r.worker.worstTailRatio(),
			"caution", r.worker.throttleFactor)
		r.worker.busy -= r.use()
		r.throttle.want = percent
		r.worker.busy += r.use()
	}
	switch {
	case percent >= moveBelow:
		r.throttle.lowSince = time.Time{}
	case r.throttle.lowSince.IsZero():
		r.throttle.lowSince = m.now
	}
	if r.throttle.inCall || r.throttle.have == r.throttle.want {
		return
	}
	if !changed && m.now.Sub(r.throttle.sent) < m.callTime {
		return
	}
	r.throttle.inCall, r.throttle.sent = true, m.now
	m.emit(PaceCmd{Member: r.worker.member, Order: sched.PaceOrder{Run: r.id(), Percent: r.throttle.want, Fence: m.term}})
}

// paced takes in the answer to a change of pace.
func (m *Machine) handleThrottleResult(msg PaceResultMsg) {
	w := m.workers[msg.Worker]
	if w == nil {
		return
	}
	if msg.Err == nil && msg.Reply.HasClock {
		w.recordClock(msg.Sent, m.now, msg.Reply.Clock)
	}
	if msg.Err == nil && msg.Reply.Refusal == sched.OrderFenced {
		m.endTerm("worker " + string(msg.Worker) + " has seen a newer term")
		return
	}
	r := w.runs[msg.Run]
	if r == nil {
		return
	}
	r.throttle.inCall = false
	switch {
	case msg.Err == nil && msg.Reply.Refusal == sched.OrderAccepted:
		if msg.Percent > r.throttle.have {
			r.progressedAt = m.now // It could make little progress before.
		}
		w.addPastRun(r, r.throttle.have-msg.Percent, m.now)
		r.throttle.have = msg.Percent
	case msg.Err != nil && !errors.Is(msg.Err, sched.ErrUnavailable):
		// It may have been carried out, or may be later.
		r.throttle.have = throttleUnknown
		m.lostContact(w, msg.Err)
	case msg.Err != nil:
		m.lostContact(w, msg.Err)
	}
}

// moveSlowed stops runs that fill and are slowed for long where another worker
// would let them work at full pace. They resume there from their checkpoint.
func (m *Machine) moveThrottled() {
	left, searches := maxMovesPerTick, maxSearchesPerTick
	nowhere := map[string]bool{}
	for _, w := range m.order {
		for _, r := range w.bestEffortRuns {
			if left == 0 || searches == 0 {
				return
			}
			low := r.throttle.lowSince
			if r.state != runRunning || low.IsZero() || !m.worthMoving(r) {
				continue
			}
			if m.now.Sub(low) < moveAfter && m.risk(w, r.task.step.spec.Image) < incompatibleFrom {
				continue
			}
			if nowhere[r.task.step.spec.Image] || m.now.Sub(r.searchedAt) < searchInterval {
				continue
			}
			searches--
			r.searchedAt = m.now
			q := m.fleet.Queues[r.task.job().queue]
			to := m.chooseWorker(r.task, q)
			nowhere[r.task.step.spec.Image] = to == nil
			if to == nil || to == w || m.risk(to, r.task.step.spec.Image) >= compatibleBelow && !m.pausedTooLong(r, to) {
				continue
			}
			left--
			m.stop(r, "slowed for the sake of tasks that serve")
		}
	}
}

// stuck reports whether a run is paused for long while a target is missed
// beside it, and another worker meets its targets. There it works at least at
// the lowest pace.
func (m *Machine) pausedTooLong(r *run, to *worker) bool {
	return r.throttle.want == 0 && m.now.Sub(r.throttle.lowSince) > maxPause &&
		r.worker.worstTailRatio() > 1 && to.throttleFactor >= closedBelowFactor && to.worstTailRatio() <= 1
}

// worthMoving reports whether a stop loses little of a run's work.
func (m *Machine) worthMoving(r *run) bool {
	if r.task.step.spec.Gang {
		return false
	}
	return r.task.step.spec.Checkpoint || r.percent < movableBelowPercent
}

// movableBelow is the progress, in percent, below which a run without a
// checkpoint is moved rather than slowed.
const movableBelowPercent = 25
