package flow

import (
	"time"
)

// disturb learns how much tasks that fill disturb tasks that serve beside
// them. Which images disturb which differs by pair, so each pair has a figure
// of its own.
//
// The tail latency of a task that serves, as a share of its target, is taken
// as a base of its image and a part for each core share that tasks that fill
// use beside it. The parts follow the reported figures by a normalized least
// mean squares filter.
type disturb struct {
	base  map[string]float64
	pairs map[imagePair]*pairFigure
}

// imagePair names the image of a task that serves and of one that fills.
type imagePair struct{ serves, fills string }

// pairFigure is what is known of a pair.
type pairFigure struct {
	// harm is the part of the target that a whole worker's processors take.
	harm float64
	// evidence counts the reports that told of the pair.
	evidence float64
}

const (
	// tailCap bounds a reported tail, as a share of its target: what is beyond
	// it says no more than that the target is missed by far.
	tailCap = 4.0
	// harmRate is the share of an error that one report corrects.
	harmRate = 0.35
	// harmFloor keeps corrections small where little fills.
	harmFloor = 0.003
	harmMost  = 80.0
	baseRate  = 0.08
	baseFirst = 0.45
	// knownAfter is the evidence from which a pair counts as known.
	knownAfter = 2.0
)

func (d *disturb) init() {
	d.base = map[string]float64{}
	d.pairs = map[imagePair]*pairFigure{}
}

// baseOf returns the tail of an image that nothing disturbs.
func (d *disturb) baseOf(image string) float64 {
	if b, ok := d.base[image]; ok {
		return b
	}
	return baseFirst
}

// harmOf returns the figure of a pair and whether it is known.
func (d *disturb) harmOf(serves, fills string) (float64, bool) {
	p := d.pairs[imagePair{serves, fills}]
	if p == nil {
		return 0, false
	}
	return p.harm, p.evidence >= knownAfter
}

// learn takes in the tail of a task that serves beside the given shares.
func (d *disturb) learn(image string, tail float64, shares []fillShareOf) {
	tail = min(tail, tailCap)
	base := d.baseOf(image)
	square, sum := 0.0, 0.0
	expected := base
	for _, s := range shares {
		square += s.share * s.share
		sum += s.share
		h, _ := d.harmOf(image, s.image)
		expected += h * s.share
	}
	if sum < harmFloor {
		d.base[image] = base + baseRate*(tail-base)
		return
	}
	step := harmRate * (tail - expected) / (square + harmFloor)
	for _, s := range shares {
		k := imagePair{image, s.image}
		p := d.pairs[k]
		if p == nil {
			p = &pairFigure{}
			d.pairs[k] = p
		}
		p.harm = min(max(p.harm+step*s.share, 0), harmMost)
		p.evidence += s.share / sum
	}
}

// fillShareOf is the share of a worker's processors that the tasks of an image
// that fill use.
type fillShareOf struct {
	image string
	share float64
}

// shares returns the shares that filled a worker in the window of the figures.
func (w *worker) shares(now time.Time) []fillShareOf {
	var out []fillShareOf
	capacity := max(float64(w.member.Capacity.CPU), 1)
	for _, r := range w.fillRuns {
		if r.known.IsZero() {
			continue
		}
		x := float64(r.task.step.spec.Resources.CPU) / capacity * float64(max(r.pace.have, 0)) / fullPace
		x *= min(1, float64(now.Sub(r.known))/float64(figureWindow))
		out = addShare(out, r.task.step.spec.Image, x)
	}
	return out
}

func addShare(list []fillShareOf, image string, x float64) []fillShareOf {
	for i := range list {
		if list[i].image == image {
			list[i].share += x
			return list
		}
	}
	return append(list, fillShareOf{image, x})
}

// learnPause is the shortest time between two reports of a worker that are
// learned from, as their windows overlap.
const learnPause = 200 * time.Millisecond

// learnTails learns from the figures of a worker's report.
func (m *Machine) learnTails(w *worker) {
	if len(w.serveRuns) == 0 || m.now.Sub(w.learnedAt) < learnPause {
		return
	}
	w.learnedAt = m.now
	shares := w.shares(m.now)
	for _, r := range w.serveRuns {
		if r.atWork() && r.reported.Equal(m.now) {
			m.disturb.learn(r.task.step.spec.Image, r.tail(), shares)
		}
	}
}

// atWork reports whether a task that serves has started up.
func (r *run) atWork() bool { return r.state == runRunning && r.percent >= fullPace }

// tail returns the tail latency of a task that serves as a share of its
// target.
func (r *run) tail() float64 {
	return r.load / max(float64(r.task.step.spec.TailTarget.Milliseconds()), 1)
}

// images returns the images of the tasks that serve on a worker.
func (w *worker) images() []string {
	var out []string
next:
	for _, r := range w.serveRuns {
		for _, i := range out {
			if i == r.task.step.spec.Image {
				continue next
			}
		}
		out = append(out, r.task.step.spec.Image)
	}
	return out
}

// expectedTail returns the tail of an image on a worker at the paces that are
// wanted there, with the given shares more.
func (m *Machine) expectedTail(w *worker, image string, more []fillShareOf) float64 {
	tail := m.disturb.baseOf(image)
	capacity := max(float64(w.member.Capacity.CPU), 1)
	for _, r := range w.fillRuns {
		if r.state == runStopping {
			continue
		}
		h, _ := m.disturb.harmOf(image, r.task.step.spec.Image)
		tail += h * float64(r.task.step.spec.Resources.CPU) / capacity * float64(r.pace.want) / fullPace
	}
	for _, s := range more {
		h, _ := m.disturb.harmOf(image, s.image)
		tail += h * s.share
	}
	return tail
}
