package bench

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkShares compares two ways to divide the workers among six entries at
// 80% load: a fixed share of the slots of every worker for each entry, or one
// owner for each worker with forwarding between the entries. The arrivals are
// spread evenly over the entries (even), or one entry gets twice as many as each
// of the others (skewed).
func BenchmarkShares(b *testing.B) {
	const until, warmUp = 30 * time.Second, 5 * time.Second
	all := func(r *Result) bool { return r.At > warmUp }
	overSeeds(b, nil, func(workers int, seed uint64) map[string]float64 {
		out := map[string]float64{}
		for name, weights := range map[string][]float64{
			"even":   nil,
			"skewed": {2. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7, 1. / 7},
		} {
			flow := steady(workers, 0.8, 20*time.Millisecond, 10*time.Second, false)
			flow.Weights = weights
			rs := Generate(rand.New(rand.NewPCG(seed, 3)), until, flow)
			owned := Quantile(NewPools(workers, seed).Run(rs), 0.99, all)
			shares := Quantile(NewShares(workers, seed).Run(rs), 0.99, all)
			out[name+"-p99-ratio"] = float64(shares) / float64(owned)
		}
		return out
	})
}
