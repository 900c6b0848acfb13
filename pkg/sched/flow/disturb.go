package flow

import (
	"math"
	"slices"
	"time"
)

// disturb learns which images that fill disturb which images that serve.
//
// A pair of images either gets along or does not, but a disturbance comes and
// goes within seconds, so a low tail says little and a missed target says much.
// Each pair has a belief, the probability that the two do not get along. If a
// target is missed, one of the images beside it is to blame, each the more the
// likelier it was before. Time without a miss lowers the belief slowly.
type interference struct {
	// odds holds the logarithms of the odds and beliefs the probabilities that
	// they stand for.
	logOdds   map[imagePair]float64
	estimates map[imagePair]float64
	// version rises with each change of a belief.
	version uint64
	// hostile caches the hostility of the images that fill, and fills lists
	// them; both are made anew when a belief has changed.
	interferenceShares map[string]float64
	bestEffort         []string
	// differ caches how differently two images that serve are disturbed.
	differences map[[2]string]float64
}

// imagePair names the image of a task that serves and of one that fills.
type imagePair struct{ critical, bestEffort string }

const (
	// priorBelief is the belief for a pair that was never seen.
	priorEstimate = 0.4
	// beliefMost and beliefLeast bound the beliefs, so that later reports can
	// still change them.
	maxEstimate = 0.995
	minEstimate = 0.01
	// calmWeight is by how much the logarithm of the odds falls for a report
	// of a low tail beside a fill of fullShare of the worker.
	withinTargetWeight = 0.3
	fullWeightShare    = 0.1
	// certain is the belief from which time without a miss counts for less,
	// by certainWeight.
	nearlyCertain       = 0.9
	nearlyCertainWeight = 0.1
	// otherCause is the probability that a target is missed without a task
	// that fills, and otherCauseFar the same for one that is missed by far.
	otherCauseNearMiss = 0.7
	otherCauseFarMiss  = 0.06
	// Between loadEasy and loadFull, shares of a worker's processors that are in
	// use, contention becomes the likely cause, up to otherCauseMost.
	contentionFrom = 0.65
	contentionFull = 1.0
	maxOtherCause  = 0.9
	// badPair is the belief from which two images are kept apart, and goodPair
	// the one below which they are known to get along.
	incompatibleFrom = 0.6
	compatibleBelow  = 0.15
)

func (d *interference) init() {
	d.logOdds = map[imagePair]float64{}
	d.estimates = map[imagePair]float64{}
	d.interferenceShares = map[string]float64{}
	d.differences = map[[2]string]float64{}
}

// belief returns the probability that two images do not get along.
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
	l := math.Log(p / (1 - p))
	d.logOdds[k], d.estimates[k] = l, p
	d.version++
	if !known || (old > 0) != (l > 0) {
		d.refreshCaches(bestEffort, !known)
	}
}

// refresh brings the caches up to date after a belief on an image changed.
func (d *interference) refreshCaches(bestEffort string, first bool) {
	clear(d.differences)
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

// hostility returns the share of the images that serve which an image that
// fills is believed to disturb.
func (d *interference) interferenceShare(bestEffort string) float64 {
	return d.interferenceShares[bestEffort]
}

// fillImages returns the images that were seen to fill.
func (d *interference) bestEffortImages() []string { return d.bestEffort }

// unlike returns how differently two images that serve are disturbed, from 0
// to 1; a half if too little is known.
func (d *interference) difference(a, b string) float64 {
	k := [2]string{a, b}
	v, ok := d.differences[k]
	if !ok {
		v = d.computeDifference(a, b)
		d.differences[k] = v
	}
	return v
}

// compare works out how differently two images are disturbed.
func (d *interference) computeDifference(a, b string) float64 {
	sum, n := 0.0, 0
	for k := range d.logOdds {
		if k.critical != a {
			continue
		}
		if _, ok := d.logOdds[imagePair{b, k.bestEffort}]; ok {
			sum += math.Abs(d.estimate(a, k.bestEffort) - d.estimate(b, k.bestEffort))
			n++
		}
	}
	if n < 3 {
		return 0.5
	}
	return sum / float64(n)
}

// missed takes in that an image missed its target beside others. A target may
// also be missed for other causes, the less likely the further it is missed,
// and the likelier the more of the worker's processors is in use.
func (d *interference) learnMiss(critical string, tail, load float64, bestEffort []imageShare) {
	otherCause := otherCauseNearMiss
	if tail > farMissFrom {
		otherCause = otherCauseFarMiss
	}
	none := 1 - min(max(otherCause, (load-contentionFrom)/(contentionFull-contentionFrom)), maxOtherCause)
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

// calm takes in that an image met its target beside others.
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

// presence is an image that filled a worker in the window of the figures, with
// the share of the worker's processors.
type imageShare struct {
	image string
	share float64
}

// departed is a run that filled a worker until a moment ago.
type pastRun struct {
	image string
	share float64
	at    time.Time
}

// depart notes that a run uses less of a worker by a change of its pace.
func (w *worker) addPastRun(r *run, percent int, now time.Time) {
	if percent <= 0 {
		return
	}
	share := float64(r.task.step.spec.Resources.CPU) / max(float64(w.member.Capacity.CPU), 1)
	w.pastRuns = append(w.pastRuns, pastRun{r.task.step.spec.Image, share * float64(percent) / fullSpeed, now})
}

// present returns what filled a worker in the window of the figures.
func (w *worker) recentBestEffort(now time.Time) []imageShare {
	var out []imageShare
	capacity := max(float64(w.member.Capacity.CPU), 1)
	for _, r := range w.bestEffortRuns {
		if r.knownAt.IsZero() {
			continue
		}
		x := float64(r.task.step.spec.Resources.CPU) / capacity * float64(max(r.throttle.have, 0)) / fullSpeed
		x *= min(1, float64(now.Sub(r.knownAt))/float64(figureWindow))
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
	// learnPause is the shortest time between two reports of a worker that are
	// learned from, as their windows overlap.
	learnInterval = 400 * time.Millisecond
	// lingers is how long a run that ended, or was slowed, still shows in the
	// figures: their window and the time until they arrive.
	pastRunVisible = 900 * time.Millisecond
	// leastShare is the share of a worker below which a fill is not blamed.
	minBlamedShare = 0.01
)

// learnTails learns from the figures of a worker's report.
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

// blame learns from a missed target and logs what is newly believed.
func (m *Machine) blame(w *worker, image string, worst float64, bestEffort []imageShare) {
	before := make([]float64, len(bestEffort))
	for i, f := range bestEffort {
		before[i] = m.interference.estimate(image, f.image)
	}
	m.interference.learnMiss(image, worst, w.busy/max(float64(w.member.Capacity.CPU), 1), bestEffort)
	for i, f := range bestEffort {
		after := m.interference.estimate(image, f.image)
		if before[i] < incompatibleFrom && after >= incompatibleFrom {
			m.log("images do not get along", "serves", image, "fills", f.image, "belief", after, "before", before[i],
				"worker", w.name(), "tail", worst)
		}
	}
}

// atWork reports whether a task that serves has started up.
func (r *run) ready() bool { return r.state == runRunning && r.percent >= fullSpeed }

// tail returns the tail latency of a task that serves as a share of its
// target.
func (r *run) tailRatio() float64 {
	return r.load / max(float64(r.task.step.spec.TailTarget.Milliseconds()), 1)
}

// images returns the images of the tasks that serve on a worker.
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

// worstOf returns the highest tail of an image on a worker as a share of its
// target, and whether any task of it is at work.
func (w *worker) worstTailRatioOf(image string) (worst float64, any bool) {
	for _, r := range w.criticalRuns {
		if r.task.step.spec.Image == image && r.ready() {
			worst, any = max(worst, r.tailRatio()), true
		}
	}
	return worst, any
}

// risk returns the belief that an image that fills disturbs one that serves on
// a worker: the highest of the pairs.
func (m *Machine) risk(w *worker, bestEffort string) float64 {
	r := w.risksAt(m.interference.version)
	worst, ok := r.of[bestEffort]
	if !ok {
		for _, image := range w.criticalImages() {
			worst = max(worst, m.interference.estimate(image, bestEffort))
		}
		r.of[bestEffort] = worst
	}
	return worst
}

// risks caches the risks of a worker for one version of the beliefs and one mix
// of images: a pass asks for each of them many times.
type riskCache struct {
	version uint64
	of      map[string]float64
	// rarest is the highest hostility of the images that the worker is open to,
	// negative if it is not known.
	maxCompatible float64
}

// risksAt returns the cache for a version of the beliefs.
func (w *worker) risksAt(version uint64) *riskCache {
	if w.riskCache.of == nil || w.riskCache.version != version {
		w.resetRisks(version)
	}
	return &w.riskCache
}

func (w *worker) resetRisks(version uint64) {
	if w.riskCache.of == nil {
		w.riskCache.of = map[string]float64{}
	}
	clear(w.riskCache.of)
	w.riskCache.version, w.riskCache.maxCompatible = version, -1
}
