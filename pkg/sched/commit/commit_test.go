package commit_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
)

func TestLostAnswer(t *testing.T) {
	// Guards against a record that is stored twice because its write is
	// retried after the answer to a successful write was lost.
	t.Run("took effect", func(t *testing.T) {
		s := newStore()
		r := ready(t, s, 1)
		s.faults = []fault{lost}
		r.commit(1)
		r.commit(1)
		require.Len(t, r.done, 2)
		requireDurable(t, s, r.done...)
	})
	// Guards against a different batch being written while an earlier write of
	// unknown result may still reach the store.
	t.Run("arrives after the repeat", func(t *testing.T) {
		s := newStore()
		r := ready(t, s, 1)
		s.faults = []fault{held, held}
		r.append("a")
		r.append("b")
		r.run(time.Second)
		for _, w := range s.held {
			_, _ = s.put(w)
		}
		require.Equal(t, []string{"a", "b"}, r.done)
		requireDurable(t, s, "a", "b")
	})
	// Guards against reporting a record as not durable because the retry of its
	// write certainly failed: the first attempt may still reach the store.
	t.Run("repeat fails", func(t *testing.T) {
		s := newStore()
		r := ready(t, s, 1)
		s.faults = []fault{held}
		for range 100 {
			s.faults = append(s.faults, unavailable)
		}
		r.append("a")
		r.run(3 * time.Second)
		require.Equal(t, []string{"a"}, r.unknown)
	})
	// Guards against reporting a record as not durable when its maximum wait
	// ends while its write may still reach the store.
	t.Run("patience ends", func(t *testing.T) {
		s := newStore()
		r := ready(t, s, 1)
		s.faults = make([]fault, 100)
		for i := range s.faults {
			s.faults[i] = held
		}
		r.append("a")
		r.append("b")
		r.run(3 * time.Second)
		require.Equal(t, []string{"a"}, r.unknown)
		require.Equal(t, []string{"b"}, r.failed)
	})
}

// Guards against reporting records as possibly durable although they were
// certainly never written. Their idempotency keys would be blocked for a day.
func TestOutageFailsAsNotDurable(t *testing.T) {
	s := newStore()
	r := ready(t, s, 1)
	s.faults = make([]fault, 20)
	for i := range s.faults {
		s.faults[i] = unavailable
	}
	r.append("a")
	r.run(3 * time.Second)
	require.Equal(t, []string{"a"}, r.failed)
	r.run(10 * time.Second)
	r.commit(1)
	requireDurable(t, s, r.done...)
}

func TestFencing(t *testing.T) {
	// Guards against an old owner that still commits records after a takeover.
	t.Run("old owner", func(t *testing.T) {
		s := newStore()
		old := ready(t, s, 1)
		old.commit(3)
		ready(t, s, 2)
		old.append("late")
		requireCmd[commit.FencedCmd](t, old.cmds)
		require.Equal(t, []string{"late"}, old.failed)
		requireDurable(t, s, old.done...)
	})
	// Guards against losing a write of the old owner that reaches the store
	// after the new owner has read the journal and before its first write.
	t.Run("late write before the fence", func(t *testing.T) {
		s := newStore()
		old := ready(t, s, 1)
		old.commit(1)
		s.faults = []fault{held}
		old.append("late")
		next := start(t, s, 2)
		_, err := s.put(s.held[0])
		require.NoError(t, err)
		next.send(sched.TickMsg{})
		requireCmd[commit.RecoverCmd](t, next.cmds)
		require.False(t, next.m.Ready())
		again := ready(t, s, 2)
		require.Equal(t, append(old.done, "late"), again.state)
	})
	// Guards against a write of the old owner that takes effect after the new
	// owner's first write.
	t.Run("late write after the fence", func(t *testing.T) {
		s := newStore()
		old := ready(t, s, 1)
		s.faults = []fault{held}
		old.append("late")
		ready(t, s, 2)
		_, err := s.put(s.held[0])
		require.ErrorIs(t, err, sched.ErrConflict)
		requireDurable(t, s)
	})
	// Guards against a new owner that takes its own first write, whose answer
	// was lost, for the write of another owner.
	t.Run("lost answer to the fence", func(t *testing.T) {
		s := newStore()
		s.faults = []fault{lost}
		ready(t, s, 1).commit(1)
	})
}

// Guards against wrong results of the appends that are open when the machine
// stops: only those in the write in flight may be durable.
func TestStop(t *testing.T) {
	s := newStore()
	r := ready(t, s, 1)
	r.disconnected = true
	r.append("flying")
	r.append("queued")
	r.send(commit.StopMsg{})
	require.Equal(t, []string{"flying"}, r.unknown)
	require.Equal(t, []string{"queued"}, r.failed)
	r.append("after")
	require.Equal(t, []string{"queued", "after"}, r.failed)
}

// Guards against a queue that grows without limit while the store does not
// answer.
func TestQueueBounds(t *testing.T) {
	r := ready(t, newStore(), 1, commit.WithQueue(1000, 3))
	r.disconnected = true
	for range 5 {
		r.append("x")
	}
	require.Len(t, r.failed, 1)
	r.append(strings.Repeat("x", 1000))
	require.Len(t, r.failed, 2)
}

func TestRing(t *testing.T) {
	// Guards against a batch that is overwritten before a snapshot covers it.
	t.Run("wraps with snapshots", func(t *testing.T) {
		s := newStore()
		r := ready(t, s, 1)
		r.commit(3 * commit.RingSize)
		require.Len(t, r.done, 3*commit.RingSize)
		requireDurable(t, s, r.done...)
	})
	// Guards against overwriting batches that are not covered yet while a
	// snapshot of many parts is written.
	t.Run("waits for a long snapshot", func(t *testing.T) {
		s := newStore()
		r := ready(t, s, 1, commit.WithBatchBytes(40))
		r.state = []string{"kept"}
		for range 3 * commit.RingSize {
			r.append("0123456789")
			r.append("0123456789")
			r.run(100 * time.Millisecond)
			rec, err := s.recover()
			require.NoError(t, err)
			require.GreaterOrEqual(t, len(rec.Records), len(r.done))
		}
	})
}

func TestSnapshot(t *testing.T) {
	// Guards against recovery from a snapshot whose manifest was never written.
	t.Run("torn", func(t *testing.T) {
		s := newStore()
		r := ready(t, s, 1)
		r.commit(commit.RingSize/2 - 2)
		r.append("last")
		r.disconnected = true
		r.run(time.Second)
		_, err := s.put(commit.WriteCmd{Key: commit.SnapshotPrefix(shard) + "1/000000", Value: []byte("torn")})
		require.NoError(t, err)
		requireDurable(t, s, r.done...)
	})
	// Guards against a late manifest write of the previous owner that names
	// parts which the new owner overwrites.
	for name, before := range map[string]bool{"late manifest before the next": true, "late manifest amid parts": false} {
		t.Run(name, func(t *testing.T) { lateManifest(t, before) })
	}
}

// lateManifest applies a manifest write of the previous owner either before the
// first write of the next owner or between the parts of its first snapshot.
func lateManifest(t *testing.T, before bool) {
	s := newStore()
	old := ready(t, s, 1)
	old.commit(commit.RingSize/2 - 2)
	// The batch, the rewritten manifest and one part succeed. Later writes do not
	// reach the store.
	s.faults = []fault{none, none, none}
	for range 50 {
		s.faults = append(s.faults, held)
	}
	old.append("last")
	old.run(time.Second)
	old.disconnected, s.faults = true, nil
	late := s.held[0]
	require.Contains(t, late.Key, "Manifest")
	next := start(t, s, 2)
	if before {
		_, err := s.put(late)
		require.NoError(t, err)
	} else {
		for !strings.HasSuffix(s.log[len(s.log)-1], "1/000000") || !next.m.Ready() {
			next.run(10 * time.Millisecond)
		}
		_, err := s.put(late)
		require.ErrorIs(t, err, sched.ErrConflict)
		requireDurable(t, s, old.done...)
	}
	for range 50 {
		next.run(10 * time.Millisecond)
		requireDurable(t, s, old.done...)
	}
	next.commit(commit.RingSize)
	requireDurable(t, s, append(append([]string{}, old.done...), next.done...)...)
}

func TestRecover(t *testing.T) {
	damage := func(s *store, key string) {
		it := s.items[key]
		it.Value = append([]byte{}, it.Value...)
		it.Value[len(it.Value)-1] ^= 1
		s.items[key] = it
	}
	// Guards against skipping a damaged batch that no operator has released.
	t.Run("damaged batch", func(t *testing.T) {
		s := newStore()
		r := ready(t, s, 1)
		r.commit(4)
		damage(s, "Journal/a/0/03")
		_, err := s.recover()
		requireDamaged(t, err, 3)
		require.ErrorContains(t, err, "Journal/a/0/03")
		rec, err := s.recover(3)
		require.NoError(t, err)
		require.Len(t, rec.Records, 3)
	})
	// Guards against ignoring a damaged batch because no later one exists.
	t.Run("damaged newest batch", func(t *testing.T) {
		s := newStore()
		ready(t, s, 1).commit(4)
		damage(s, "Journal/a/0/05")
		_, err := s.recover()
		requireDamaged(t, err, 5)
		rec, err := s.recover(5)
		require.NoError(t, err)
		require.EqualValues(t, 6, rec.NextSeq)
	})
	// Guards against using a batch that is stored under the key of another.
	t.Run("misplaced batch", func(t *testing.T) {
		s := newStore()
		ready(t, s, 1).commit(4)
		s.items["Journal/a/0/03"] = sched.Item{Key: "Journal/a/0/03", Value: s.items["Journal/a/0/02"].Value}
		_, err := s.recover()
		require.ErrorIs(t, err, commit.ErrMisplaced)
	})
	// Guards against combining parts of different snapshots.
	t.Run("part of an earlier snapshot", func(t *testing.T) {
		s := newStore()
		ready(t, s, 1).commit(commit.RingSize * 9 / 8)
		s.items["Snapshot/a/0/0/000000"] = sched.Item{Key: "Snapshot/a/0/0/000000", Value: s.items["Snapshot/a/0/1/000000"].Value}
		_, err := s.recover()
		require.ErrorIs(t, err, commit.ErrChecksum)
	})
	// Guards against skipping a missing batch that no operator has released.
	t.Run("missing batch", func(t *testing.T) {
		s := newStore()
		ready(t, s, 1).commit(4)
		delete(s.items, "Journal/a/0/03")
		_, err := s.recover()
		requireDamaged(t, err, 3)
		require.ErrorIs(t, err, commit.ErrMissing)
	})
	// Guards against restoring a snapshot with a damaged part.
	t.Run("damaged snapshot", func(t *testing.T) {
		s := newStore()
		ready(t, s, 1).commit(commit.RingSize * 5 / 8)
		damage(s, "Snapshot/a/0/1/000000")
		_, err := s.recover()
		require.ErrorIs(t, err, commit.ErrChecksum)
	})
}
