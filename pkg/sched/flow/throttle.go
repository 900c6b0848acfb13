package flow

import (
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// throttle is the speed limit of a best-effort run, in percent of its full
// speed.
type throttle struct {
	// want is the limit that the machine decided on, have the one that the worker
	// last confirmed.
	want, have int
	inCall     bool
	sent       time.Time
	// lowSince is since when the limit is below moveBelow, zero if it is not.
	lowSince time.Time
}

const (
	fullSpeed = 100
	// throttleUnknown marks a run whose speed limit on the worker is unknown: the
	// last order to change it was not answered, or an earlier leader started the
	// run.
	throttleUnknown = -1
	// reportWindow is the time that a reported tail latency covers.
	reportWindow = 500 * time.Millisecond
	// relaxBelow is the tail ratio, the tail latency divided by its target, below
	// which the throttle factor is raised again. Only reports below it count as
	// within the target when interference is estimated.
	relaxBelow = 0.85
	// initialIncompatibleShare is the share of a worker that best-effort tasks may
	// use in total at first if they interfere with its latency-critical tasks. The
	// share is adjusted between minIncompatibleShare and maxIncompatibleShare
	// according to the tail latencies that follow.
	initialIncompatibleShare = 0.01
	minIncompatibleShare     = 0.005
	maxIncompatibleShare     = 0.03
	incompatibleShareGrowth  = 1.4
	// growShareBelow is the tail ratio below which the incompatible share grows.
	growShareBelow = 0.7
	// Below the throttle factor throttleAllBelow every best-effort task is
	// throttled, whatever its estimates are.
	throttleAllBelow = 0.2
	// At or below the throttle factor throttleUncertainBelow, tasks are throttled
	// that are not known to be compatible.
	throttleUncertainBelow = 0.25
	// criticalOnlyFactor is the throttle factor of a worker that misses a target
	// although no best-effort run is on it. It gets no best-effort task as long as
	// the task can wait for another worker.
	criticalOnlyFactor = 0.4
	// nearlyDoneWithin is the remaining time below which a run is not throttled. It
	// ends before the throttling would take effect.
	nearlyDoneWithin = 400 * time.Millisecond
	// nearlyDoneMaxMiss bounds how long a target may be missed beside runs that
	// are not throttled because they seem to be nearly done.
	nearlyDoneMaxMiss = time.Second
	// pauseBelow is the share of its full speed below which a run is paused. The
	// throttle factor is raised from at least this value.
	pauseBelow = 0.1
	// minSpeed is the lowest speed limit above a pause. maxPause is how long a run
	// is paused before it continues at minSpeed while no target is missed.
	minSpeed = 20
	maxPause = 6 * time.Second
	// moveBelow is the speed limit below which a run makes better progress on
	// another worker, and moveAfter how long the limit has to be that low.
	moveBelow = 60
	moveAfter = 300 * time.Millisecond
	// maxMovesPerTick bounds the runs that one tick moves.
	maxMovesPerTick = 12
	// maxSearchesPerTick bounds the runs for which one tick searches for another
	// worker, and searchInterval is the pause between two searches for one run.
	// Each search rates all workers.
	maxSearchesPerTick = 24
	searchInterval     = 200 * time.Millisecond
)

// speedLevel returns the speed limit for a share of the full speed. There are
// few levels because each change is an order.
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

func (t *throttle) init() { t.want, t.have = fullSpeed, fullSpeed }

// worstTailRatio returns the highest tail ratio on a worker.
func (w *worker) worstTailRatio() float64 {
	worst := 0.0
	for _, r := range w.criticalRuns {
		if r.ready() {
			worst = max(worst, r.tailRatio())
		}
	}
	return worst
}

// adjustThrottles throttles the best-effort tasks on a worker while a
// latency-critical task misses its target there. Tasks that probably cause the
// miss are throttled first.
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

// adjustThrottleFactor halves the throttle factor while a target is missed, or
// quarters it if the target is missed by far. It raises the factor again once
// all tail latencies have been low for a while. The incompatible share is halved
// at the same times. It grows once all tail ratios are below growShareBelow.
func (m *Machine) adjustThrottleFactor(w *worker) {
	if w.throttleFactor == 0 {
		w.throttleFactor = 1
	}
	if w.incompatibleShare == 0 {
		w.incompatibleShare = initialIncompatibleShare
	}
	worst := w.worstTailRatio()
	since := m.now.Sub(w.throttleFactorAt)
	settle := m.throttleTime + reportWindow
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

// farMissFrom is the tail ratio above which a target counts as missed by far.
const farMissFrom = 1.5

// speedFor returns the speed limit of a best-effort run on a worker.
func (m *Machine) speedFor(w *worker, r *run) int {
	nearlyDone := !r.task.step.spec.Perpetual && m.remaining(r) < nearlyDoneWithin
	if nearlyDone && (w.missedSince.IsZero() || m.now.Sub(w.missedSince) < nearlyDoneMaxMiss) {
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

// incompatibleCPU returns the processors of the best-effort runs that are
// incompatible with the latency-critical tasks on a worker.
func (m *Machine) incompatibleCPU(w *worker) float64 {
	sum := 0.0
	for _, r := range w.bestEffortRuns {
		if r.state != runStopping && m.risk(w, r.task.step.spec.Image) >= incompatibleFrom {
			sum += float64(r.task.step.spec.Resources.CPU)
		}
	}
	return max(sum, 1)
}

// setThrottle orders a speed limit if it differs from the one in force.
func (m *Machine) setThrottle(r *run, percent int) {
	changed := r.throttle.want != percent
	if changed {
		m.log("run throttle changed", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number,
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
	m.emit(ThrottleCmd{Member: r.worker.member, Order: sched.ThrottleOrder{Run: r.id(), Percent: r.throttle.want, Fence: m.token(r.worker)}})
}

const (
	// maxExcessUse is by how much the share of its processors that a throttled run
	// uses may exceed its speed limit. The reported figure is rough.
	maxExcessUse = 0.3
	// idleUse is the share of its processors below which a run at idleFrom percent
	// or more is taken to be paused.
	idleUse  = 0.05
	idleFrom = 50
	// throttleSettleTime is how long after a change of the speed limit a report
	// shows its effect.
	throttleSettleTime = 900 * time.Millisecond
)

// checkThrottle compares the processors that a best-effort run uses with its speed
// limit. An order whose answer was lost may be carried out seconds later, after a
// newer one, and then the worker has another limit than it last confirmed.
func (m *Machine) checkThrottle(r *run) {
	cpu := float64(r.task.step.spec.Resources.CPU)
	if !r.bestEffort() || cpu == 0 || r.throttle.inCall || r.throttle.have == throttleUnknown ||
		m.now.Sub(r.throttle.sent) < throttleSettleTime || m.now.Sub(r.knownAt) < throttleSettleTime {
		return
	}
	use := r.load / cpu
	limit := float64(r.throttle.have) / fullSpeed
	if use <= limit+maxExcessUse && (r.throttle.have < idleFrom || use >= idleUse) {
		return
	}
	m.log("run does not keep its throttle", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number,
		"worker", r.worker.name(), "percent", r.throttle.have, "use", use)
	r.throttle.have = throttleUnknown
}

// handleThrottleResult handles the answer to a change of the speed limit.
func (m *Machine) handleThrottleResult(msg ThrottleResultMsg) {
	w := m.workers[msg.Worker]
	if w == nil {
		return
	}
	if m.endsTerm(w, msg.Result, msg.Reply.Refusal) {
		return
	}
	m.recordReply(w, msg.Result, msg.Reply)
	r := w.runs[msg.Run]
	if r == nil {
		return
	}
	r.throttle.inCall = false
	switch {
	case msg.Err == nil && msg.Reply.Refusal == sched.OrderAccepted:
		if msg.Percent > r.throttle.have {
			r.progressedAt = m.now // The old limit explains the lack of progress.
		}
		w.addPastRun(r, r.throttle.have-msg.Percent, m.now)
		r.throttle.have = msg.Percent
	case msg.Err != nil && !errors.Is(msg.Err, sched.ErrUnavailable):
		// The order may have been carried out, or may still be.
		r.throttle.have = throttleUnknown
		m.lostContact(w, msg.Err)
	case msg.Err != nil:
		m.lostContact(w, msg.Err)
	}
}

// moveThrottled stops best-effort runs that have been throttled for a while if
// they are known to be compatible with another worker, or if they have been
// paused too long. Incompatible runs are moved without the wait. The tasks are
// queued again and resume from their checkpoints, if they have any.
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
			m.stop(r, "moved to a worker with less interference")
		}
	}
}

// pausedTooLong reports whether a run has been paused for long while a target
// is missed beside it, and the other worker meets its targets. There the run
// gets at least minSpeed.
func (m *Machine) pausedTooLong(r *run, to *worker) bool {
	return r.throttle.want == 0 && m.now.Sub(r.throttle.lowSince) > maxPause &&
		r.worker.worstTailRatio() > 1 && to.throttleFactor >= closedBelowFactor && to.worstTailRatio() <= 1
}

// worthMoving reports whether a stop loses little of a run's work and leaves
// enough tasks of its step available.
func (m *Machine) worthMoving(r *run) bool {
	if r.task.step.spec.Gang || !r.task.step.mayLose(r.task) {
		return false
	}
	return r.task.step.spec.Checkpoint || r.percent < movableBelowPercent
}

// movableBelowPercent is the progress below which a throttled run without a
// checkpoint may be moved.
const movableBelowPercent = 25
