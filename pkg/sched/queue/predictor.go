package queue

import (
	"math"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Defaults of a Predictor.
const (
	// DefaultClasses bounds the classes that a predictor remembers.
	DefaultClasses = 4096
	// longFactor is the ratio to the typical run time of the service above
	// which the mean run time of a class counts as long.
	longFactor = 4.0
	// minGain is the smallest weight of a new value in a mean. It applies after
	// the first 32 values, which all have the same weight.
	minGain = 1.0 / 32
	// boundDevs is the distance of the bound from the mean, in mean deviations.
	// Run times seldom exceed the bound.
	boundDevs = 2.0
)

// class identifies requests that are expected to have the same run time.
type class struct {
	service sched.ServiceName
	route   string
}

// stat holds the moving mean of a value and its mean deviation.
type stat struct {
	key  class
	mean float64
	dev  float64
	n    int
	// used means that the class was used since the clock hand last passed it.
	used bool
}

// Prediction is the learned run time of a class. Its fields have the same
// meaning as those of [Item].
type Prediction struct {
	Estimate time.Duration
	Bound    time.Duration
	Long     bool
}

// Predictor learns the run time of each class of requests. A class is a service
// together with a group of its routes, for example a method and the first
// segment of the path. The memory is bounded: a new class replaces one that was
// not used recently.
type Predictor struct {
	index map[class]int
	stats []stat
	size  int
	// hand is the index in stats from which the search for a class to replace
	// starts, as in the CLOCK page replacement algorithm.
	hand int
	// logRunTimes holds statistics of the logarithm of the run times of each
	// service. A few long requests hardly change the mean of the logarithms,
	// which gives the typical run time.
	logRunTimes map[sched.ServiceName]*stat
}

// NewPredictor returns a predictor that remembers up to size classes.
func NewPredictor(size int) *Predictor {
	return &Predictor{
		index:       map[class]int{},
		size:        max(size, 1),
		logRunTimes: map[sched.ServiceName]*stat{},
	}
}

// Predict returns the learned run time of a class, or zero values if the class
// is not known.
func (p *Predictor) Predict(s sched.ServiceName, route string) Prediction {
	i, ok := p.index[class{s, route}]
	if !ok {
		return Prediction{}
	}
	st := &p.stats[i]
	st.used = true
	out := Prediction{
		Estimate: time.Duration(st.mean),
		Bound:    time.Duration(st.mean + boundDevs*st.dev),
	}
	if t := p.logRunTimes[s]; t != nil {
		out.Long = st.mean > longFactor*math.Exp(t.mean)
	}
	return out
}

// Learn records a run time of a class.
func (p *Predictor) Learn(s sched.ServiceName, route string, d time.Duration) {
	if d <= 0 {
		return
	}
	st := &p.stats[p.indexFor(class{s, route})]
	st.used = true
	st.learn(float64(d))
	t := p.logRunTimes[s]
	if t == nil {
		t = &stat{}
		p.logRunTimes[s] = t
	}
	t.learn(math.Log(float64(d)))
}

// Retain forgets the typical run times of the services for which known returns
// false.
func (p *Predictor) Retain(known func(sched.ServiceName) bool) {
	for s := range p.logRunTimes {
		if !known(s) {
			delete(p.logRunTimes, s)
		}
	}
}

// indexFor returns the index of a class in stats and adds the class if it is
// new. If stats is full, the new class replaces the next one that was not used
// since the clock hand last passed it.
func (p *Predictor) indexFor(c class) int {
	if i, ok := p.index[c]; ok {
		return i
	}
	if len(p.stats) < p.size {
		p.stats = append(p.stats, stat{key: c})
		p.index[c] = len(p.stats) - 1
		return len(p.stats) - 1
	}
	for p.stats[p.hand].used {
		p.stats[p.hand].used = false
		p.hand = (p.hand + 1) % len(p.stats)
	}
	i := p.hand
	p.hand = (p.hand + 1) % len(p.stats)
	delete(p.index, p.stats[i].key)
	p.stats[i] = stat{key: c}
	p.index[c] = i
	return i
}

func (st *stat) learn(v float64) {
	st.n++
	gain := max(1/float64(st.n), minGain)
	diff := v - st.mean
	st.mean += diff * gain
	if st.n > 1 {
		st.dev += (math.Abs(diff) - st.dev) * gain
	}
}
