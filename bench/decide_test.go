package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// BenchmarkDecide measures a routing decision among targets whose slots are
// partly in use. The random choice is the baseline of the same run. Targets:
// under 2 us, 0 allocations, and no growth with the number of targets.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		targets := make([]sched.TargetLoad, n)
		for i := range targets {
			targets[i] = sched.TargetLoad{InFlight: i % slots, Slots: slots, Latency: time.Millisecond, LatencyAt: modelStart, FirstSeen: modelStart}
		}
		for name, r := range map[string]sched.Router{
			"two":    route.New(),
			"random": route.NewRandom(1),
		} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				now := modelStart.Add(time.Second)
				for b.Loop() {
					if r.Pick(now, targets) < 0 {
						b.Fatal("no target")
					}
				}
			})
		}
	}
}
