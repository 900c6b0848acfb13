package owner_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// TestMain fixes the seed, so that every run of CI draws the same cases. Thirty
// cases take about 20 s with the race detector. Command-line flags select longer
// searches.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// journals holds the journals of all shards in the store, and what was reported
// about each record.
type journals struct {
	s     *sim
	items map[string]sched.Item
	// acked holds the records that were reported as durable.
	acked map[sched.ShardID][]string
	// reportedFailed holds the records that were reported as not durable.
	reportedFailed map[string]bool
	shards         []*journal
	lastID         int
}

// journal runs the commit machine of one shard on one entry.
type journal struct {
	j     *journals
	e     *entry
	shard sched.ShardID
	epoch sched.Epoch
	m     *commit.Machine
	// state holds the records of the journal, from which snapshots are made.
	state []string
	// sent holds the record of each ticket.
	sent  map[sched.Ticket]string
	inbox []sched.Msg
	// closed is set when the epoch of the entry has ended.
	closed bool
}

// attach opens a journal for each shard that the entry acquires, and closes it
// when the epoch ends.
func (j *journals) attach(e *entry) {
	e.onCmd = func(c sched.Cmd) {
		switch c := c.(type) {
		case owner.AcquiredCmd:
			l := &journal{j: j, e: e, shard: c.Shard, epoch: c.Epoch, sent: map[sched.Ticket]string{}}
			j.shards = append(j.shards, l)
			l.open()
		case owner.LostCmd:
			for _, l := range j.shards {
				if c.Final && l.e == e && l.shard == c.Shard && l.epoch == c.Epoch {
					l.close()
				}
			}
		}
	}
}

func (l *journal) close() {
	if l.m != nil && !l.closed {
		l.send(commit.StopMsg{})
	}
	l.closed = true
}

// open recovers the journal and starts its machine. It reads the ring one step
// before the snapshot, in the order that [commit.Recover] requires.
func (l *journal) open() {
	l.m = nil
	if l.e.storeCut {
		l.j.s.after(100*time.Millisecond, l.open)
		return
	}
	l.j.s.after(step, func() {
		ring := l.j.itemsWithPrefix(commit.RingPrefix(l.shard))
		l.j.s.after(step, func() {
			rec, err := commit.Recover(l.shard, l.j.itemsWithPrefix(commit.SnapshotPrefix(l.shard)), ring)
			if l.closed {
				return
			}
			if err != nil {
				l.open()
				return
			}
			l.state = nil
			for _, r := range rec.Records {
				l.state = append(l.state, string(r.Data))
			}
			l.j.lastID++
			l.m = commit.New(rec, l.epoch, "w"+strconv.Itoa(l.j.lastID), commit.WithBatchBytes(200))
			l.inbox = nil
		})
	})
}

func (j *journals) itemsWithPrefix(prefix string) []sched.Item {
	var out []sched.Item
	for k, it := range j.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	return out
}

// deliverAll delivers the waiting messages and a tick to every journal whose
// entry is running and not paused.
func (j *journals) deliverAll() {
	for _, l := range j.shards {
		if l.closed || l.m == nil || l.e.paused || !slices.Contains(j.s.entries, l.e) {
			continue
		}
		m, inbox := l.m, l.inbox
		l.inbox = nil
		for _, msg := range append(inbox, sched.TickMsg{}) {
			if l.m == m {
				l.send(msg)
			}
		}
	}
}

// append appends a record to every journal whose entry serves the shard.
func (j *journals) append() {
	for _, l := range j.shards {
		if l.closed || l.m == nil || l.e.paused || !l.m.Ready() || !l.e.m.Serving(j.s.now, l.shard) {
			continue
		}
		j.lastID++
		ticket := sched.Ticket(j.lastID)
		l.sent[ticket] = "r" + strconv.Itoa(j.lastID)
		l.send(commit.AppendMsg{
			Waiter: commit.Waiter{From: sched.RecordTask, Ticket: ticket},
			Record: sched.Record{Kind: sched.RecordTask, Data: []byte(l.sent[ticket])},
		})
	}
}

func (l *journal) send(msg sched.Msg) {
	for _, c := range l.m.Update(l.j.s.now, msg) {
		switch c := c.(type) {
		case commit.WriteCmd:
			l.write(c)
		case commit.ReadCmd:
			l.read(c)
		case commit.NeedSnapshotCmd:
			rs := make([]sched.Record, len(l.state))
			for i, s := range l.state {
				rs[i] = sched.Record{Kind: sched.RecordTask, Data: []byte(s)}
			}
			l.send(commit.SnapshotMsg{Records: rs})
		case commit.DoneCmd:
			for _, w := range c.Waiters {
				l.state = append(l.state, l.sent[w.Ticket])
				l.j.acked[l.shard] = append(l.j.acked[l.shard], l.sent[w.Ticket])
			}
		case commit.FailedCmd:
			for _, w := range c.Waiters {
				if c.Lost {
					l.state = append(l.state, l.sent[w.Ticket])
				} else {
					l.j.reportedFailed[l.sent[w.Ticket]] = true
				}
			}
		case commit.RecoverCmd:
			l.open()
			return
		case commit.FencedCmd:
			l.closed = true
		}
	}
}

// reply delivers an answer, unless the machine was replaced in the meantime.
func (l *journal) reply(m *commit.Machine, msg sched.Msg) {
	l.j.s.after(step, func() {
		if l.m == m {
			l.inbox = append(l.inbox, msg)
		}
	})
}

func (l *journal) write(c commit.WriteCmd) {
	m, s := l.m, l.j.s
	if l.e.storeCut {
		l.reply(m, commit.WriteFailedMsg{ID: c.ID, Err: sched.ErrUnavailable})
		return
	}
	loseAnswer := l.e.loseAnswer
	effectDelay := l.e.effectDelay
	if loseAnswer {
		l.reply(m, commit.WriteFailedMsg{ID: c.ID, Err: sched.ErrLost})
	}
	l.e.loseAnswer, l.e.effectDelay = false, 0
	s.after(step+effectDelay, func() {
		it := l.j.items[c.Key]
		var answer sched.Msg = commit.WriteFailedMsg{ID: c.ID, Err: sched.ErrConflict}
		if it.Version == c.Prev {
			l.j.items[c.Key] = sched.Item{Key: c.Key, Value: c.Value, Version: c.Prev + 1}
			answer = commit.WriteDoneMsg{ID: c.ID, Version: c.Prev + 1}
		}
		if !loseAnswer {
			l.reply(m, answer)
		}
	})
}

func (l *journal) read(c commit.ReadCmd) {
	m := l.m
	if l.e.storeCut {
		l.reply(m, commit.ReadDoneMsg{Err: sched.ErrUnavailable})
		return
	}
	l.j.s.after(step, func() {
		if it, ok := l.j.items[c.Key]; ok {
			l.reply(m, commit.ReadDoneMsg{Item: it})
			return
		}
		l.reply(m, commit.ReadDoneMsg{Err: sched.ErrNotFound})
	})
}

// check recovers every journal from the current content of the store. It fails
// the test if a record is missing, doubled, or present although it was reported
// as not durable.
func (j *journals) check(t require.TestingT) {
	for shard, acked := range j.acked {
		rec, err := commit.Recover(shard, j.itemsWithPrefix(commit.SnapshotPrefix(shard)), j.itemsWithPrefix(commit.RingPrefix(shard)))
		require.NoError(t, err)
		count := map[string]int{}
		for _, r := range rec.Records {
			count[string(r.Data)]++
			require.Equal(t, 1, count[string(r.Data)], "record %s is doubled", r.Data)
			require.False(t, j.reportedFailed[string(r.Data)], "record %s was reported as not durable", r.Data)
		}
		for _, a := range acked {
			require.Equal(t, 1, count[a], "record %s was reported as durable", a)
		}
	}
}

// restart replaces the process of an entry. With relist, the entry is removed
// from the list and listed again under a new generation.
func (j *journals) restart(e *entry, relist bool) {
	s := j.s
	s.stop(e)
	for _, l := range j.shards {
		l.closed = l.closed || l.e == e
	}
	j.lastID++
	if relist {
		generation := s.listed[e.name].Generation
		s.removeFromList(e.name)
		s.run(50 * time.Millisecond)
		s.addToList(e.name, "a", generation+1)
	}
	layout := owner.WithLayout([]sched.DataCentre{"a"}, 2)
	j.attach(s.start(e.name, "p"+strconv.Itoa(j.lastID), layout))
}

// Guards against two entries that serve the same shard, and against records that
// are lost, doubled or reported with the wrong outcome. Random sequences of
// pauses, outages, lost answers and restarts provoke these failures.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s.lag = func(*entry) time.Duration { return time.Duration(s.rng.Int64N(int64(owner.ListLag))) }
		j := &journals{s: s, items: map[string]sched.Item{}, acked: map[sched.ShardID][]string{}, reportedFailed: map[string]bool{}}
		for _, name := range []sched.EntryName{"e1", "e2", "e3"} {
			s.addToList(name, "a", 1)
			j.attach(s.start(name, "p"+string(name), owner.WithLayout([]sched.DataCentre{"a"}, 2)))
		}
		pick := func() *entry { return s.entries[rapid.IntRange(0, 2).Draw(t, "entry")] }
		runJournals := func() {
			j.deliverAll()
			if s.rng.IntN(8) == 0 {
				j.append()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pause":    func(*rapid.T) { e := pick(); e.paused = !e.paused },
			"cutStore": func(*rapid.T) { e := pick(); e.storeCut = !e.storeCut },
			"cutList":  func(*rapid.T) { e := pick(); e.listCut = !e.listCut },
			"outage": func(t *rapid.T) {
				down := rapid.Bool().Draw(t, "down")
				for _, e := range s.entries {
					e.storeCut = down
				}
			},
			"lose": func(t *rapid.T) {
				e := pick()
				e.loseAnswer, e.effectDelay = true, time.Duration(rapid.IntRange(0, 3000).Draw(t, "late"))*time.Millisecond
			},
			"relay": func(*rapid.T) { s.relay(pick(), pick()) },
			"drain": func(*rapid.T) {
				e := pick()
				for _, id := range e.m.AssignedShards() {
					e.inbox = append(e.inbox, owner.ReleaseMsg{Shard: id})
				}
			},
			"drop": func(*rapid.T) {
				e := pick()
				generation := s.listed[e.name].Generation
				s.removeFromList(e.name)
				s.run(time.Second, runJournals)
				s.addToList(e.name, "a", generation+1)
			},
			"restart": func(t *rapid.T) { j.restart(pick(), rapid.Bool().Draw(t, "relist")) },
			"": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "run"))*time.Millisecond, runJournals)
				j.check(t)
			},
		})
		for _, e := range s.entries {
			e.paused, e.storeCut, e.listCut = false, false, false
		}
		s.run(30*time.Second, runJournals)
		j.check(t)
		require.Len(t, j.acked, 2, "a shard has no owner after all faults have ended")
	})
}
