package bench

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// seeds is the number of seeds for which each benchmark of a policy runs.
const seeds = 5

// fleetSizes are the numbers of workers of the two deployments.
var fleetSizes = []int{50, 65}

// overSeeds calls measure for each fleet size and seed, and reports the median
// and the worst value of each figure. The worst value of a figure that
// higherIsBetter lists is the lowest.
func overSeeds(b *testing.B, higherIsBetter map[string]bool, measure func(workers int, seed uint64) map[string]float64) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			all := map[string][]float64{}
			for range b.N {
				for seed := range uint64(seeds) {
					for name, v := range measure(workers, seed+1) {
						all[name] = append(all[name], v)
					}
				}
			}
			for name, vs := range all {
				slices.Sort(vs)
				worst := vs[len(vs)-1]
				if higherIsBetter[name] {
					worst = vs[0]
				}
				b.ReportMetric(vs[len(vs)/2], name+"-median")
				b.ReportMetric(worst, name+"-worst")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// constant returns a rate that does not change.
func constant(r float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return r }
}

// steady returns a flow at a constant rate that uses a share of the slots of all
// workers.
func steady(workers int, share float64, mean, timeout time.Duration, long bool) Flow {
	rate := share * float64(workers*slots) / mean.Seconds()
	return Flow{Rate: constant(rate), MaxRate: rate, Mean: mean, Timeout: timeout, Long: long}
}
