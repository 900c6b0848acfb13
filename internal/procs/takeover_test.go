package procs

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// Bounds of the design.
const (
	// takeoverBound is the maximum time from the crash of an entry until other
	// entries serve its shards, with an instance list that lags by 1 s.
	takeoverBound = 4 * time.Second
	// taskLease is how long a worker runs a task whose lease is not renewed.
	taskLease = 10 * time.Second
)

// owned returns the table rows of the shards that an entry owns. There must be at
// least one.
func (s *site) owned(e *entryProc) []owner.Shard {
	s.t.Helper()
	table, ok := s.table()
	require.True(s.t, ok, "the ownership table cannot be read")
	var out []owner.Shard
	for _, row := range table.Shards {
		if string(row.Owner.Name) == e.name {
			out = append(out, row)
		}
	}
	require.NotEmpty(s.t, out, "%s owns no shard", e.name)
	return out
}

// orderForShard returns an order whose key belongs to a shard.
func (s *site) orderForShard(shard sched.ShardID) request {
	s.t.Helper()
	table, ok := s.table()
	require.True(s.t, ok, "the ownership table cannot be read")
	for {
		if o := s.order(); table.Layout()[:table.KeyShards].ShardOf("Billing/Orders/"+o.key) == shard {
			return o
		}
	}
}

// awaitTakeover waits until other entries own the lost shards and serve orders
// whose keys belong to them. It returns how long that took.
func (s *site) awaitTakeover(lost []owner.Shard) time.Duration {
	s.t.Helper()
	return s.await(takeoverBound+slack, "shards are taken over", func() bool {
		table, ok := s.table()
		return ok && !slices.ContainsFunc(lost, func(before owner.Shard) bool {
			i := slices.IndexFunc(table.Shards, func(row owner.Shard) bool { return row.ID == before.ID })
			if now := table.Shards[i]; now.Epoch <= before.Epoch || now.Owner.Name == "" || now.Owner == before.Owner {
				return true
			}
			return s.send(s.orderForShard(before.ID)).outcome != sched.Ran
		})
	})
}

// sendInBackground sends an order without waiting for its answer, but waits until
// a target has started it. The returned function waits for the answer.
func (s *site) sendInBackground(r request) (wait func() answer) {
	s.t.Helper()
	got := make(chan answer, 1)
	go func() { got <- s.send(r) }()
	s.await(startBound, "order "+r.key+" is started", func() bool { return s.startCount(r.key) == 1 })
	return func() answer { return <-got }
}

// steadyLoad sends quotes and orders until stop is called. An order without a
// complete answer is sent once more with its key.
func (s *site) steadyLoad() (stop func()) {
	quotes := s.load(40, func() { s.send(s.quote()) })
	orders := s.load(20, func() {
		o := s.order()
		if s.send(o).outcome != sched.Ran {
			s.send(o)
		}
	})
	return func() { quotes(); orders() }
}

// Guards against the crash of an entry after which accepted tasks are lost, orders
// run twice, or its shards are not served by other entries.
func TestKilledOwnerIsReplaced(t *testing.T) {
	s := newSite(t, 3)
	for range 3 {
		s.submitJob(6, 3*time.Second)
	}
	stop := s.steadyLoad()
	victim, other := s.liveEntries()[0], s.liveEntries()[1]
	lost, kept := s.owned(victim), s.owned(other)
	var unfinished []request
	for _, shard := range []sched.ShardID{lost[0].ID, kept[0].ID} {
		o := s.orderForShard(shard).through(victim)
		o.sleep = 3 * time.Second
		unfinished = append(unfinished, o)
	}
	var waits []func() answer
	for _, o := range unfinished {
		waits = append(waits, s.sendInBackground(o))
	}
	s.kill(victim)
	for _, wait := range waits {
		a := wait()
		require.Equal(t, sched.Unknown, a.outcome, "%s", a)
	}
	t.Logf("shards of the killed entry are served again after %v", s.awaitTakeover(lost))
	for _, o := range unfinished {
		o.via = nil
		s.await(o.timeout+takeoverBound+slack, "the first call of the unfinished order is reported as unknown", func() bool {
			a := s.send(o)
			require.Equal(t, sched.Unknown, a.outcome, "%s", a)
			return a.reason == sched.ReasonFirstCallUnknown
		})
		require.Equal(t, 1, s.startCount(o.key))
	}
	stop()
	s.awaitJobs(taskLease + startBound)
	s.awaitServed(taskLease + slack)
	s.check()
}

// epochs returns the epochs of the batches in a shard's journal, ordered by their
// sequence numbers.
func (s *site) epochs(shard sched.ShardID) []sched.Epoch {
	s.t.Helper()
	items, err := s.store.List(context.Background(), commit.RingPrefix(shard))
	require.NoError(s.t, err)
	var batches []commit.Batch
	for _, item := range items {
		var envelope struct {
			_           struct{} `cbor:",toarray"`
			Format, Sum uint64
			Body        []byte
		}
		var b commit.Batch
		require.NoError(s.t, cbor.Unmarshal(item.Value, &envelope))
		require.NoError(s.t, cbor.Unmarshal(envelope.Body, &b))
		batches = append(batches, b)
	}
	slices.SortFunc(batches, func(a, b commit.Batch) int { return int(a.Seq) - int(b.Seq) })
	var out []sched.Epoch
	for _, b := range batches {
		out = append(out, b.Epoch)
	}
	return out
}

// slowQuote returns a quote that holds its slot long enough for all slots to be in
// use at the same time.
func (s *site) slowQuote() request {
	q := s.quote()
	q.sleep = 150 * time.Millisecond
	return q
}

// Guards against an entry that is paused until its ownership is no longer
// confirmed, and then acts as the owner of its former shards: it could grant slots
// twice, run orders and tasks twice, or write the journal with an old epoch.
func TestPausedOwnerGrantsNothing(t *testing.T) {
	s := newSite(t, 3)
	s.submitJob(6, 12*time.Second)
	paused := s.liveEntries()[0]
	lost := s.owned(paused)
	paused.signal(syscall.SIGSTOP)
	s.remove(paused)
	t.Logf("shards of the paused entry are served again after %v", s.awaitTakeover(lost))
	s.awaitServed(taskLease + slack)

	// Load through the other entries keeps the slots busy while the paused entry
	// still counts them as free.
	var wg sync.WaitGroup
	busy, stop := context.WithCancel(context.Background())
	for range 2 * 3 * slots * workersPerProcess {
		wg.Go(func() {
			for busy.Err() == nil {
				s.send(s.slowQuote())
			}
		})
	}
	defer func() { stop(); wg.Wait() }()
	s.await(startBound, "all slots have been in use", func() bool {
		return !slices.ContainsFunc(s.workerRecords(), func(w fake.WorkerRecords) bool {
			return w.MaxBusy["Quotes"] < slots
		})
	})
	repeated := s.orderForShard(lost[0].ID)
	requireRan(t, repeated, s.send(repeated))
	// These requests wait in the sockets of the paused process, so that it gets
	// them before it can read the instance list or the ownership table.
	for range 2 * slots * workersPerProcess {
		wg.Go(func() { s.send(s.slowQuote().through(paused)) })
	}
	time.Sleep(4 * poll)
	paused.signal(syscall.SIGCONT)
	for range 30 {
		for _, r := range []request{s.slowQuote(), s.slowQuote(), s.orderForShard(lost[0].ID), repeated} {
			r = r.through(paused)
			r.timeout = time.Second
			wg.Go(func() { s.send(r) })
		}
		time.Sleep(poll)
	}
	stop()
	wg.Wait()
	require.Equal(t, 1, s.startCount(repeated.key))
	require.Contains(t, paused.logOutput(), "shard stopped")
	for _, row := range lost {
		epochs := s.epochs(row.ID)
		require.NotEmpty(t, epochs)
		require.True(t, slices.IsSorted(epochs), "shard %s: %v", row.ID, epochs)
		require.Greater(t, epochs[len(epochs)-1], row.Epoch)
	}
	s.awaitJobs(taskLease + startBound)
	s.check()
}
