package dedup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// runner runs a machine and records its replies, the appends without a result and
// the durable records.
type runner struct {
	*dedup.Machine
	now     time.Time
	replies map[uint64]dedup.ReplyCmd
	appends []sched.AppendCmd
	journal []sched.Record
}

func newRunner(opts ...dedup.Option) *runner {
	r := &runner{Machine: dedup.New(opts...), now: start, replies: map[uint64]dedup.ReplyCmd{}}
	r.send(dedup.AcquiredMsg{})
	return r
}

func (r *runner) send(msg sched.Msg) {
	for _, c := range r.Update(r.now, msg) {
		switch c := c.(type) {
		case dedup.ReplyCmd:
			r.replies[c.Waiter] = c
		case sched.AppendCmd:
			r.appends = append(r.appends, c)
		}
	}
}

// begin sends a call whose deadline is one second away.
func (r *runner) begin(waiter uint64, key, id string) {
	r.send(dedup.BeginMsg{Waiter: waiter, Key: key, RequestID: id, Fingerprint: 1, From: "e1", Deadline: r.now.Add(time.Second)})
}

func (r *runner) finish(key, id string, o sched.Outcome) {
	m := dedup.FinishMsg{Key: key, RequestID: id, Outcome: o}
	if o == sched.Ran {
		m.Answer = &dedup.Answer{Status: 200, Body: []byte(id)}
	}
	r.send(m)
}

// commit makes all open appends durable, including those that follow from them.
func (r *runner) commit() {
	for len(r.appends) > 0 {
		a := r.appends[0]
		r.appends = r.appends[1:]
		r.journal = append(r.journal, a.Record)
		r.send(sched.CommittedMsg{Ticket: a.Ticket})
	}
}

// fail lets the oldest open append fail. If lost is set, its record may be
// durable.
func (r *runner) fail(lost bool) {
	a := r.appends[0]
	r.appends = r.appends[1:]
	r.send(sched.CommitFailedMsg{Ticket: a.Ticket, Reason: sched.ReasonStoreUnavailable, Lost: lost})
}

func (r *runner) advance(d time.Duration) {
	r.now = r.now.Add(d)
	r.send(sched.TickMsg{})
}

// running returns a runner in which call r1 with key k got Go.
func running(t *testing.T, opts ...dedup.Option) *runner {
	r := newRunner(opts...)
	r.begin(1, "k", "r1")
	r.commit()
	requireVerdict(t, r, 1, dedup.Go, "")
	return r
}

func requireVerdict(t *testing.T, r *runner, waiter uint64, v dedup.Verdict, reason sched.Reason) {
	t.Helper()
	got, ok := r.replies[waiter]
	require.True(t, ok, "no reply to %d", waiter)
	require.Equal(t, v, got.Verdict)
	require.Equal(t, reason, got.Reason)
}

func requireWaits(t *testing.T, r *runner, waiter uint64) {
	t.Helper()
	require.NotContains(t, r.replies, waiter)
}

// Guards against a call that gets Go before its intent is durable, after it was
// given up or although an earlier call with its key may run.
func TestBegin(t *testing.T) {
	t.Run("go after commit", func(t *testing.T) {
		r := newRunner()
		r.begin(1, "k", "r1")
		requireWaits(t, r, 1)
		r.commit()
		requireVerdict(t, r, 1, dedup.Go, "")
	})
	t.Run("repeat waits and gets the answer", func(t *testing.T) {
		r := running(t)
		r.begin(2, "k", "r2")
		requireWaits(t, r, 2)
		r.finish("k", "r1", sched.Ran)
		requireVerdict(t, r, 2, dedup.Repeat, "")
		require.Equal(t, "r1", string(r.replies[2].Answer.Body))
	})
	t.Run("repeat waits until its deadline", func(t *testing.T) {
		r := running(t)
		r.begin(2, "k", "r2")
		r.advance(time.Second)
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonFirstCallUnknown)
	})
	t.Run("other request", func(t *testing.T) {
		r := running(t)
		r.send(dedup.BeginMsg{Waiter: 2, Key: "k", RequestID: "r2", Fingerprint: 2, Deadline: r.now.Add(time.Second)})
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonKeyReused)
	})
	t.Run("commit too late", func(t *testing.T) {
		r := newRunner()
		r.begin(1, "k", "r1")
		r.now = r.now.Add(time.Second)
		r.commit()
		requireVerdict(t, r, 1, dedup.Refused, sched.ReasonDeadlineExceeded)
	})
	t.Run("given up before the commit", func(t *testing.T) {
		r := newRunner()
		r.begin(1, "k", "r1")
		r.finish("k", "r1", sched.NotRun)
		r.commit()
		requireVerdict(t, r, 1, dedup.Refused, sched.ReasonDeadlineExceeded)
	})
	t.Run("not owner", func(t *testing.T) {
		r := newRunner()
		r.send(dedup.SuspendMsg{})
		r.begin(1, "k", "r1")
		requireVerdict(t, r, 1, dedup.Refused, sched.ReasonNotOwner)
	})
}

// Guards against treating an append of unknown result as durable or as failed: a
// key whose intent may be durable must not get Go before it is durably free.
func TestCommitFailure(t *testing.T) {
	t.Run("not durable", func(t *testing.T) {
		r := newRunner()
		r.begin(1, "k", "r1")
		r.fail(false)
		requireVerdict(t, r, 1, dedup.Refused, sched.ReasonStoreUnavailable)
		r.begin(2, "k", "r2")
		r.commit()
		requireVerdict(t, r, 2, dedup.Go, "")
	})
	t.Run("lost", func(t *testing.T) {
		r := newRunner()
		r.begin(1, "k", "r1")
		r.fail(true)
		requireVerdict(t, r, 1, dedup.Refused, sched.ReasonStoreUnavailable)
		r.begin(2, "k", "r2")
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonFirstCallUnknown)
		r.advance(time.Second)
		r.commit()
		r.begin(3, "k", "r3")
		r.commit()
		requireVerdict(t, r, 3, dedup.Go, "")
	})
	t.Run("outcome is appended again", func(t *testing.T) {
		r := running(t)
		r.finish("k", "r1", sched.Ran)
		r.fail(false)
		r.advance(time.Second)
		require.Len(t, r.appends, 1)
	})
}

// Guards against a key that is freed by a report about another request, or before
// the report is durable, and against a late outcome that is ignored.
func TestFinish(t *testing.T) {
	t.Run("not run frees the key durably", func(t *testing.T) {
		r := running(t)
		r.finish("k", "r1", sched.NotRun)
		r.begin(2, "k", "r2")
		requireWaits(t, r, 2)
		r.commit()
		requireVerdict(t, r, 2, dedup.Go, "")
	})
	t.Run("report of an earlier call", func(t *testing.T) {
		r := running(t)
		r.finish("k", "r0", sched.NotRun)
		require.Empty(t, r.appends)
	})
	t.Run("unknown", func(t *testing.T) {
		r := running(t)
		r.finish("k", "r1", sched.Unknown)
		r.begin(2, "k", "r2")
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonFirstCallUnknown)
	})
	t.Run("late report after unknown", func(t *testing.T) {
		r := running(t)
		r.send(dedup.EntryGoneMsg{EntryName: "e1"})
		r.begin(2, "k", "r2")
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonFirstCallUnknown)
		r.finish("k", "r1", sched.Ran)
		r.begin(3, "k", "r3")
		requireVerdict(t, r, 3, dedup.Repeat, "")
	})
	t.Run("no report in time", func(t *testing.T) {
		r := running(t)
		r.advance(time.Second + dedup.DefaultMargin)
		r.begin(2, "k", "r2")
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonFirstCallUnknown)
	})
}

// Guards against unlimited memory and waiters, and against keys that are
// forgotten before their retention ends.
func TestRetention(t *testing.T) {
	t.Run("two stages", func(t *testing.T) {
		r := running(t)
		r.finish("k", "r1", sched.Ran)
		r.advance(dedup.DefaultAnswerTTL)
		r.begin(2, "k", "r2")
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonAnswerExpired)
		r.advance(dedup.DefaultKeyTTL - dedup.DefaultAnswerTTL - 1)
		require.Equal(t, 1, r.Counts().Keys)
		r.advance(1)
		require.Zero(t, r.Counts())
	})
	t.Run("answers are dropped for newer ones", func(t *testing.T) {
		r := running(t, dedup.WithBytes(100, 10000))
		r.finish("k", "r1", sched.Ran)
		r.begin(2, "l", "r2")
		r.commit()
		r.finish("l", "r2", sched.Ran)
		r.begin(3, "k", "r3")
		requireVerdict(t, r, 3, dedup.Refused, sched.ReasonAnswerExpired)
		r.begin(4, "l", "r4")
		requireVerdict(t, r, 4, dedup.Repeat, "")
	})
	t.Run("new keys are refused", func(t *testing.T) {
		r := running(t, dedup.WithBytes(100, 500))
		r.begin(2, "l", "r2")
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonQueueFull)
	})
	t.Run("waiters", func(t *testing.T) {
		r := running(t, dedup.WithWaiters(0))
		r.begin(2, "k", "r2")
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonFirstCallUnknown)
	})
}

// Guards against a new owner that forgets a key, or that treats the outcome of a
// call as unknown while the entry that runs it may still report it.
func TestRecovery(t *testing.T) {
	restore := func(t *testing.T, records []sched.Record) *runner {
		r := &runner{Machine: dedup.New(), now: start, replies: map[uint64]dedup.ReplyCmd{}}
		for _, rec := range records {
			require.NoError(t, r.Restore(rec))
		}
		r.send(dedup.AcquiredMsg{})
		return r
	}
	t.Run("intent", func(t *testing.T) {
		r := restore(t, running(t).journal)
		r.begin(2, "k", "r2")
		requireWaits(t, r, 2)
		r.finish("k", "r1", sched.Ran)
		requireVerdict(t, r, 2, dedup.Repeat, "")
	})
	t.Run("outcome that was not durable", func(t *testing.T) {
		old := running(t)
		old.finish("k", "r1", sched.Ran)
		r := restore(t, old.Snapshot())
		r.advance(time.Second + dedup.DefaultMargin)
		r.begin(2, "k", "r2")
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonFirstCallUnknown)
	})
	t.Run("outcome", func(t *testing.T) {
		old := running(t)
		old.finish("k", "r1", sched.Ran)
		old.commit()
		for _, records := range [][]sched.Record{old.journal, old.Snapshot()} {
			r := restore(t, records)
			r.begin(2, "k", "r2")
			requireVerdict(t, r, 2, dedup.Repeat, "")
		}
	})
	t.Run("freed record of an earlier call", func(t *testing.T) {
		old := running(t)
		old.finish("k", "r1", sched.NotRun)
		free := old.appends[0].Record
		old.commit()
		old.begin(2, "k", "r2")
		old.commit()
		r := restore(t, append(old.journal, free))
		require.Equal(t, 1, r.Counts().Keys)
	})
	t.Run("damaged", func(t *testing.T) {
		require.Error(t, dedup.New().Restore(sched.Record{Data: []byte{1}}))
	})
	t.Run("loss of ownership answers all", func(t *testing.T) {
		r := running(t)
		r.begin(2, "k", "r2")
		r.begin(3, "l", "r3")
		r.send(dedup.LostMsg{})
		requireVerdict(t, r, 2, dedup.Refused, sched.ReasonKeyOwnerUnavailable)
		requireVerdict(t, r, 3, dedup.Refused, sched.ReasonNotOwner)
	})
	t.Run("call that got no Go asks the next owner", func(t *testing.T) {
		old := newRunner()
		old.begin(1, "k", "r1")
		old.commit()
		r := restore(t, old.journal)
		r.begin(2, "k", "r2")
		requireWaits(t, r, 2)
		r.begin(3, "k", "r1")
		requireVerdict(t, r, 3, dedup.Go, "")
	})
}
