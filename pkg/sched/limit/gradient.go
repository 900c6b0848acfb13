package limit

import (
	"math"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Constants of a Gradient.
const (
	// tolerance is the ratio of latency to baseline above which the limit
	// falls. Ordinary variation stays below it.
	tolerance = 2.0
	// window is the shortest time between two changes of the limit.
	window = 100 * time.Millisecond
	// minSamples is the number of answers that a window needs. The mean latency
	// of fewer answers says little about the service.
	minSamples = 10
	// smoothing is the share of a change that takes effect in one window.
	smoothing = 0.2
	// riseGain is the share of the difference by which the baseline follows a
	// higher latency in one window. It takes about 30 s to follow a permanent
	// change.
	riseGain = 1.0 / 300
	// fallGain is the share of the difference by which the baseline follows a
	// lower latency in one window. It is small because the mean of a few answers
	// is often well below the true mean.
	fallGain = 1.0 / 16
	// staleAfter is how long after its last fall the limit rises without answers.
	staleAfter = 2 * time.Second
	// minShare is the share of the hard limit below which the limit never falls.
	minShare = 0.1
)

// Gradient limits the concurrency of a service according to its latency, and
// never above a hard limit. While the latency stays near its baseline, the limit
// rises towards the hard limit by a share of its square root in each window. When
// the latency rises above the tolerance, the limit falls in proportion. Without
// slow answers it rises again in time.
type Gradient struct {
	hardLimit   int
	limit       float64
	inFlight    int
	peak        int
	baseline    float64
	latencySum  float64
	samples     int
	windowStart time.Time
	// fellAt is when the limit last fell, and raisedAt when it last rose without
	// answers.
	fellAt, raisedAt time.Time
}

var _ sched.Limiter = (*Gradient)(nil)

// NewGradient returns a limiter that starts at its hard limit.
func NewGradient(hard int) *Gradient {
	return &Gradient{hardLimit: hard, limit: float64(hard)}
}

// SetHardLimit changes the hard limit, for example when workers join or leave.
// The adaptive limit keeps its ratio to the hard limit.
func (g *Gradient) SetHardLimit(hard int) {
	if g.hardLimit > 0 {
		g.limit = g.limit / float64(g.hardLimit) * float64(hard)
	} else {
		g.limit = float64(hard)
	}
	g.hardLimit = hard
}

// Tick raises the limit if it has not fallen for a while and is not in use.
// Slow answers of an earlier load say nothing about the next one, and without
// load there are no answers that would raise the limit.
func (g *Gradient) Tick(now time.Time) {
	if g.limit >= float64(g.hardLimit) || now.Sub(g.fellAt) < staleAfter || now.Sub(g.raisedAt) < window {
		return
	}
	g.raisedAt = now
	g.limit = min(g.limit+math.Sqrt(g.limit)*smoothing, float64(g.hardLimit))
}

// Limit returns the number of requests that may be in progress now.
func (g *Gradient) Limit() int {
	low := math.Ceil(minShare * float64(g.hardLimit))
	return min(g.hardLimit, int(max(g.limit, low)))
}

// InFlight returns the number of requests in progress.
func (g *Gradient) InFlight() int { return g.inFlight }

// Acquire implements [sched.Limiter].
func (g *Gradient) Acquire(time.Time) (sched.Reason, bool) {
	if g.inFlight >= g.Limit() {
		return sched.ReasonConcurrencyLimit, false
	}
	g.inFlight++
	g.peak = max(g.peak, g.inFlight)
	return "", true
}

// Adopt counts a request in progress that Acquire has not admitted, even if that
// exceeds the limit.
func (g *Gradient) Adopt() { g.inFlight++ }

// Release implements [sched.Limiter]. Only answers of targets count as samples,
// because a refusal is fast and says nothing about the load.
func (g *Gradient) Release(now time.Time, latency time.Duration, outcome sched.Outcome) {
	g.inFlight--
	if outcome == sched.Ran && latency > 0 {
		g.latencySum += float64(latency)
		g.samples++
	}
	if g.windowStart.IsZero() {
		g.windowStart = now
	}
	if now.Sub(g.windowStart) >= window && g.samples >= minSamples {
		g.adapt(now)
		g.windowStart = now
	}
}

// adapt updates the baseline and the limit from the mean latency of a window. It
// raises the limit only if the requests in progress came close to it.
func (g *Gradient) adapt(now time.Time) {
	mean := g.latencySum / float64(g.samples)
	busy := float64(g.peak) >= 0.8*g.limit
	g.latencySum, g.samples, g.peak = 0, 0, g.inFlight
	switch {
	case g.baseline == 0:
		g.baseline = mean
	case mean < g.baseline:
		g.baseline += (mean - g.baseline) * fallGain
	default:
		g.baseline += (mean - g.baseline) * riseGain
	}
	grad := min(max(tolerance*g.baseline/mean, 0.5), 1)
	if grad < 1 {
		g.fellAt = now
	}
	if grad == 1 && !busy {
		return
	}
	next := g.limit*grad + math.Sqrt(g.limit)
	g.limit += (next - g.limit) * smoothing
	g.limit = min(max(g.limit, minShare*float64(g.hardLimit)), float64(g.hardLimit))
}
