package bench

import (
	"context"
	"crypto/rand"
	"net/http"
	"runtime"
	"testing"
	"time"

	peers "github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// BenchmarkSlopeTaskJournal counts the journal bytes of a task that is accepted,
// evicted once and finished. It also counts the snapshot bytes of the task while
// it runs (running), after its end (finished), and once its tombstone, which
// lasts 10 minutes, has expired (kept).
func BenchmarkSlopeTaskJournal(b *testing.B) {
	const n = 2_000
	run := func(b *testing.B, perJob, payload int) {
		f := newJobFixture(10)
		report := func(bytes int, unit string) { b.ReportMetric(float64(bytes)/n, unit) }
		f.submit(n, perJob, payload)
		records, bytes := f.takeCounts()
		report(records, "records/accepted")
		report(bytes, "B/accepted")
		report(recordBytes(f.m.Snapshot()), "snapB/running")
		for w := range f.started {
			f.update(tasks.EvictMsg{Worker: w, Why: "demand"})
		}
		records, bytes = f.takeCounts()
		report(records, "records/evicted")
		report(bytes, "B/evicted")
		f.finish()
		records, bytes = f.takeCounts()
		report(records, "records/finished")
		report(bytes, "B/finished")
		report(recordBytes(f.m.Snapshot()), "snapB/finished")
		f.tick(11 * time.Minute)
		report(recordBytes(f.m.Snapshot()), "snapB/kept")
		b.ReportMetric(0, "ns/op")
	}
	runSizes(b, "payload=0/tasksPerJob", []int{1, 10, 100}, func(b *testing.B, n int) { run(b, n, 0) })
	runSizes(b, "tasksPerJob=10/payload", []int{0, 256, 1_024}, func(b *testing.B, n int) { run(b, 10, n) })
}

// BenchmarkSlopeTaskState measures memory, snapshot, restore and tick with n tasks
// in a shard that is both their home shard and their hosting shard.
func BenchmarkSlopeTaskState(b *testing.B) {
	ns := []int{1_000, 10_000, 50_000}
	runSizes(b, "memory/tasks", ns, func(b *testing.B, n int) {
		before := heapBytes()
		f := newJobFixture(400)
		f.submit(n, 10, 0)
		f.started = nil
		b.ReportMetric(float64(heapBytes()-before)/float64(n), "liveB/running")
		b.ReportMetric(0, "ns/op")
		runtime.KeepAlive(f)
	})
	runSizes(b, "kept/tasks", ns, func(b *testing.B, n int) {
		before := heapBytes()
		f := newJobFixture(400)
		f.submit(n, 10, 0)
		f.finish()
		f.started, f.inbox = nil, nil
		f.tick(11 * time.Minute)
		b.ReportMetric(float64(heapBytes()-before)/float64(n), "liveB/kept")
		b.ReportMetric(0, "ns/op")
		runtime.KeepAlive(f)
	})
	runSizes(b, "snapshot/tasks", ns, func(b *testing.B, n int) {
		f := newJobFixture(400)
		f.submit(n, 10, 0)
		perUnit(b, 3, n, "task", func() { f.m.Snapshot() })
	})
	runSizes(b, "restore/tasks", ns, func(b *testing.B, n int) {
		f := newJobFixture(400)
		f.submit(n, 10, 0)
		rs := f.m.Snapshot()
		perUnit(b, 3, len(rs), "record", func() {
			m := tasks.New(taskShard, newTaskLedger(0, sched.Resources{}), place.NewPack())
			for _, r := range rs {
				if err := m.Restore(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	})
	tick := func(b *testing.B, n, workers int) {
		f := newJobFixture(workers)
		f.submit(n, 10, 0)
		f.tick(2 * time.Second)
		// In 2 s there are 20 ticks, and one lease renewal and two inventory
		// polls of each worker.
		perUnit(b, 3, 20, "tick", func() {
			for range 20 {
				f.now = f.now.Add(100 * time.Millisecond)
				for _, cmd := range f.m.Update(f.now, sched.TickMsg{}) {
					if c, ok := cmd.(tasks.RenewCmd); ok {
						f.m.Update(f.now, tasks.RenewResultMsg{Worker: c.Worker, Outcome: tasks.CallOK})
					}
				}
			}
		})
	}
	runSizes(b, "tick/workers=400/tasks", ns, func(b *testing.B, n int) { tick(b, n, 400) })
	runSizes(b, "tick/tasks=10000/workers", []int{50, 400, 4_000}, func(b *testing.B, n int) { tick(b, 10_000, n) })
}

// BenchmarkSlopeTaskEvents counts the events between the home shard and the
// hosting shard of a task that runs once, and measures calls that carry events.
func BenchmarkSlopeTaskEvents(b *testing.B) {
	runSizes(b, "tasks", []int{100, 1_000, 10_000}, func(b *testing.B, n int) {
		f := newJobFixture(10)
		f.submit(n, 10, 0)
		f.finish()
		b.ReportMetric(float64(f.events)/float64(n), "events/task")
		b.ReportMetric(float64(f.eventBytes)/float64(n), "B/task")
		b.ReportMetric(0, "ns/op")
	})
	runSizes(b, "call/events", []int{1, 10, 100}, func(b *testing.B, n int) {
		mux := http.NewServeMux()
		mux.Handle(peers.Handler(&stubBackend{}, "secret"))
		addr, sent := serveCounted(b, mux)
		p := peers.NewPool("secret")
		defer p.Close()
		events := make([][]byte, n)
		for i := range events {
			events[i] = tasks.EncodeEvent(tasks.Event{
				Kind: tasks.EventAssign, Task: sched.TaskID{Job: sched.JobID(rand.Text()), Index: i}, Team: "Team-0001",
				Spec: sched.TaskSpec{Class: "Tracking", Resources: taskResources, RunTime: time.Hour},
			})
		}
		const calls = 50
		perUnit(b, calls, n, "event", func() { must(p.Dial(addr).TaskEvents(context.Background(), taskShard, taskShard, events)) })
		b.ReportMetric(float64(sent.Load())/((calls+1)*float64(n)), "wireB/event")
	})
}

// BenchmarkSlopeLostWorkers counts the tasks that end as NotRunnable when their
// shard loses all its workers for 90 s, as in the failure of a data centre.
func BenchmarkSlopeLostWorkers(b *testing.B) {
	runSizes(b, "tasks", []int{100, 1_000, 10_000}, func(b *testing.B, n int) {
		f := newJobFixture(400)
		f.submit(n, 10, 0)
		f.unresponsive = true
		f.update(tasks.WorkersMsg{})
		for range 90 {
			f.tick(time.Second)
		}
		phases := map[sched.TaskPhase]int{}
		for _, j := range f.m.Jobs(n) {
			for _, t := range j.Tasks {
				phases[t.Phase]++
			}
		}
		b.ReportMetric(float64(phases[sched.PhaseNotRunnable])/float64(n), "NotRunnable/task")
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkSlopeSnapshotWrites commits 200 records a second on one shard for
// 60 s of virtual time while snapshots write n live records again. It reports
// the writes and the longest commit.
func BenchmarkSlopeSnapshotWrites(b *testing.B) {
	runSizes(b, "records", []int{5_000, 50_000, 150_000, 300_000}, func(b *testing.B, n int) {
		const seconds = 60
		l := newShardJournal(0)
		l.live = makeRecords(n)
		start := time.Unix(1_000_000, 0)
		for ms := range seconds * 1_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%5 == 0 {
				l.append(now)
			}
			l.step(now)
		}
		longest := time.Duration(0)
		for _, d := range l.latencies {
			longest = max(longest, d)
		}
		b.ReportMetric(float64(l.writes)/seconds, "writes/s")
		b.ReportMetric(float64(longest.Milliseconds()), "longest-commit-ms")
		b.ReportMetric(float64(l.failed), "failed")
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkSlopeKeys measures the journal, memory and snapshot of keyed requests
// with answers of 1 KiB. Figures that end in "answered" are taken while the
// answers are kept, and those that end in "fact" after the answers have expired,
// when only the outcome of each request is left.
func BenchmarkSlopeKeys(b *testing.B) {
	runSizes(b, "keys", []int{1_000, 10_000, 50_000}, func(b *testing.B, n int) {
		per := func(v int, unit string) { b.ReportMetric(float64(v)/float64(n), unit) }
		before := heapBytes()
		m, intentBytes, ranBytes := finishedKeys(n, 1_024)
		per(intentBytes, "B/intent")
		per(ranBytes, "B/ran")
		per(int(heapBytes()-before), "liveB/answered")
		per(recordBytes(m.Snapshot()), "snapB/answered")
		m.Update(benchStart.Add(time.Hour), sched.TickMsg{})
		per(int(heapBytes()-before), "liveB/fact")
		rs := m.Snapshot()
		per(recordBytes(rs), "snapB/fact")
		perUnit(b, 3, n, "restore", func() {
			m := dedup.New(dedup.WithBytes(1<<40, 1<<40))
			for _, r := range rs {
				if err := m.Restore(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	})
}
