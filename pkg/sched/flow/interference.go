package flow

import (
	"math"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/internal/cache"
)

// interference estimates which best-effort images interfere with which
// latency-critical images.
//
// Two images either interfere or are compatible. The effect comes and goes
// within seconds, so one low tail latency says little and a missed target says
// much. Each pair has an estimate, the probability that the two interfere.
// After a missed target the estimates of all best-effort images on the worker
// rise, in proportion to their previous values. Time within the target lowers
// the estimates slowly.
type interference struct {
	// logOdds holds the natural logarithm of the odds of each estimate, and
	// estimates the probability itself.
	logOdds   map[imagePair]float64
	estimates map[imagePair]float64
	// version increases with each change of an estimate.
	version uint64
	// interferenceShares caches the results of interferenceShare, and bestEffort
	// lists the known best-effort images.
	interferenceShares map[string]float64
	bestEffort         []string
	// differences caches the results of difference.
	differences *cache.Cache[[2]string, float64]
}

// imagePair names a latency-critical image and a best-effort image.
type imagePair struct{ critical, bestEffort string }

const (
	// priorEstimate is the estimate for a pair without observations.
	priorEstimate = 0.4
	// maxEstimate and minEstimate bound the estimates, so that later reports can
	// still change them.
	maxEstimate = 0.995
	minEstimate = 0.01
	// withinTargetWeight is the decrease of the log odds for one report within the
	// target beside an image that uses fullWeightShare of the worker or more.
	withinTargetWeight = 0.3
	fullWeightShare    = 0.1
	// nearlyCertain is the estimate above which reports within the target count
	// for less, by nearlyCertainWeight.
	nearlyCertain       = 0.9
	nearlyCertainWeight = 0.1
	// otherCauseNearMiss is the probability that a missed target has another cause
	// than a best-effort task. otherCauseFarMiss is the same for a target that is
	// missed by far.
	otherCauseNearMiss = 0.7
	otherCauseFarMiss  = 0.06
	// Between contentionFrom and contentionFull, as shares of a worker's
	// processors in use, processor contention becomes the likely cause, with a
	// probability of at most maxOtherCause.
	contentionFrom = 0.65
	contentionFull = 1.0
	maxOtherCause  = 0.9
	// incompatibleFrom is the estimate from which two images are kept apart. Below
	// compatibleBelow they are known to be compatible.
	incompatibleFrom = 0.6
	compatibleBelow  = 0.15
	// maxPairs bounds the pairs with estimates, because callers name the images.
	maxPairs = 4096
)

func (d *interference) init() {
	d.logOdds = map[imagePair]float64{}
	d.estimates = map[imagePair]float64{}
	d.interferenceShares = map[string]float64{}
	d.differences = cache.New[[2]string, float64](maxPairs)
}

// estimate returns the probability that two images interfere.
func (d *interference) estimate(critical, bestEffort string) float64 {
	p, ok := d.estimates[imagePair{critical, bestEffort}]
	if !ok {
		return priorEstimate
	}
	return p
}

func (d *interference) set(critical, bestEffort string, p float64) {
	p = min(max(p, minEstimate), maxEstimate)
	k := imagePair{critical, bestEffort}
	old, known := d.logOdds[k]
	if !known && !d.makeRoom(bestEffort) {
		return
	}
	l := math.Log(p / (1 - p))
	d.logOdds[k], d.estimates[k] = l, p
	d.version++
	if !known || (old > 0) != (l > 0) {
		d.refreshCaches(bestEffort, !known)
	}
}

// makeRoom removes the estimates of the best-effort images that became known first, other
// than the given one, as long as there is no room for another pair. It reports whether
// there is room then.
func (d *interference) makeRoom(except string) bool {
	for len(d.logOdds) >= maxPairs {
		i := slices.IndexFunc(d.bestEffort, func(image string) bool { return image != except })
		if i < 0 {
			return false
		}
		d.forget(d.bestEffort[i])
	}
	return true
}

// forget removes the estimates of a best-effort image.
func (d *interference) forget(bestEffort string) {
	for k := range d.logOdds {
		if k.bestEffort == bestEffort {
			delete(d.logOdds, k)
			delete(d.estimates, k)
		}
	}
	delete(d.interferenceShares, bestEffort)
	d.bestEffort = slices.DeleteFunc(d.bestEffort, func(image string) bool { return image == bestEffort })
}

// refreshCaches updates the caches after the estimates for a best-effort image
// changed.
func (d *interference) refreshCaches(bestEffort string, first bool) {
	d.differences.Clear()
	incompatible, all := 0, 0
	for k, l := range d.logOdds {
		if k.bestEffort != bestEffort {
			continue
		}
		all++
		if l > 0 {
			incompatible++
		}
	}
	d.interferenceShares[bestEffort] = float64(incompatible) / float64(all)
	if first && !slices.Contains(d.bestEffort, bestEffort) {
		d.bestEffort = append(d.bestEffort, bestEffort)
	}
}

// interferenceShare returns the share of the latency-critical images that a
// best-effort image probably interferes with.
func (d *interference) interferenceShare(bestEffort string) float64 {
	return d.interferenceShares[bestEffort]
}

// bestEffortImages returns the best-effort images with estimates.
func (d *interference) bestEffortImages() []string { return d.bestEffort }

// difference returns how differently best-effort images interfere with two
// latency-critical images, from 0 to 1. It returns 0.5 if too little is known.
func (d *interference) difference(a, b string) float64 {
	k := [2]string{a, b}
	v, ok := d.differences.Get(k)
	if !ok {
		v = d.computeDifference(a, b)
		d.differences.Put(k, v)
	}
	return v
}

// computeDifference returns the mean difference of the estimates that both
// images have. It adds them in a fixed order, because the sum of floating-point
// numbers depends on the order.
func (d *interference) computeDifference(a, b string) float64 {
	sum, n := 0.0, 0
	for _, bestEffort := range d.bestEffortImages() {
		ea, knownA := d.estimates[imagePair{a, bestEffort}]
		eb, knownB := d.estimates[imagePair{b, bestEffort}]
		if knownA && knownB {
			sum += math.Abs(ea - eb)
			n++
		}
	}
	if n < 3 {
		return 0.5
	}
	return sum / float64(n)
}

// learnMiss raises the estimates after a latency-critical image missed its
// target beside best-effort images. The miss may have another cause. That is
// less likely the further the target is missed, and more likely the larger the
// share of the worker's processors that is in use.
func (d *interference) learnMiss(critical string, tailRatio, inUse float64, bestEffort []imageShare) {
	otherCause := otherCauseNearMiss
	if tailRatio > farMissFrom {
		otherCause = otherCauseFarMiss
	}
	none := 1 - min(max(otherCause, (inUse-contentionFrom)/(contentionFull-contentionFrom)), maxOtherCause)
	for _, f := range bestEffort {
		none *= 1 - d.estimate(critical, f.image)
	}
	if none >= 1 {
		return
	}
	for _, f := range bestEffort {
		d.set(critical, f.image, d.estimate(critical, f.image)/(1-none))
	}
}

// learnWithinTarget lowers the estimates after a latency-critical image met its
// target beside best-effort images.
func (d *interference) learnWithinTarget(critical string, bestEffort []imageShare) {
	for _, f := range bestEffort {
		p := d.estimate(critical, f.image)
		weight := withinTargetWeight * min(f.share/fullWeightShare, 1)
		if p > nearlyCertain {
			weight *= nearlyCertainWeight
		}
		d.set(critical, f.image, 1/(1+math.Exp(-(math.Log(p/(1-p))-weight))))
	}
}

// imageShare is a best-effort image that ran on a worker in the window of the
// reported latencies, with its share of the worker's processors.
type imageShare struct {
	image string
	share float64
}

// pastRun is a best-effort run, or the throttled part of one, that recently
// left a worker.
type pastRun struct {
	image string
	share float64
	at    time.Time
}

// addPastRun records that a run now uses less of a worker, by a reduction of
// its speed in percent.
func (w *worker) addPastRun(r *run, percent int, now time.Time) {
	if percent <= 0 {
		return
	}
	share := float64(r.task.step.spec.Resources.CPU) / max(float64(w.member.Capacity.CPU), 1)
	w.pastRuns = append(w.pastRuns, pastRun{r.task.step.spec.Image, share * float64(percent) / fullSpeed, now})
}

// recentBestEffort returns the best-effort images that ran on a worker in the
// window of the reported latencies.
func (w *worker) recentBestEffort(now time.Time) []imageShare {
	var out []imageShare
	capacity := max(float64(w.member.Capacity.CPU), 1)
	for _, r := range w.bestEffortRuns {
		if r.knownAt.IsZero() {
			continue
		}
		x := float64(r.task.step.spec.Resources.CPU) / capacity * float64(max(r.throttle.have, 0)) / fullSpeed
		x *= min(1, float64(now.Sub(r.knownAt))/float64(reportWindow))
		out = addShare(out, r.task.step.spec.Image, x)
	}
	keep := w.pastRuns[:0]
	for _, d := range w.pastRuns {
		if age := now.Sub(d.at); age < pastRunVisible {
			keep = append(keep, d)
			out = addShare(out, d.image, d.share*(1-float64(age)/float64(pastRunVisible)))
		}
	}
	w.pastRuns = keep
	return out
}

func addShare(list []imageShare, image string, x float64) []imageShare {
	for i := range list {
		if list[i].image == image {
			list[i].share += x
			return list
		}
	}
	return append(list, imageShare{image, x})
}

const (
	// learnInterval is the shortest time between two reports of a worker that are
	// learned from, because their windows overlap.
	learnInterval = 400 * time.Millisecond
	// pastRunVisible is how long a run that ended or was throttled still affects
	// the reported latencies. It covers their window and the delivery of the
	// report.
	pastRunVisible = 900 * time.Millisecond
	// minBlamedShare is the share of a worker below which an image is not blamed
	// for a missed target.
	minBlamedShare = 0.01
)

// learnFromTails updates the estimates from the tail latencies in a worker's
// report.
func (m *Machine) learnFromTails(w *worker) {
	if len(w.criticalRuns) == 0 || m.now.Sub(w.learnedAt) < learnInterval {
		return
	}
	w.learnedAt = m.now
	var bestEffort []imageShare
	for _, p := range w.recentBestEffort(m.now) {
		if p.share >= minBlamedShare {
			bestEffort = append(bestEffort, p)
		}
	}
	if len(bestEffort) == 0 {
		return
	}
	for _, image := range w.criticalImages() {
		worst, any := w.worstTailRatioOf(image)
		switch {
		case !any:
		case worst > 1:
			m.blame(w, image, worst, bestEffort)
			m.estimateRecord.dirty = true
		case worst < relaxBelow:
			m.interference.learnWithinTarget(image, bestEffort)
			m.estimateRecord.dirty = true
		}
	}
}

// blame updates the estimates after a missed target and logs pairs that newly
// count as incompatible.
func (m *Machine) blame(w *worker, image string, worst float64, bestEffort []imageShare) {
	before := make([]float64, len(bestEffort))
	for i, f := range bestEffort {
		before[i] = m.interference.estimate(image, f.image)
	}
	m.interference.learnMiss(image, worst, w.busy/max(float64(w.member.Capacity.CPU), 1), bestEffort)
	for i, f := range bestEffort {
		after := m.interference.estimate(image, f.image)
		if before[i] < incompatibleFrom && after >= incompatibleFrom {
			m.log("images interfere", "serves", image, "fills", f.image, "belief", after, "before", before[i],
				"worker", w.name(), "tail", worst)
		}
	}
}

// ready reports whether a perpetual task has finished starting and is not being
// stopped.
func (r *run) ready() bool { return r.state == runRunning && r.percent >= fullSpeed }

// tailRatio returns the tail latency of a latency-critical task relative to its
// target.
func (r *run) tailRatio() float64 {
	return r.load / max(float64(r.task.step.spec.TailTarget.Milliseconds()), 1)
}

// criticalImages returns the images of the latency-critical tasks on a worker.
func (w *worker) criticalImages() []string {
	if w.imagesValid {
		return w.imageList
	}
	w.imageList = w.imageList[:0]
next:
	for _, r := range w.criticalRuns {
		for _, i := range w.imageList {
			if i == r.task.step.spec.Image {
				continue next
			}
		}
		w.imageList = append(w.imageList, r.task.step.spec.Image)
	}
	w.imagesValid = true
	return w.imageList
}

// worstTailRatioOf returns the highest tail ratio of an image's tasks on a
// worker, and whether any of them is ready.
func (w *worker) worstTailRatioOf(image string) (worst float64, any bool) {
	for _, r := range w.criticalRuns {
		if r.task.step.spec.Image == image && r.ready() {
			worst, any = max(worst, r.tailRatio()), true
		}
	}
	return worst, any
}
