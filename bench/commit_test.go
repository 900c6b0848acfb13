package bench

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
)

// shardJournal runs the journal machine of one shard in virtual time, with a
// simulated store of its own.
type shardJournal struct {
	shard     sched.ShardID
	m         *commit.Machine
	items     map[string]sched.Item
	events    []event
	inbox     []sched.Msg
	sent      map[sched.Ticket]time.Time
	latencies []time.Duration
	live      []sched.Record
	writes    int
	failed    int
	next      sched.Ticket
}

// liveRecords is the number of records that each snapshot of a shard holds.
const liveRecords = 5_000

func newShardJournal(i int) *shardJournal {
	l := &shardJournal{shard: sched.ShardID{DataCentre: "a", Index: i}, items: map[string]sched.Item{}, sent: map[sched.Ticket]time.Time{}}
	l.live = makeRecords(liveRecords)
	rec, err := commit.Recover(l.shard, nil, nil)
	if err != nil {
		panic(err)
	}
	l.m = commit.New(rec, 1, fmt.Sprintf("w%d", i))
	return l
}

// makeRecords returns n records of 120 bytes.
func makeRecords(n int) []sched.Record {
	rs := make([]sched.Record, n)
	for i := range rs {
		data := make([]byte, 120)
		binary.BigEndian.PutUint64(data, uint64(i))
		rs[i] = sched.Record{Kind: sched.RecordTask, Data: data}
	}
	return rs
}

func (l *shardJournal) append(now time.Time) {
	l.next++
	l.sent[l.next] = now
	l.update(now, commit.AppendMsg{
		Waiter: commit.Waiter{From: sched.RecordTask, Ticket: l.next},
		Record: l.live[int(l.next)%len(l.live)],
	})
}

func (l *shardJournal) step(now time.Time) {
	events := l.events
	l.events = nil
	for _, e := range events {
		if e.at.After(now) {
			l.events = append(l.events, e)
			continue
		}
		e.do()
	}
	inbox := l.inbox
	l.inbox = nil
	for _, m := range inbox {
		l.update(now, m)
	}
	if at, ok := l.m.WakeAt(); ok && !at.After(now) {
		l.update(now, sched.TickMsg{})
	}
}

func (l *shardJournal) update(now time.Time, msg sched.Msg) {
	for _, cmd := range l.m.Update(now, msg) {
		switch cmd := cmd.(type) {
		case commit.WriteCmd:
			l.writes++
			l.events = append(l.events, event{now.Add(storeLatency), func() {
				v := cmd.Prev + 1
				l.items[cmd.Key] = sched.Item{Key: cmd.Key, Value: cmd.Value, Version: v}
				l.inbox = append(l.inbox, commit.WriteDoneMsg{ID: cmd.ID, Version: v})
			}})
		case commit.NeedSnapshotCmd:
			l.update(now, commit.SnapshotMsg{Records: l.live})
		case commit.DoneCmd:
			for _, w := range cmd.Waiters {
				l.latencies = append(l.latencies, now.Sub(l.sent[w.Ticket]))
				delete(l.sent, w.Ticket)
			}
		case commit.FailedCmd:
			l.failed += len(cmd.Waiters)
		}
	}
}

// commitOverSixShards commits transitions at a rate, spread over six shards, for
// d of virtual time. The latencies are sorted.
func commitOverSixShards(perSecond int, d time.Duration) (writes, failed int, latencies []time.Duration) {
	const ms = time.Millisecond
	var journals []*shardJournal
	for i := range 6 {
		journals = append(journals, newShardJournal(i))
	}
	start := time.Unix(1_000_000, 0)
	due := 0
	for now := start; now.Before(start.Add(d)); now = now.Add(ms) {
		for n := int(now.Sub(start).Seconds() * float64(perSecond)); due < n; due++ {
			journals[due%6].append(now)
		}
		for _, l := range journals {
			l.step(now)
		}
	}
	for _, l := range journals {
		writes += l.writes
		failed += l.failed
		latencies = append(latencies, l.latencies...)
	}
	slices.Sort(latencies)
	return writes, failed, latencies
}

// BenchmarkStoreCalls reports the load on the store.
//
//   - idle-calls/s: the calls of six idle entries, including a configuration
//     poll every 5 s and two watches for each entry that are renewed every 10 s.
//     Target: at most 12.
//   - writes/s: the writes at 5,000 durable transitions a second over six
//     shards with a store that answers in 10 ms. Target: at most 150.
//   - commit-p99-ms: the commit latency at the same load. Target: at most 100.
func BenchmarkStoreCalls(b *testing.B) {
	const idle = 60 * time.Second
	const busy = 20 * time.Second
	var idleCalls float64
	var writes, failed int
	var latencies []time.Duration
	for range b.N {
		c := newCluster(6, 1)
		c.run(20 * time.Second)
		c.calls = 0
		c.run(idle)
		idleCalls = float64(c.calls)/idle.Seconds() + 6/5.0 + 6*2/10.0
		writes, failed, latencies = commitOverSixShards(5000, busy)
	}
	b.ReportMetric(idleCalls, "idle-calls/s")
	b.ReportMetric(float64(writes)/busy.Seconds(), "writes/s")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "commit-p99-ms")
	b.ReportMetric(float64(failed), "failed")
}

// BenchmarkRecover measures the recovery of a journal by the number of records
// in its snapshot.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 500_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			l := newShardJournal(0)
			l.live = makeRecords(n)
			now := time.Unix(1_000_000, 0)
			for l.m.Covered() == 0 {
				now = now.Add(time.Millisecond)
				if now.UnixMilli()%50 == 0 {
					l.append(now)
				}
				l.step(now)
			}
			batches, snapshot := l.list(commit.RingPrefix(l.shard)), l.list(commit.SnapshotPrefix(l.shard))
			var rec commit.Recovered
			b.ResetTimer()
			for range b.N {
				var err error
				if rec, err = commit.Recover(l.shard, snapshot, batches); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(rec.Bytes)/float64(len(rec.Records)), "B/record")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(rec.Records)), "ns/record")
		})
	}
}

func (l *shardJournal) list(prefix string) []sched.Item {
	var out []sched.Item
	for k, it := range l.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	return out
}
