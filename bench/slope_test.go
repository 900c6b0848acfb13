package bench

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/internal/agent"
	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/internal/fleet"
	peers "github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// The benchmarks in this file measure how state, messages and work grow with
// the size of the fleet. docs/CAPACITY.md extrapolates from them.

// perUnit runs f a number of times and reports the time, allocations and
// allocated bytes for each unit. One run of f handles n units.
func perUnit(b *testing.B, times, n int, unit string, f func()) {
	b.Helper()
	var before, after runtime.MemStats
	f() // Warms connections, buffers and decoder caches.
	runtime.GC()
	runtime.ReadMemStats(&before)
	begin := time.Now()
	for range times {
		f()
	}
	spent := time.Since(begin)
	runtime.ReadMemStats(&after)
	units := float64(times * n)
	b.ReportMetric(float64(spent.Nanoseconds())/units, "ns/"+unit)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/units, "allocs/"+unit)
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/units, "heapB/"+unit)
	b.ReportMetric(0, "ns/op")
}

// runSizes runs a sub-benchmark for each size.
func runSizes(b *testing.B, name string, ns []int, f func(b *testing.B, n int)) {
	b.Helper()
	for _, n := range ns {
		b.Run(fmt.Sprintf("%s=%d", name, n), func(b *testing.B) {
			for b.Loop() {
				f(b, n)
			}
		})
	}
}

// serveCounted serves a handler on loopback. The counter adds up the bytes above
// TCP in both directions.
func serveCounted(b *testing.B, h http.Handler) (netip.AddrPort, *atomic.Int64) {
	b.Helper()
	n := &atomic.Int64{}
	srv := httptest.NewUnstartedServer(h)
	srv.Listener = countingListener{srv.Listener, n}
	srv.Start()
	b.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String()), n
}

// BenchmarkSlopeListRead measures a read of the instance list over loopback with
// the client that entries use.
func BenchmarkSlopeListRead(b *testing.B) {
	runSizes(b, "instances", []int{65, 800, 4_500, 27_000}, func(b *testing.B, n int) {
		body := must(json.Marshal(workerInstances(n)))
		addr, _ := serveCounted(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
		c := fleet.New(addr, fleet.WithTimeout(time.Minute))
		defer c.Close()
		perUnit(b, max(100_000/n, 3), n, "instance", func() { must(c.Instances(context.Background())) })
		b.ReportMetric(float64(len(body))/float64(n), "wireB/instance")
	})
}

// BenchmarkSlopeTable measures encoding and parsing of the ownership table.
func BenchmarkSlopeTable(b *testing.B) {
	shards := []int{6, 68, 340, 1_000}
	runSizes(b, "encode/shards", shards, func(b *testing.B, n int) {
		t, _ := ownedTable(n)
		perUnit(b, 100, n, "shard", func() { t.Encode() })
		b.ReportMetric(float64(len(t.Encode()))/float64(n), "B/shard")
	})
	runSizes(b, "parse/shards", shards, func(b *testing.B, n int) {
		t, _ := ownedTable(n)
		v := t.Encode()
		perUnit(b, 100, n, "shard", func() { must(owner.ParseTable(v)) })
	})
}

// BenchmarkSlopeOwner measures how the ownership machine handles one list read,
// one tick, and one table that a peer relays and whose version is already known.
func BenchmarkSlopeOwner(b *testing.B) {
	shards := []int{6, 68, 340, 1_000}
	for _, kind := range []string{"list", "tick", "relay"} {
		runSizes(b, kind+"/shards", shards, func(b *testing.B, n int) {
			t, list := ownedTable(n)
			now, v := benchStart, t.Encode()
			m := owner.New("entry-00000", t.Shards[0].Owner.Process, owner.WithDataCentre(t.Shards[0].ID.DataCentre))
			m.Update(now, owner.ListReadMsg{SentAt: now, Instances: list})
			m.Update(now, owner.TableReadMsg{SentAt: now, Value: v, Version: 1})
			perUnit(b, 100, n, "shard", func() {
				now = now.Add(time.Millisecond)
				switch kind {
				case "list":
					m.Update(now, owner.ListReadMsg{SentAt: now, Instances: list})
				case "tick":
					m.Update(now, sched.TickMsg{})
				case "relay":
					m.Update(now, owner.RelayedMsg{SentAt: now, Table: v, Version: 1, ListAge: -1})
				}
			})
		})
	}
}

// BenchmarkSlopeHeartbeat counts the bytes of one heartbeat exchange with one
// peer in both directions, including the HTTP headers.
func BenchmarkSlopeHeartbeat(b *testing.B) {
	measure := func(b *testing.B, services, shards int) {
		t, _ := ownedTable(shards)
		v := peers.View{From: "entry-00001", Revision: 23_000, Slots: map[sched.ServiceName]int{}, TableAge: time.Second, ListAge: time.Second}
		for i := range services {
			v.Slots[sched.ServiceName(fmt.Sprintf("Service-%04d", i))] = 100 + i
		}
		answer := v
		answer.Table, answer.TableVersion, answer.ListedGeneration = t.Encode(), 70_000, 100_001
		mux := http.NewServeMux()
		mux.Handle(peers.Handler(&stubBackend{view: answer}, "secret"))
		addr, sent := serveCounted(b, mux)
		p := peers.NewPool("secret")
		defer p.Close()
		c := p.Dial(addr)
		const exchanges = 50
		perUnit(b, exchanges, 1, "beat", func() { must(c.Heartbeat(context.Background(), v)) })
		b.ReportMetric(float64(sent.Load())/(exchanges+1), "wireB/beat")
	}
	runSizes(b, "shards=6/services", []int{3, 30, 300}, func(b *testing.B, n int) { measure(b, n, 6) })
	runSizes(b, "services=3/shards", []int{6, 68, 340, 1_000}, func(b *testing.B, n int) { measure(b, 3, n) })
}

// BenchmarkSlopeWorkerCalls counts the bytes of calls to a worker's control
// port. The allocations are those of the client and the stand-in
// for the worker together.
func BenchmarkSlopeWorkerCalls(b *testing.B) {
	ctx := context.Background()
	for _, kind := range []string{"renew", "inventory", "start"} {
		runSizes(b, kind+"/tasks", []int{1, 10, 22, 200}, func(b *testing.B, n int) {
			w := fake.NewWorker(fake.WorkerConfig{Name: "worker-00001", Capacity: taskResources.Scale(n), RunTime: time.Hour})
			addr, sent := serveCounted(b, w)
			c := agent.NewControlClient(agent.WithTimeout(time.Minute))
			defer c.Close()
			leases := make([]sched.Lease, n)
			for i := range leases {
				leases[i] = sched.Lease{
					Task:  sched.TaskID{Job: sched.JobID(rand.Text()), Index: i},
					Shard: taskShard, Epoch: 7, Attempt: 7<<20 + 1, Duration: time.Hour,
				}
				if err := c.Start(ctx, addr, sched.TaskStart{Lease: leases[i], Class: "Tracking", Resources: taskResources}); err != nil {
					b.Fatal(err)
				}
			}
			started := sent.Swap(0)
			const calls = 20
			switch kind {
			case "renew":
				perUnit(b, calls, n, "task", func() { must(c.Renew(ctx, addr, leases)) })
			case "inventory":
				perUnit(b, calls, n, "task", func() { must(c.Inventory(ctx, addr, taskShard, 7)) })
			case "start":
				b.ReportMetric(float64(started)/float64(n), "wireB/task")
				return
			}
			b.ReportMetric(float64(sent.Load())/((calls+1)*float64(n)), "wireB/task")
		})
	}
}
