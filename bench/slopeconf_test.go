package bench

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// BenchmarkSlopePool measures the capacity ledger of a shard by the number of its
// workers and of the queued requests.
func BenchmarkSlopePool(b *testing.B) {
	workers := []int{8, 50, 400, 4_000}
	cfg := parsedConfig(3, 10)
	now := benchStart.Add(time.Minute)
	runSizes(b, "memory/workers", workers, func(b *testing.B, n int) {
		before := heapBytes()
		m := newReadyPool(n, cfg)
		b.ReportMetric(float64(heapBytes()-before)/float64(n), "liveB/worker")
		runtime.KeepAlive(m)
	})
	runSizes(b, "tick/workers", workers, func(b *testing.B, n int) {
		m := newReadyPool(n, cfg)
		perUnit(b, 100, 1, "tick", func() { m.Update(now, sched.TickMsg{}) })
	})
	runSizes(b, "list/workers", workers, func(b *testing.B, n int) {
		m, list := newReadyPool(n, cfg), workerInstances(n)
		perUnit(b, 20, n, "worker", func() { m.Update(now, pool.WorkersMsg{Workers: list}) })
	})
	runSizes(b, "rooms/workers", workers, func(b *testing.B, n int) {
		m := newReadyPool(n, cfg)
		perUnit(b, 100, n, "worker", func() { m.FreeCapacity() })
	})
	runSizes(b, "grant/workers", workers, func(b *testing.B, n int) {
		m, id := newReadyPool(n, cfg), uint64(0)
		perUnit(b, 10_000, 1, "request", func() {
			id++
			m.Update(now, pool.AcquireMsg{ID: id, Service: "Quotes", Deadline: now.Add(time.Minute)})
			m.Update(now, pool.ReleaseMsg{ID: id, Outcome: sched.Ran, Latency: 10 * time.Millisecond})
		})
	})
	runSizes(b, "queued/requests", []int{1_000, 10_000, 50_000}, func(b *testing.B, n int) {
		m := newReadyPool(1, cfg, pool.WithQueue(n), pool.WithFixedLimit())
		before := heapBytes()
		for id := range n + 8 {
			m.Update(now, pool.AcquireMsg{ID: uint64(id), Service: "Quotes", Deadline: now.Add(time.Hour)})
		}
		b.ReportMetric(float64(heapBytes()-before)/float64(n), "liveB/request")
		b.ReportMetric(float64(m.Snapshot().Services[0].Waiting)/float64(n), "waiting/request")
	})
}

// BenchmarkSlopeRoute measures one choice of a target by the number of targets,
// and one choice of an entry and one received hint by the number of peers.
func BenchmarkSlopeRoute(b *testing.B) {
	runSizes(b, "pick/targets", []int{8, 400, 4_000}, func(b *testing.B, n int) {
		loads := make([]sched.TargetLoad, n)
		for i := range loads {
			loads[i] = sched.TargetLoad{Slots: 8, InFlight: i % 8, Latency: time.Duration(i%50+1) * time.Millisecond, LatencyAt: benchStart}
		}
		r := route.New()
		perUnit(b, 10_000, 1, "pick", func() { r.Pick(benchStart, loads) })
	})
	peers := []int{5, 67, 339, 999}
	placer := func(n int) *route.Placer {
		p := route.NewPlacer("a", 1)
		for i := range n {
			p.Hint("Quotes", sched.EntryName(fmt.Sprintf("entry-%05d", i)), "b", i%9, benchStart)
		}
		return p
	}
	runSizes(b, "place/peers", peers, func(b *testing.B, n int) {
		p := placer(n)
		perUnit(b, 200, 1, "place", func() { p.Place(benchStart, "Quotes", []route.LocalShard{{Shard: taskShard, Free: 3, Targets: 8}}) })
	})
	runSizes(b, "hint/peers", peers, func(b *testing.B, n int) {
		p, now := placer(n), benchStart
		last := sched.EntryName(fmt.Sprintf("entry-%05d", n-1))
		perUnit(b, 1_000, 1, "hint", func() { now = now.Add(1); p.Hint("Quotes", last, "b", 1, now) })
	})
}

// BenchmarkSlopeConfig measures the size, parsing and application of a
// configuration by the number of services and of teams. The figure ns/apply is
// the time that one shard with 400 workers takes to apply it.
func BenchmarkSlopeConfig(b *testing.B) {
	run := func(b *testing.B, services, teams int) {
		doc := configText(services, teams)
		perUnit(b, 3, 1, "parse", func() { must(text.Parse([]byte(doc))) })
		cfg := parsedConfig(services, teams)
		p, t := newReadyPool(400, cfg), newJobFixture(400)
		begin := time.Now()
		const times = 3
		for range times {
			next := *cfg
			next.Revision++
			cfg = &next
			p.Update(benchStart, pool.ConfigMsg{Config: cfg})
			t.m.Update(benchStart, tasks.ConfigMsg{Config: cfg})
		}
		b.ReportMetric(float64(time.Since(begin).Nanoseconds())/times, "ns/apply")
		b.ReportMetric(float64(len(doc)), "textB")
		b.ReportMetric(float64(len(config.Stored{Revision: 1, Text: doc}.Encode())), "storedB")
	}
	runSizes(b, "teams=10/services", []int{3, 30, 300, 1_000}, func(b *testing.B, n int) { run(b, n, 10) })
	runSizes(b, "services=3/teams", []int{10, 110, 1_100}, func(b *testing.B, n int) { run(b, 3, n) })
	runSizes(b, "both", []int{10, 110, 1_100}, func(b *testing.B, n int) { run(b, n, n) })
}

// BenchmarkSlopeConfigCalls counts the store calls of n entries in 5 minutes
// without changes of the configuration, and with a change every 3.75 s, which is
// 23,000 a day. The count starts when every key of the history has been written
// once.
func BenchmarkSlopeConfigCalls(b *testing.B) {
	run := func(b *testing.B, n int, every time.Duration) {
		const d, warmUp = 5 * time.Minute, config.HistorySize * 3750 * time.Millisecond
		var current sched.Item
		reads, writes, watches := 0, 0, 0
		history := map[string]sched.Item{}
		ms := make([]*config.Machine, n)
		for i := range ms {
			ms[i] = config.New(fmt.Sprintf("entry-%d", i))
		}
		now := benchStart
		type delivery struct {
			to  int
			msg sched.Msg
		}
		var inbox []delivery
		send := func(to int, msg sched.Msg) { inbox = append(inbox, delivery{to, msg}) }
		deliverAll := func() {
			for len(inbox) > 0 {
				in := inbox[0]
				inbox = inbox[1:]
				for _, cmd := range ms[in.to].Update(now, in.msg) {
					switch c := cmd.(type) {
					case config.ReadCmd:
						reads++
						item := history[c.Key]
						if c.Key == config.CurrentKey {
							item = current
						}
						send(in.to, config.StoredMsg{Key: c.Key, Value: item.Value, Version: item.Version, Source: config.SourcePoll, Read: c.Read})
					case config.WriteCmd:
						writes++
						old := history[c.Key]
						if c.Key == config.CurrentKey {
							old = current
						}
						if old.Version != c.Prev {
							send(in.to, config.WriteFailedMsg{ID: c.ID, Err: sched.ErrConflict})
							continue
						}
						item := sched.Item{Value: c.Value, Version: old.Version + 1}
						send(in.to, config.WriteDoneMsg{ID: c.ID, Version: item.Version})
						if c.Key != config.CurrentKey {
							history[c.Key] = item
							continue
						}
						current = item
						for i := range ms {
							watches++
							send(i, config.StoredMsg{Value: item.Value, Version: item.Version, Source: config.SourceWatch})
						}
					}
				}
			}
		}
		doc := configText(3, 3)
		revision, counted, next := sched.Revision(0), sched.Revision(0), now.Add(time.Second)
		countFrom := now.Add(warmUp)
		for end := countFrom.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			if now.Equal(countFrom) {
				reads, writes, watches, counted = 0, 0, 0, revision
			}
			for i := range ms {
				send(i, sched.TickMsg{})
			}
			if every > 0 && !now.Before(next) {
				next = next.Add(every)
				send(0, config.EditMsg{Waiter: 1, Text: doc, IfMatch: revision, Author: "ada"})
				revision++
			}
			deliverAll()
		}
		if every > 0 {
			b.ReportMetric(float64(writes)/float64(revision-counted), "writes/change")
		}
		b.ReportMetric(float64(reads)/d.Seconds(), "reads/s")
		b.ReportMetric(float64(watches)/d.Seconds(), "watches-ended/s")
		b.ReportMetric(0, "ns/op")
	}
	ns := []int{6, 68, 170}
	runSizes(b, "idle/entries", ns, func(b *testing.B, n int) { run(b, n, 0) })
	runSizes(b, "changes/entries", ns, func(b *testing.B, n int) { run(b, n, 3750*time.Millisecond) })
}

// BenchmarkSlopeOwnerCalls counts the reads and writes of the ownership table by
// n idle entries.
func BenchmarkSlopeOwnerCalls(b *testing.B) {
	runSizes(b, "entries", []int{6, 12, 24}, func(b *testing.B, n int) {
		c := newCluster(n, 1)
		c.run(20 * time.Second)
		c.calls = 0
		c.run(20 * time.Second)
		b.ReportMetric(float64(c.calls)/20/float64(n), "calls/s/entry")
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkSlopeCommits counts journal writes by the number of durable
// transitions a second over six shards, each with 5,000 live records.
func BenchmarkSlopeCommits(b *testing.B) {
	runSizes(b, "perSecond", []int{0, 6, 60, 600, 6_000}, func(b *testing.B, n int) {
		writes, failed, latencies := commitOverSixShards(n, 20*time.Second)
		b.ReportMetric(float64(writes)/20/6, "writes/s/shard")
		b.ReportMetric(float64(failed), "failed")
		if len(latencies) > 0 {
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "commit-p99-ms")
		}
		b.ReportMetric(0, "ns/op")
	})
}
