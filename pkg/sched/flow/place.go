package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// minUnusedShare is the share of its processors that a best-effort task must
// find unused on a worker. With less it is better to wait.
const minUnusedShare = 0.8

// chooseWorker returns the worker on which a task starts, or nil.
func (m *Machine) chooseWorker(t *task, q sched.Queue) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range m.order {
		if !m.permitted(t, w, q) {
			continue
		}
		score, ok := m.score(t, w)
		if ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// permitted reports whether a task may run on a worker and fits there.
func (m *Machine) permitted(t *task, w *worker, q sched.Queue) bool {
	return t.step.spec.Need().Fits(w.freeFor(t.step)) && m.acceptable(t, w, q)
}

// acceptable reports whether a task may run on a worker, regardless of free
// capacity.
func (m *Machine) acceptable(t *task, w *worker, q sched.Queue) bool {
	return m.permittedByStep(t, w, q) && m.permittedByAdviser(t.step, w, q)
}

// permittedByStep reports whether a task's step permits a worker, regardless of
// free capacity and advice.
func (m *Machine) permittedByStep(t *task, w *worker, q sched.Queue) bool {
	s := t.step.spec
	if !m.usable(w) || w.member.Service != q.Service {
		return false
	}
	if s.Requires != "" && !slices.Contains(w.member.Labels, s.Requires) {
		return false
	}
	if s.AntiAffinity > 0 && t.step.placedOn[w] >= s.AntiAffinity {
		return false
	}
	return true
}

// score rates a worker for a task; higher is better. It reports false if the
// task had better wait.
func (m *Machine) score(t *task, w *worker) (float64, bool) {
	m.ratings++
	s := t.step.spec
	waited := m.now.Sub(t.queuedAt)
	slow, use := m.speedPenalty(t, w)
	if !use {
		return 0, false
	}
	score := -m.failurePenalty(t, w) - m.coldPenalty(w) - slow
	if s.Affinity != "" && w.member.Rack() != s.Affinity {
		// The task takes longer on a rack without its data, by a known factor.
		// Waiting is better until the time lost equals the cost of the distance.
		if waited < m.remoteWait(t.step) && m.rackUsable(s.Affinity) {
			return 0, false
		}
		score -= remotePenalty
	}
	if s.BestEffort {
		return m.scoreBestEffort(t, w, score)
	}
	capacity := max(float64(w.member.Capacity.CPU), 1)
	left := float64(w.free().CPU - s.Need().CPU)
	// After maxReserveWait a perpetual task may use the reserve if the pool has
	// free capacity for two of them, or if the task has been away too long. A task
	// that was moved left as much capacity as it takes.
	if s.Perpetual && !t.moved && m.usesReserve(s.Need().CPU) && (waited < maxReserveWait || !m.poolFitsTwo(t.step)) && !m.awayTooLong(t) {
		return 0, false
	}
	memory := float64(w.free().Memory-s.Need().Memory) / float64(max(w.member.Capacity.Memory, 1))
	freeShare := left/capacity + memoryWeight*memory
	if s.LatencyCritical() {
		return score + freeShare + m.scoreCritical(t, w), true
	}
	// Short tasks go where the least capacity is left, so that other workers keep
	// free capacity for large tasks.
	return score - freeShare - overloadWeight*m.overload(w, s.Need().CPU), true
}

// overload returns by how much a further task makes the runs of a worker want more
// processors than it has, as a share of them. The best-effort runs there would slow
// its latency-critical ones.
func (m *Machine) overload(w *worker, need sched.MilliCPU) float64 {
	capacity := max(float64(w.member.Capacity.CPU), 1)
	return max(w.busy+float64(need)-capacity, 0) / capacity
}

// remoteWait returns how long a task waits for capacity on the rack with its
// data, or a gang for one rack, before it starts elsewhere.
func (m *Machine) remoteWait(s *step) time.Duration {
	return min(time.Duration((m.remoteFactor-1)*float64(m.duration(s))), maxRemoteWait)
}

// usesReserve reports whether a perpetual task would use processors that are
// reserved for short tasks. The reserve is a share of all usable workers and not
// of each, so that tasks that belong together can fill a worker.
func (m *Machine) usesReserve(need sched.MilliCPU) bool {
	capacity := m.currentCapacity()
	return float64(capacity.free-need) < m.reserveShare*float64(capacity.total)
}

// poolFitsTwo reports whether the pool has free capacity for two tasks of a
// step. The result is cached for the pass.
func (m *Machine) poolFitsTwo(s *step) bool {
	if !s.fitsTwo.at.Equal(m.now) {
		s.fitsTwo = fitsTwoCache{m.now, m.countFitting(s, 2) >= 2}
	}
	return s.fitsTwo.ok
}

// fitsTwoCache holds whether there was free capacity for two tasks of a step at
// a given time.
type fitsTwoCache struct {
	at time.Time
	ok bool
}

// countFitting returns for how many tasks of a step the pool has free capacity,
// up to a limit.
func (m *Machine) countFitting(s *step, limit int) int {
	q := m.fleet.Queues[s.occ.job.queue]
	need := s.spec.Need()
	n := 0
	for _, w := range m.order {
		if !m.acceptable(s.tasks[0], w, q) {
			continue
		}
		free := w.freeFor(s)
		for n < limit && need.Fits(free) {
			free = free.Sub(need)
			n++
		}
		if n == limit {
			break
		}
	}
	return n
}

// currentCapacity returns the free and total processors of all usable workers.
func (m *Machine) currentCapacity() usableCapacity {
	if !m.usableCapacity.at.Equal(m.now) {
		m.usableCapacity = usableCapacity{at: m.now}
		for _, w := range m.order {
			if m.usable(w) {
				m.usableCapacity.free += w.free().CPU
				m.usableCapacity.total += w.member.Capacity.CPU
			}
		}
	}
	return m.usableCapacity
}

// usableCapacity holds the free and total processors of all usable workers at a
// given time.
type usableCapacity struct {
	at          time.Time
	free, total sched.MilliCPU
}

// scoreCritical rates the neighbours that a latency-critical task would have on
// a worker. Tasks of one image are kept together. A best-effort image that
// interferes with one latency-critical image is often compatible with another,
// so every best-effort image then finds compatible workers.
func (m *Machine) scoreCritical(t *task, w *worker) float64 {
	image := t.step.spec.Image
	score := 0.0
	if len(w.criticalRuns) == 0 && m.criticalFreeShare() <= minCriticalFreeShare {
		score -= criticalFreePenalty
	}
	for _, other := range w.criticalImages() {
		if other == image {
			score += sameImageBonus
		} else {
			score -= otherImagePenalty * m.interference.difference(image, other)
		}
	}
	for _, r := range w.bestEffortRuns {
		if r.state != runStopping {
			score -= bestEffortRiskWeight * m.interference.estimate(image, r.task.step.spec.Image)
		}
	}
	return score
}

const (
	// remotePenalty outweighs any difference in free capacity. maxRemoteWait
	// bounds how long free capacity on other racks is left unused.
	remotePenalty = 10
	maxRemoteWait = 2 * time.Second
	// overloadWeight is the weight of overloaded processors relative to free ones. A
	// short task prefers a worker with idle processors to one where it would slow
	// latency-critical runs by about as much.
	overloadWeight = 1
	// memoryWeight is the weight of free memory relative to free processors.
	memoryWeight = 0.2
	// maxReserveWait bounds how long a perpetual task waits because of the
	// reserve.
	maxReserveWait = 1500 * time.Millisecond
	// sameImageBonus and otherImagePenalty weigh the images of the neighbours of a
	// latency-critical task. They outweigh differences in free capacity.
	sameImageBonus    = 1.5
	otherImagePenalty = 2.0
	// minCriticalFreeShare is the share of the workers that is kept free of
	// latency-critical tasks, for best-effort images that interfere with all of
	// them. criticalFreePenalty is the weight of this rule.
	minCriticalFreeShare = 0.12
	criticalFreePenalty  = 1.5
	// scarcityWeight keeps best-effort images that are compatible with most
	// workers away from workers that suit an image with few compatible workers.
	scarcityWeight = 1.5
	// closedBelowFactor is the throttle factor below which a worker gets no
	// best-effort task as long as the task can wait. Afterwards
	// missedTargetPenalty applies.
	closedBelowFactor   = 0.5
	missedTargetPenalty = 5
	// throttledRunWeight spreads best-effort tasks that have to be throttled over
	// the workers.
	throttledRunWeight = 0.4
	// riskWeight weighs the estimate that a best-effort task interferes with the
	// latency-critical tasks, for each of them up to maxCriticalCounted.
	riskWeight         = 2
	maxCriticalCounted = 3
	// maxRiskWait is how long a best-effort task waits for a compatible worker. A
	// latency-critical task that suffers interference for two seconds loses more
	// than the best-effort task gains by running to its end. maxRiskWaitIdle
	// applies while most processors are idle.
	maxRiskWait     = 10 * time.Second
	maxRiskWaitIdle = 2 * time.Second
	// bestEffortRiskWeight weighs the estimate when a latency-critical task is
	// placed, for each best-effort run on the worker.
	bestEffortRiskWeight = 0.5
)

// scoreBestEffort rates a worker for a best-effort task.
func (m *Machine) scoreBestEffort(t *task, w *worker, score float64) (float64, bool) {
	s := t.step.spec
	capacity := float64(w.member.Capacity.CPU)
	need := float64(s.Resources.CPU)
	left := capacity - w.busy
	if left < minUnusedShare*need {
		return 0, false
	}
	score -= scarcityWeight * m.scarcity(w, s.Image)
	risk := m.risk(w, s.Image)
	if mayWait := m.now.Sub(t.queuedAt) < m.riskWait(); mayWait && (risk >= incompatibleFrom || risk >= compatibleBelow && w.throttleFactor < 1 && w.throttleFactor > 0) {
		return 0, false
	}
	if risk >= incompatibleFrom {
		score -= throttledRunWeight * float64(w.throttledRuns())
	}
	if w.throttleFactor > 0 && w.throttleFactor < closedBelowFactor {
		// A target is missed on this worker, so all its best-effort tasks are about
		// to be throttled, whatever the cause is.
		if m.now.Sub(t.queuedAt) < m.riskWait() {
			return 0, false
		}
		score -= missedTargetPenalty
	}
	return score + (left-need)/max(capacity, 1) - riskWeight*risk*min(float64(len(w.criticalRuns)), maxCriticalCounted), true
}

// criticalFreeShare returns the share of the usable workers without a
// latency-critical task.
func (m *Machine) criticalFreeShare() float64 {
	if m.criticalFree.at.Equal(m.now) {
		return m.criticalFree.share
	}
	free, all := 0, 0
	for _, w := range m.order {
		if !m.usable(w) {
			continue
		}
		all++
		if len(w.criticalRuns) == 0 {
			free++
		}
	}
	m.criticalFree = criticalFreeCache{m.now, float64(free) / float64(max(all, 1))}
	return m.criticalFree.share
}

// criticalFreeCache holds the result of criticalFreeShare at a given time.
type criticalFreeCache struct {
	at    time.Time
	share float64
}

// riskWait returns how long a best-effort task waits for a compatible worker.
// The wait is short while most processors are idle.
func (m *Machine) riskWait() time.Duration {
	if capacity := m.currentCapacity(); 2*capacity.free > capacity.total {
		return maxRiskWaitIdle
	}
	return maxRiskWait
}

// scarcity compares the given image with the best-effort images that are
// compatible with the worker. It returns by how much the highest interference
// share among them exceeds the share of the given image, or 0. Few workers suit
// an image with a high interference share, so other images had better leave
// those workers free.
func (m *Machine) scarcity(w *worker, image string) float64 {
	r := w.risksAt(m.interference.version)
	if r.maxCompatible < 0 {
		r.maxCompatible = 0
		for _, other := range m.interference.bestEffortImages() {
			if h := m.interference.interferenceShare(other); h > r.maxCompatible && m.risk(w, other) < incompatibleFrom {
				r.maxCompatible = h
			}
		}
	}
	return max(r.maxCompatible-m.interference.interferenceShare(image), 0)
}

// throttledRuns returns the number of best-effort runs below full speed on a
// worker.
func (w *worker) throttledRuns() int {
	n := 0
	for _, r := range w.bestEffortRuns {
		if r.throttle.want < fullSpeed {
			n++
		}
	}
	return n
}

// rackUsable reports whether a rack has a usable worker.
func (m *Machine) rackUsable(rack string) bool {
	for _, w := range m.order {
		if w.member.Rack() == rack && m.usable(w) {
			return true
		}
	}
	return false
}
