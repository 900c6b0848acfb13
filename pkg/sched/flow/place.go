package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// fillShare is the part of its processors that a filling task must find unused
// on a worker. Where it finds less, it is better off waiting.
const minUnusedShare = 0.8

// choose returns the worker on which a task starts, or nil.
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

// permitted reports whether a task may run on a worker and fits.
func (m *Machine) permitted(t *task, w *worker, q sched.Queue) bool {
	return t.step.spec.Need().Fits(w.free()) && m.acceptable(t, w, q)
}

// acceptable reports whether a task may run on a worker, room aside.
func (m *Machine) acceptable(t *task, w *worker, q sched.Queue) bool {
	return m.permittedByStep(t, w, q) && m.permittedByAdviser(t.step, w, q)
}

// permittedByStep reports whether a task's step permits a worker, room and
// advice aside.
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
// task should rather wait.
func (m *Machine) score(t *task, w *worker) (float64, bool) {
	m.ratings++
	s := t.step.spec
	waited := m.now.Sub(t.queuedAt)
	score := -m.failurePenalty(t, w)
	if s.Affinity != "" && w.member.Rack() != s.Affinity {
		// Away from its data the task takes longer by a known factor. Waiting
		// is better until the time lost equals what the distance costs.
		if waited < m.remoteWait(t.step) && m.rackUsable(s.Affinity) {
			return 0, false
		}
		score -= remotePenalty
	}
	if s.Fills {
		return m.scoreBestEffort(t, w, score)
	}
	capacity := max(float64(w.member.Capacity.CPU), 1)
	left := float64(w.free().CPU - s.Need().CPU)
	// Beyond that, the reserve goes to a task that lasts only if there is room
	// for two of them.
	if s.Lasting && m.usesReserve(s.Need().CPU) && (waited < maxReserveWait || !m.poolFitsTwo(t.step)) {
		return 0, false
	}
	memory := float64(w.free().Memory-s.Need().Memory) / float64(max(w.member.Capacity.Memory, 1))
	room := left/capacity + memoryWeight*memory
	if s.Serves() {
		return score + room + m.scoreCritical(t, w), true
	}
	// Short tasks go where the least room is left, so that the rest of the pool
	// keeps room for large tasks.
	return score - room, true
}

// farWait returns how long a task waits for room near its data, or a gang for
// one rack, before it starts elsewhere.
func (m *Machine) remoteWait(s *step) time.Duration {
	return min(time.Duration((m.remoteFactor-1)*float64(m.duration(s))), maxRemoteWait)
}

// reserved reports whether a task that lasts would take processors that are
// kept for short ones. The reserve is the pool's and not each worker's, so that
// tasks which belong together can fill a worker.
func (m *Machine) usesReserve(need sched.MilliCPU) bool {
	capacity := m.currentCapacity()
	return float64(capacity.free-need) < m.reserveShare*float64(capacity.total)
}

// roomTwice reports whether the pool has room for two tasks of a step. It counts
// once for all ratings of the step in a pass.
func (m *Machine) poolFitsTwo(s *step) bool {
	if !s.fitsTwo.at.Equal(m.now) {
		s.fitsTwo = fitsTwoCache{m.now, m.countFitting(s, 2) >= 2}
	}
	return s.fitsTwo.ok
}

// twiceRoom tells whether there was room for two tasks of a step at a time.
type fitsTwoCache struct {
	at time.Time
	ok bool
}

// countRoom returns for how many tasks of a step the pool has room, up to a
// bound.
func (m *Machine) countFitting(s *step, limit int) int {
	q := m.fleet.Queues[s.occ.job.queue]
	need := s.spec.Need()
	n := 0
	for _, w := range m.order {
		if !m.acceptable(s.tasks[0], w, q) {
			continue
		}
		free := w.free()
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

// spareNow returns the free room of all usable workers.
func (m *Machine) currentCapacity() poolCapacity {
	if !m.poolCapacity.at.Equal(m.now) {
		m.poolCapacity = poolCapacity{at: m.now}
		for _, w := range m.order {
			if m.usable(w) {
				m.poolCapacity.free += w.free().CPU
				m.poolCapacity.total += w.member.Capacity.CPU
			}
		}
	}
	return m.poolCapacity
}

// spareRoom is the free room of all usable workers at a time.
type poolCapacity struct {
	at          time.Time
	free, total sched.MilliCPU
}

// scoreServe rates the neighbours of a task that serves. Tasks of one image
// are kept together: what disturbs one image often leaves another alone, so
// that every image that fills finds workers on which it does no harm.
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
	// farPenalty outweighs any difference in room, and farPatience bounds how
	// long room elsewhere is left unused.
	remotePenalty = 10
	maxRemoteWait = 2 * time.Second
	// memoryWeight is the weight of free memory beside free processors.
	memoryWeight = 0.2
	// reservePatience bounds how long the reserve keeps a lasting task waiting.
	maxReserveWait = 1500 * time.Millisecond
	// sameImage and otherImage weigh the images of the neighbours of a task
	// that serves; they outweigh differences in room.
	sameImageBonus    = 1.5
	otherImagePenalty = 2.0
	// freeLeast is the share of the workers that is kept free of tasks that
	// serve, for images that disturb all of them; lastFree weighs it.
	minCriticalFreeShare = 0.12
	criticalFreePenalty  = 1.5
	// scarceWeight keeps images that get along with most off the workers that
	// are open to those which get along with few.
	scarcityWeight = 1.5
	// cautionShut is the caution below which a worker takes no task that fills
	// as long as that can wait, and missedPenalty weighs it afterwards.
	closedBelowFactor   = 0.5
	missedTargetPenalty = 5
	// slowedWeight spreads the tasks that have to be slowed.
	throttledRunWeight = 0.4
	// riskWeight weighs the belief that a task that fills disturbs those that
	// serve, for each of them up to manyServe.
	riskWeight         = 2
	maxCriticalCounted = 3
	// riskPatience is how long a task that fills waits for a worker where it
	// disturbs nobody. A disturbed task that serves loses more in two seconds
	// than the other gains by its end.
	maxRiskWait     = 10 * time.Second
	maxRiskWaitIdle = 2 * time.Second
	// fillRisk weighs the same the other way round, for each task that fills.
	bestEffortRiskWeight = 0.5
)

// scoreFill rates a worker for a task that uses what others leave.
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
		// A target is missed there, so all that fills is about to be slowed,
		// whatever the cause is.
		if m.now.Sub(t.queuedAt) < m.riskWait() {
			return 0, false
		}
		score -= missedTargetPenalty
	}
	return score + (left-need)/max(capacity, 1) - riskWeight*risk*min(float64(len(w.criticalRuns)), maxCriticalCounted), true
}

// freeShare returns the share of the usable workers on which no task serves.
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

// openShare is the share of the workers on which no task serves, at a time.
type criticalFreeCache struct {
	at    time.Time
	share float64
}

// riskWait returns how long a task that fills waits for a worker where it
// disturbs nobody: not for long while most processors are idle.
func (m *Machine) riskWait() time.Duration {
	if capacity := m.currentCapacity(); 2*capacity.free > capacity.total {
		return maxRiskWaitIdle
	}
	return maxRiskWait
}

// scarcity returns how much rarer workers are for an image that a worker is
// open to than for the given one: the difference of their hostilities.
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

// slowed returns the number of runs that fill a worker below full pace.
func (w *worker) throttledRuns() int {
	n := 0
	for _, r := range w.bestEffortRuns {
		if r.throttle.want < fullSpeed {
			n++
		}
	}
	return n
}

// rackServes reports whether a rack has a usable worker.
func (m *Machine) rackUsable(rack string) bool {
	for _, w := range m.order {
		if w.member.Rack() == rack && m.usable(w) {
			return true
		}
	}
	return false
}
