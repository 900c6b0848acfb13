package place

import (
	"math"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// halfLife is the age at which a measurement counts half. Interference
	// changes with load within minutes.
	halfLife = 2 * time.Minute
	// priorWeight is the weight of the prior assumption that a pair does not
	// interfere.
	priorWeight = 1.0
)

// pair is a service and a batch class on the same worker.
type pair struct {
	service sched.ServiceName
	class   sched.ClassName
}

// estimate holds the weighted sum of the measured slowdowns, each less 1, and the
// sum of their weights. The weights decay with age.
type estimate struct {
	sum, weight float64
	// at is when the weights were last updated.
	at time.Time
}

// Table estimates how much a batch class slows a service on the same worker. It
// is safe for concurrent use.
type Table struct {
	mu    sync.RWMutex
	pairs map[pair]estimate
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{pairs: map[pair]estimate{}} }

// Observe adds a measurement: the latency of the service next to the class
// relative to its latency without it (1 is no slowdown). The age of the
// measurement reduces its weight.
func (t *Table) Observe(now time.Time, service sched.ServiceName, class sched.ClassName, slowdown float64, age time.Duration) {
	if math.IsNaN(slowdown) || math.IsInf(slowdown, 0) || slowdown <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k := pair{service, class}
	e := t.pairs[k]
	retained, weight := 0.0, decay(age)
	if !e.at.IsZero() {
		retained = decay(now.Sub(e.at))
	}
	t.pairs[k] = estimate{
		sum:    e.sum*retained + (slowdown-1)*weight,
		weight: e.weight*retained + weight,
		at:     now,
	}
}

// Slowdown returns how much a task of the class is expected to slow the services,
// summed over them, as a share of their latency without it: 0 is no slowdown, and
// 1 is one service at twice its latency.
func (t *Table) Slowdown(now time.Time, class sched.ClassName, services []sched.ServiceName) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.pairs) == 0 {
		return 0
	}
	sum := 0.0
	for _, s := range services {
		if e, ok := t.pairs[pair{s, class}]; ok {
			d := decay(now.Sub(e.at))
			sum += max(e.sum*d/(e.weight*d+priorWeight), 0)
		}
	}
	return sum
}

// decay returns the factor by which a weight has decayed at an age.
func decay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
