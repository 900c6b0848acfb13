package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const picks = 20000

// targets returns n targets that are half full and past their slow start.
func targets(n int) []sched.TargetLoad {
	ts := make([]sched.TargetLoad, n)
	for i := range ts {
		ts[i] = sched.TargetLoad{InFlight: 4, Slots: 8, Latency: 10 * time.Millisecond, LatencyAt: start, FirstSeen: start.Add(-time.Hour)}
	}
	return ts
}

// share returns the share of the picks that target 0 gets while the reported
// load of the targets does not change.
func share(now time.Time, ts []sched.TargetLoad) float64 {
	r := route.New()
	n := 0
	for range picks {
		if r.Pick(now, ts) == 0 {
			n++
		}
	}
	return float64(n) / picks
}

// requireShare requires the share of target 0, relative to an even share, to
// lie between low and high. The margin of 0.13 is more than 4 standard deviations
// of that share.
func requireShare(t *testing.T, now time.Time, ts []sched.TargetLoad, low, high float64) {
	t.Helper()
	got := share(now, ts) * float64(len(ts))
	require.GreaterOrEqual(t, got, low-0.13)
	require.LessOrEqual(t, got, high+0.13)
}

// Guards against sending most requests to one target, and against preferring a
// target because of outdated data.
func TestPick(t *testing.T) {
	t.Run("idle target gets at most twice its share", func(t *testing.T) {
		ts := targets(10)
		ts[0].InFlight = 0
		requireShare(t, start, ts, 1.5, 2)
	})
	t.Run("busy target is avoided", func(t *testing.T) {
		ts := targets(10)
		ts[0].InFlight = 7
		requireShare(t, start, ts, 0, 0.2)
	})
	t.Run("slow target is avoided", func(t *testing.T) {
		ts := targets(10)
		ts[0].Latency = time.Second
		requireShare(t, start, ts, 0, 0.2)
	})
	t.Run("old latency hardly counts", func(t *testing.T) {
		ts := targets(10)
		ts[0].Latency = time.Second
		ts[0].InFlight = 2
		requireShare(t, start.Add(time.Minute), ts, 1.5, 2)
	})
	t.Run("fast failures do not attract", func(t *testing.T) {
		ts := targets(10)
		ts[0].Latency = time.Microsecond
		requireShare(t, start, ts, 1, 2)
	})
	t.Run("slow start", func(t *testing.T) {
		ts := targets(10)
		ts[0].FirstSeen = start
		ts[0].InFlight = 1
		requireShare(t, start, ts, 0, 0.2)
		requireShare(t, start.Add(route.DefaultSlowStart), ts, 1.5, 2)
	})
	t.Run("only one has room", func(t *testing.T) {
		ts := targets(500)
		for i := 1; i < len(ts); i++ {
			ts[i].InFlight = ts[i].Slots
		}
		require.InDelta(t, 1, share(start, ts), 0)
		ts[0].InFlight = 8
		require.Equal(t, -1, route.New().Pick(start, ts))
		require.Equal(t, -1, route.NewRandom(1).Pick(start, ts))
		require.Equal(t, -1, route.New().Pick(start, nil))
	})
	t.Run("no allocation", func(t *testing.T) {
		ts, r := targets(50), route.New()
		require.Zero(t, testing.AllocsPerRun(100, func() { r.Pick(start, ts) }))
	})
}

// Guards against forwarding requests to a peer that is full, in another data
// centre, or without a recent hint, while there is a better place.
func TestPlace(t *testing.T) {
	own := route.LocalShard{Shard: sched.ShardID{DataCentre: "a"}, Free: 1, Targets: 8}
	full := own
	full.Free = 0
	setup := func() *route.Placer {
		p := route.NewPlacer("a", 1)
		p.Hint("S", "near", "a", 3, start)
		p.Hint("S", "far", "b", 60, start)
		return p
	}
	first := func(p *route.Placer, now time.Time, o route.LocalShard) route.Place {
		return p.Place(now, "S", []route.LocalShard{o})[0]
	}
	t.Run("own pool", func(t *testing.T) { require.True(t, first(setup(), start, own).Local()) })
	t.Run("near peer", func(t *testing.T) {
		require.Equal(t, sched.EntryName("near"), first(setup(), start, full).Peer)
	})
	t.Run("far peer when the near one is used up", func(t *testing.T) {
		p := setup()
		for range 3 {
			p.Sent("S", "near")
		}
		require.Equal(t, sched.EntryName("far"), first(p, start, full).Peer)
	})
	t.Run("near peer after its requests ended", func(t *testing.T) {
		p := setup()
		for range 100 {
			p.Sent("S", "near")
			p.Returned("S", "near")
		}
		require.Equal(t, sched.EntryName("near"), first(p, start, full).Peer)
	})
	t.Run("short queue", func(t *testing.T) {
		p := route.NewPlacer("a", 1)
		p.Hint("S", "near", "a", 0, start)
		p.Hint("S", "far", "b", -9000, start)
		long := full
		long.Free = -9
		n := 0
		for range picks {
			if first(p, start, long).Peer == "near" {
				n++
			}
		}
		require.InDelta(t, 100./101, float64(n)/picks, 0.01)
	})
	t.Run("old hints", func(t *testing.T) {
		require.True(t, first(setup(), start.Add(route.DefaultHintAge), full).Local())
	})
	t.Run("late hint", func(t *testing.T) {
		p := setup()
		p.Hint("S", "near", "a", 0, start.Add(-1))
		require.Equal(t, sched.EntryName("near"), first(p, start, full).Peer)
	})
	t.Run("peer that left", func(t *testing.T) {
		p := setup()
		p.Forget("near")
		require.Equal(t, sched.EntryName("far"), first(p, start, full).Peer)
	})
	t.Run("no herd", func(t *testing.T) {
		p := setup()
		p.Hint("S", "near2", "a", 1, start)
		n := 0
		for range picks {
			if first(p, start, full).Peer == "near2" {
				n++
			}
		}
		require.InDelta(t, 0.25, float64(n)/picks, 0.02)
	})
}
