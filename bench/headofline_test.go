package bench

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkHeadOfLine compares the latency of short requests, and the throughput
// of requests that run 100 times as long, with the baseline: a random choice of
// the worker and a queue in order of arrival at each worker. Short and long
// requests each use 40% of the slots.
//
// Targets: short-p99-gain at least 10, long-throughput at least 0.95.
func BenchmarkHeadOfLine(b *testing.B) {
	const until, warmUp = 60 * time.Second, 10 * time.Second
	short := func(r *Result) bool { return !r.Long && r.At > warmUp }
	long := func(r *Result) bool { return r.Long && r.At > warmUp && r.End < until }
	higherIsBetter := map[string]bool{"short-p99-gain": true, "long-throughput": true}
	overSeeds(b, higherIsBetter, func(workers int, seed uint64) map[string]float64 {
		rs := Generate(rand.New(rand.NewPCG(seed, 1)), until,
			steady(workers, 0.4, 20*time.Millisecond, time.Hour, false),
			steady(workers, 0.4, 2*time.Second, time.Hour, true))
		pooled := NewPools(workers, seed).Run(rs)
		random := NewRandom(workers, seed).Run(rs)
		return map[string]float64{
			"short-p99-gain":  float64(Quantile(random, 0.99, short)) / float64(Quantile(pooled, 0.99, short)),
			"short-p99-ms":    Quantile(pooled, 0.99, short).Seconds() * 1000,
			"long-throughput": float64(Count(pooled, long)) / float64(Count(random, long)),
		}
	})
}
