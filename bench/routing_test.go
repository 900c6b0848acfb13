package bench

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkRouting compares the latency at 80% and 95% load with the ideal of one
// central queue for all slots. The entries have hints from their peers that are
// up to 500 ms old. Each entry gets a sixth of the arrivals, whatever the size of
// its shard.
//
// Target: p99-over-ideal at most 1.5.
func BenchmarkRouting(b *testing.B) {
	const until, warmUp = 30 * time.Second, 5 * time.Second
	all := func(r *Result) bool { return r.At > warmUp }
	overSeeds(b, nil, func(workers int, seed uint64) map[string]float64 {
		out := map[string]float64{}
		for name, load := range map[string]float64{"load80": 0.8, "load95": 0.95} {
			rs := Generate(rand.New(rand.NewPCG(seed, 4)), until,
				steady(workers, load, 20*time.Millisecond, 10*time.Second, false))
			pooled := NewPools(workers, seed).WithHints(500 * time.Millisecond).Run(rs)
			central := NewCentral(workers).Run(rs)
			random := NewRandom(workers, seed).Run(rs)
			p99 := float64(Quantile(central, 0.99, all))
			out[name+"-p99-over-ideal"] = float64(Quantile(pooled, 0.99, all)) / p99
			out[name+"-random-p99-over-ideal"] = float64(Quantile(random, 0.99, all)) / p99
		}
		return out
	})
}
