// Package route chooses the target of a request among the workers of a pool,
// and the place where a request runs: one of the entry's own shards or a peer
// entry.
//
// [Router] compares two random targets by their requests in flight per slot and
// by their latency, which counts less as it ages. Two random choices keep the
// load nearly even. They also limit the traffic to a target that looks idle
// because of stale data: it gets at most twice its share. [Random] is the
// baseline of the benchmarks. [Placer] chooses the place from the free slots of
// the own shards and the aged hints of peers.
//
// # Usage
//
//	r := route.New(route.WithSeed(1))
//	if i := r.Pick(now, targets); i >= 0 {
//		// send to targets[i]
//	}
//
// The types of this package are not safe for concurrent use.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Defaults of a Router.
const (
	// DefaultSlowStart is how long a new target gets less than its share of
	// requests.
	DefaultSlowStart = 5 * time.Second
	// DefaultHalfLife is the age at which a latency counts half.
	DefaultHalfLife = 2 * time.Second
	// maxDraws is the number of random draws before all targets are scanned.
	maxDraws = 8
	// minStartShare is the share that a target gets at the beginning of its
	// slow start.
	minStartShare = 0.1
	// maxLatencyRatio bounds the influence of latency. Without it, a target
	// that fails fast would attract the traffic.
	maxLatencyRatio = 4.0
	// remoteCost is the factor by which a target in another data centre scores
	// worse.
	remoteCost = 2.0
	// refLatencyGain is the weight of each sample in the moving average that is
	// the reference latency.
	refLatencyGain = 1.0 / 256
)

// Router implements [sched.Router] with the better of two random targets.
type Router struct {
	rng             *rand.Rand
	slowStart       time.Duration
	halfLife        time.Duration
	localDataCentre sched.DataCentre
	// refLatency is the moving average of the latencies of all scored targets.
	refLatency float64
}

var _ sched.Router = (*Router)(nil)

// Option configures a Router.
type Option func(*Router)

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithSlowStart sets how long a new target gets less than its share; 0 turns
// slow start off.
func WithSlowStart(d time.Duration) Option { return func(r *Router) { r.slowStart = d } }

// WithHalfLife sets the age at which a latency counts half.
func WithHalfLife(d time.Duration) Option { return func(r *Router) { r.halfLife = d } }

// WithLocal prefers targets in a data centre.
func WithLocal(dc sched.DataCentre) Option { return func(r *Router) { r.localDataCentre = dc } }

// New returns a router without a preferred data centre unless [WithLocal] sets
// one.
func New(opts ...Option) *Router {
	r := &Router{
		rng:       rand.New(rand.NewPCG(1, 1)),
		slowStart: DefaultSlowStart,
		halfLife:  DefaultHalfLife,
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Pick implements [sched.Router]. Its time does not depend on the number of
// targets as long as one of a few random targets has a free slot.
func (r *Router) Pick(now time.Time, targets []sched.TargetLoad) int {
	first := -1
	for range maxDraws {
		i := r.draw(targets)
		if i < 0 || i == first {
			continue
		}
		if first < 0 {
			first = i
			continue
		}
		if r.score(now, &targets[i]) < r.score(now, &targets[first]) {
			return i
		}
		return first
	}
	if first >= 0 {
		return first
	}
	return scan(r.rng, targets)
}

// draw returns a random target, or -1 if this target has no free slot.
func (r *Router) draw(targets []sched.TargetLoad) int {
	if len(targets) == 0 {
		return -1
	}
	i := r.rng.IntN(len(targets))
	if targets[i].InFlight >= targets[i].Slots {
		return -1
	}
	return i
}

// score returns the expected delay at a target, in an arbitrary unit.
func (r *Router) score(now time.Time, t *sched.TargetLoad) float64 {
	s := float64(t.InFlight+1) / float64(t.Slots)
	s *= r.latencyRatio(now, t)
	s /= r.startShare(now, t)
	if r.localDataCentre != "" && t.DataCentre != r.localDataCentre {
		s *= remoteCost
	}
	return s
}

// latencyRatio returns the ratio of a target's latency to the reference
// latency. The ratio approaches 1 as the latency ages.
func (r *Router) latencyRatio(now time.Time, t *sched.TargetLoad) float64 {
	if t.Latency <= 0 {
		return 1
	}
	l := float64(t.Latency)
	if r.refLatency == 0 {
		r.refLatency = l
	}
	r.refLatency += (l - r.refLatency) * refLatencyGain
	q := min(max(l/r.refLatency, 1/maxLatencyRatio), maxLatencyRatio)
	age := max(now.Sub(t.LatencyAt), 0)
	w := 1 / (1 + float64(age)/float64(r.halfLife))
	return 1 + (q-1)*w
}

// startShare returns the share of its traffic that a target gets during slow
// start, 1 afterwards.
func (r *Router) startShare(now time.Time, t *sched.TargetLoad) float64 {
	age := now.Sub(t.FirstSeen)
	if age >= r.slowStart || t.FirstSeen.IsZero() {
		return 1
	}
	return max(float64(age)/float64(r.slowStart), minStartShare)
}

// scan returns the first target with a free slot, starting at a random one, or
// -1.
func scan(rng *rand.Rand, targets []sched.TargetLoad) int {
	n := len(targets)
	if n == 0 {
		return -1
	}
	at := rng.IntN(n)
	for k := range n {
		i := at + k
		if i >= n {
			i -= n
		}
		if targets[i].InFlight < targets[i].Slots {
			return i
		}
	}
	return -1
}

// Random implements [sched.Router] with a random target that has a free slot,
// regardless of load. It is the baseline of the benchmarks.
type Random struct{ rng *rand.Rand }

var _ sched.Router = (*Random)(nil)

// NewRandom returns a random router.
func NewRandom(seed uint64) *Random {
	return &Random{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Pick implements [sched.Router].
func (r *Random) Pick(_ time.Time, targets []sched.TargetLoad) int {
	return scan(r.rng, targets)
}
