package commit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
)

var shard = sched.ShardID{DataCentre: "a", Index: 0}

// fault is what happens to a write.
type fault uint8

const (
	// none: the write is applied normally.
	none fault = iota
	// unavailable: the write has no effect and fails with ErrUnavailable.
	unavailable
	// lost: the write is applied but its answer is lost.
	lost
	// held: the write is kept in store.held, from where a test can apply it
	// later. Its answer is lost.
	held
)

// store is a key-value store in memory. The faults apply to the next writes, one
// each; log lists the keys of the writes that were applied.
type store struct {
	items  map[string]sched.Item
	faults []fault
	held   []commit.WriteCmd
	log    []string
}

func newStore() *store { return &store{items: map[string]sched.Item{}} }

func (s *store) put(c commit.WriteCmd) (sched.Version, error) {
	it := s.items[c.Key]
	if it.Version != c.Prev {
		return 0, sched.ErrConflict
	}
	it = sched.Item{Key: c.Key, Value: c.Value, Version: c.Prev + 1}
	s.items[c.Key] = it
	s.log = append(s.log, c.Key)
	return it.Version, nil
}

func (s *store) write(c commit.WriteCmd) (sched.Version, error) {
	f := none
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	switch f {
	case unavailable:
		return 0, sched.ErrUnavailable
	case lost:
		_, _ = s.put(c)
		return 0, sched.ErrLost
	case held:
		s.held = append(s.held, c)
		return 0, sched.ErrLost
	default:
		return s.put(c)
	}
}

func (s *store) list(prefix string) []sched.Item {
	var out []sched.Item
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	return out
}

func (s *store) recover(released ...uint64) (commit.Recovered, error) {
	ring := s.list(commit.RingPrefix(shard))
	return commit.Recover(shard, s.list(commit.SnapshotPrefix(shard)), ring, released...)
}

// runner runs one machine against a store. Its state is the durable records.
type runner struct {
	t     *testing.T
	s     *store
	m     *commit.Machine
	now   time.Time
	state []string
	sent  map[sched.Ticket]string
	next  sched.Ticket
	// done, failed and unknown list the records by the result of their append.
	done, failed, unknown []string
	cmds                  []sched.Cmd
	// disconnected means that writes do not reach the store and get no
	// answer.
	disconnected bool
}

// start recovers the journal and returns a runner whose machine has not written
// yet.
func start(t *testing.T, s *store, epoch sched.Epoch, opts ...commit.Option) *runner {
	t.Helper()
	rec, err := s.recover()
	require.NoError(t, err)
	r := &runner{t: t, s: s, now: time.Unix(1_000_000, 0), state: data(rec.Records), sent: map[sched.Ticket]string{}}
	r.m = commit.New(rec, epoch, fmt.Sprintf("w%d", epoch), opts...)
	return r
}

// ready starts a machine and lets it fence the previous one.
func ready(t *testing.T, s *store, epoch sched.Epoch, opts ...commit.Option) *runner {
	t.Helper()
	r := start(t, s, epoch, opts...)
	r.send(sched.TickMsg{})
	require.True(t, r.m.Ready())
	// A second later the write budget permits the next batch at once.
	r.now = r.now.Add(time.Second)
	return r
}

func data(rs []sched.Record) []string {
	out := make([]string, len(rs))
	for i, r := range rs {
		out[i] = string(r.Data)
	}
	return out
}

func (r *runner) send(msg sched.Msg) {
	for _, c := range r.m.Update(r.now, msg) {
		r.cmds = append(r.cmds, c)
		r.execute(c)
	}
}

func (r *runner) execute(c sched.Cmd) {
	switch c := c.(type) {
	case commit.WriteCmd:
		if r.disconnected {
			return
		}
		if v, err := r.s.write(c); err != nil {
			r.send(commit.WriteFailedMsg{ID: c.ID, Err: err})
		} else {
			r.send(commit.WriteDoneMsg{ID: c.ID, Version: v})
		}
	case commit.ReadCmd:
		it, ok := r.s.items[c.Key]
		if !ok {
			r.send(commit.ReadDoneMsg{Err: sched.ErrNotFound})
			return
		}
		r.send(commit.ReadDoneMsg{Item: it})
	case commit.NeedSnapshotCmd:
		r.send(commit.SnapshotMsg{Records: records(r.state)})
	case commit.DoneCmd:
		for _, w := range c.Waiters {
			r.state = append(r.state, r.sent[w.Ticket])
			r.done = append(r.done, r.sent[w.Ticket])
		}
	case commit.FailedCmd:
		for _, w := range c.Waiters {
			if c.Lost {
				r.unknown = append(r.unknown, r.sent[w.Ticket])
			} else {
				r.failed = append(r.failed, r.sent[w.Ticket])
			}
		}
	}
}

func records(state []string) []sched.Record {
	rs := make([]sched.Record, len(state))
	for i, s := range state {
		rs[i] = sched.Record{Kind: sched.RecordTask, Data: []byte(s)}
	}
	return rs
}

func (r *runner) append(s string) {
	r.next++
	r.sent[r.next] = s
	r.send(commit.AppendMsg{
		Waiter: commit.Waiter{From: sched.RecordTask, Ticket: r.next},
		Record: sched.Record{Kind: sched.RecordTask, Data: []byte(s)},
	})
}

// commit appends n records, each in its own batch.
func (r *runner) commit(n int) {
	for i := range n {
		r.append(fmt.Sprintf("r%d-%d", r.next, i))
		r.run(time.Second)
	}
}

// run sends a TickMsg every 10 ms until d has passed.
func (r *runner) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(10 * time.Millisecond)
		r.send(sched.TickMsg{})
	}
}

// requireDurable checks the records that a new owner would recover.
func requireDurable(t *testing.T, s *store, want ...string) {
	t.Helper()
	rec, err := s.recover()
	require.NoError(t, err)
	require.Equal(t, append([]string{}, want...), data(rec.Records))
}

func requireCmd[T any](t *testing.T, cmds []sched.Cmd) {
	t.Helper()
	for _, c := range cmds {
		if _, ok := c.(T); ok {
			return
		}
	}
	require.Fail(t, "command is missing", "%T in %v", *new(T), cmds)
}

func requireDamaged(t *testing.T, err error, seq uint64) {
	t.Helper()
	var d *commit.DamagedError
	require.ErrorAs(t, err, &d)
	require.Equal(t, seq, d.Seq)
}
