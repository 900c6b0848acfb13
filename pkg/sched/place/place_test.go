package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func worker(name string, free sched.MilliCPU, accelerators int, services ...sched.ServiceName) sched.WorkerCapacity {
	return sched.WorkerCapacity{
		Worker: sched.WorkerName(name), Rack: "rack-" + name, Services: services,
		Capacity: sched.Resources{CPU: 32000, Memory: 100, Accelerators: accelerators},
		Free:     sched.Resources{CPU: free, Memory: 100, Accelerators: accelerators},
	}
}

// requirePlaced requires the same choice for every random start of the sample.
func requirePlaced(t *testing.T, want int, spec sched.TaskSpec, workers []sched.WorkerCapacity, inRack func(string) int, table *place.Table, avoid ...sched.WorkerName) {
	t.Helper()
	for seed := range uint64(20) {
		p := place.NewPack(place.WithSeed(seed), place.WithTable(table))
		require.Equal(t, want, p.PlaceSpread(now, spec, workers, avoid, inRack))
	}
}

// Guards against placements that ignore one of the criteria.
func TestPack(t *testing.T) {
	spec := sched.TaskSpec{Class: "Tracking", Resources: sched.Resources{CPU: 2000}}
	t.Run("fills the fullest worker that fits", func(t *testing.T) {
		requirePlaced(t, 1, spec, []sched.WorkerCapacity{worker("a", 30000, 0), worker("b", 2500, 0), worker("c", 1000, 0)}, nil, nil)
	})
	t.Run("keeps accelerators while others fit", func(t *testing.T) {
		requirePlaced(t, 1, spec, []sched.WorkerCapacity{worker("a", 2000, 4), worker("b", 32000, 0)}, nil, nil)
		requirePlaced(t, 0, spec, []sched.WorkerCapacity{worker("a", 2000, 4), worker("b", 1000, 0)}, nil, nil)
	})
	t.Run("spreads a job over racks", func(t *testing.T) {
		inRack := func(rack string) int { return map[string]int{"rack-a": 2}[rack] }
		requirePlaced(t, 1, spec, []sched.WorkerCapacity{worker("a", 2000, 0), worker("b", 32000, 0)}, inRack, nil)
	})
	t.Run("avoids workers", func(t *testing.T) {
		workers := []sched.WorkerCapacity{worker("a", 2000, 0), worker("b", 1000, 0)}
		requirePlaced(t, -1, spec, workers, nil, nil, "a")
		requirePlaced(t, -1, spec, nil, nil, nil)
	})
	t.Run("avoids services that the class slows", func(t *testing.T) {
		table := place.NewTable()
		table.Observe(now, "Quotes", "Tracking", 2, 5*time.Second)
		workers := []sched.WorkerCapacity{worker("a", 2000, 0, "Quotes"), worker("b", 32000, 0, "Other")}
		requirePlaced(t, 1, spec, workers, nil, table)
	})
}

// Guards against slowdown estimates that keep outdated measurements.
func TestTable(t *testing.T) {
	slowdown := func(tb *place.Table, at time.Time) float64 {
		return tb.Slowdown(at, "Tracking", []sched.ServiceName{"Quotes"})
	}
	t.Run("an old measurement counts less than a fresh one", func(t *testing.T) {
		fresh, old := place.NewTable(), place.NewTable()
		fresh.Observe(now, "Quotes", "Tracking", 3, 0)
		old.Observe(now, "Quotes", "Tracking", 3, 10*time.Minute)
		require.Greater(t, slowdown(fresh, now), slowdown(old, now))
		require.Less(t, slowdown(fresh, now.Add(time.Hour)), 0.01)
	})
	t.Run("a changed measurement replaces the estimate", func(t *testing.T) {
		tb := place.NewTable()
		for i := range 20 {
			tb.Observe(now.Add(time.Duration(i)*time.Second), "Quotes", "Tracking", 3, 0)
		}
		later := now.Add(15 * time.Minute)
		for i := range 20 {
			tb.Observe(later.Add(time.Duration(i)*time.Second), "Quotes", "Tracking", 1, 0)
		}
		require.Less(t, slowdown(tb, later.Add(time.Minute)), 0.1)
	})
}
