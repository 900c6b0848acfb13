package bench

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkCrest raises the demand from 40% to 120% of the slots within a second
// and lowers it again, three times. Callers give up after the objective of
// 200 ms, which is ten times the mean run time.
//
// Targets: goodput at least 0.95 of the work that the slots can do during the
// peaks, p99-over-objective of the accepted requests at most 1.0.
func BenchmarkCrest(b *testing.B) {
	const (
		mean      = 20 * time.Millisecond
		objective = 200 * time.Millisecond
		period    = 10 * time.Second
	)
	highDemand := func(at time.Duration) bool { return at%period >= 5*time.Second }
	atPeak := func(at time.Duration) bool { return at%period >= 6*time.Second }
	higherIsBetter := map[string]bool{"goodput": true}
	overSeeds(b, higherIsBetter, func(workers int, seed uint64) map[string]float64 {
		saturation := float64(workers*slots) / mean.Seconds()
		rate := func(at time.Duration) float64 {
			in := at % period
			switch {
			case in < time.Second:
				return saturation * (1.2 - 0.8*in.Seconds())
			case in < 5*time.Second:
				return saturation * 0.4
			default:
				return saturation * min(0.4+0.8*(in.Seconds()-5), 1.2)
			}
		}
		rs := Generate(rand.New(rand.NewPCG(seed, 2)), 3*period,
			Flow{Rate: rate, MaxRate: 1.2 * saturation, Mean: mean, Timeout: objective})
		results := NewPools(workers, seed).Run(rs)
		// The run time in seconds that the slots can serve during the three peaks
		// of 4 s, and the part of it that was answered within the objective.
		peakCapacity := 3 * 4 * float64(workers*slots)
		doneInTime := 0.0
		for i := range results {
			if r := &results[i]; r.End > 0 && r.Latency() <= objective && atPeak(r.End) {
				doneInTime += r.Run.Seconds()
			}
		}
		accepted := func(r *Result) bool { return highDemand(r.At) }
		return map[string]float64{
			"goodput":            doneInTime / peakCapacity,
			"p99-over-objective": float64(Quantile(results, 0.99, accepted)) / float64(objective),
		}
	})
}
