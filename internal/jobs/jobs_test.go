package jobs_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/jobs"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// noLeader is an entry that neither leads nor knows who does.
type noLeader struct{}

func (noLeader) Current() layout.Leader                         { return layout.Leader{} }
func (noLeader) State(sched.JobID) (sched.JobState, bool, bool) { return 0, false, false }
func (noLeader) QueuedJobs(sched.QueueName) (int, bool)         { return 0, false }
func (noLeader) ObserveLeader(layout.Leader)                    {}

// formerLeader is an entry that was replaced as leader and does not know it yet.
type formerLeader struct{ noLeader }

func (formerLeader) State(sched.JobID) (sched.JobState, bool, bool) {
	return sched.JobRunning, true, false
}

// Guards against an entry that was replaced as leader and still reports a job as
// running after the job was cancelled. It may do so only while the store cannot
// be read.
func TestReplacedLeaderDoesNotShowOldStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		client := store.Client()
		s := jobs.New(client, formerLeader{}, fakePeers{})
		require.NoError(t, s.Submit(requestContext(t), job("1")))
		store.Put(layout.CancelKey("1"), layout.Encode(1))
		state, err := s.State(requestContext(t), "1")
		require.NoError(t, err)
		require.Equal(t, sched.JobCancelled, state)
		require.NoError(t, s.Submit(requestContext(t), job("2")))
		client.SetCut(true)
		state, err = s.State(requestContext(t), "2")
		require.NoError(t, err, "the store cannot be read, so the state that the entry knows counts")
		require.Equal(t, sched.JobRunning, state)
	})
}

// fakePeers is a list of other entries. Each answers questions with its service.
type fakePeers []*jobs.Service

func (p fakePeers) List() []layout.Entry {
	out := make([]layout.Entry, len(p))
	for i := range p {
		out[i].Name = sched.EntryName(string(rune('a' + i)))
	}
	return out
}

func (p fakePeers) Ask(ctx context.Context, e layout.Entry, q relay.Question) (relay.Answer, error) {
	return p[int(e.Name[0]-'a')].Answer(ctx, q), nil
}

// job returns a workflow with one step.
func job(id sched.JobID) *sched.Workflow {
	return &sched.Workflow{ID: id, Queue: "Q", Steps: []sched.StepSpec{{Count: 1}}}
}

// requireRefused asserts that a request was refused for a reason and with an
// outcome.
func requireRefused(t *testing.T, err error, reason sched.Reason, outcome sched.Outcome) {
	t.Helper()
	refusal := (*sched.Refusal)(nil)
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, reason, refusal.Reason)
	require.Equal(t, outcome, refusal.Outcome)
}

// requestContext returns a context that ends when a caller would give up.
func requestContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a job that is stored twice if its submission is repeated, and
// against a repeated submission that is refused although the job was accepted.
func TestSubmitOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		s := jobs.New(store.Client(), noLeader{}, fakePeers{})
		require.NoError(t, s.Submit(requestContext(t), job("1")))
		first, err := store.Client().Get(t.Context(), layout.JobKey("1"))
		require.NoError(t, err)
		require.NoError(t, s.Submit(requestContext(t), job("1")))
		second, err := store.Client().Get(t.Context(), layout.JobKey("1"))
		require.NoError(t, err)
		require.Equal(t, first.Version, second.Version)
	})
}

// Guards against a submission that is refused as not accepted although its write
// took effect and only the answer of the store was lost.
func TestSubmitLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		s := jobs.New(store.Client(), noLeader{}, fakePeers{})
		store.LoseNext(1)
		require.NoError(t, s.Submit(requestContext(t), job("1")), "the repeated write finds the job")
	})
}

// Guards against a submission that waits although the store is down and there is
// no other entry, so it certainly cannot be accepted.
func TestSubmitRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetDown(true)
		s := jobs.New(store.Client(), noLeader{}, fakePeers{})
		began := time.Now()
		requireRefused(t, s.Submit(requestContext(t), job("1")), sched.ReasonStoreUnavailable, sched.NotRun)
		require.Less(t, time.Since(began), 100*time.Millisecond)
	})
}

// Guards against a submission that waits until its caller's timeout although the
// store breaks every connection, and against a refusal that claims the job was
// not accepted although the outcome of the write is unknown.
func TestUnknownSubmitIsAnsweredSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFailAll(true)
		s := jobs.New(store.Client(), noLeader{}, fakePeers{})
		began := time.Now()
		requireRefused(t, s.Submit(requestContext(t), job("1")), sched.ReasonStoreUnavailable, sched.Unknown)
		require.Less(t, time.Since(began), 500*time.Millisecond)
	})
}

// Guards against an entry that cannot reach the store and refuses a job that
// another entry could record.
func TestSubmitThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		disconnected := store.Client()
		disconnected.SetCut(true)
		other := jobs.New(store.Client(), noLeader{}, fakePeers{})
		s := jobs.New(disconnected, noLeader{}, fakePeers{other})
		require.NoError(t, s.Submit(requestContext(t), job("1")))
		_, err := store.Client().Get(t.Context(), layout.JobKey("1"))
		require.NoError(t, err)
	})
}

// Guards against two entries that forward a request to each other.
func TestNoSecondHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetDown(true)
		a := jobs.New(store.Client(), noLeader{}, fakePeers{})
		b := jobs.New(store.Client(), noLeader{}, fakePeers{a})
		answer := b.Answer(requestContext(t), relay.Question{Verb: relay.VerbSubmit, Job: "1", Workflow: job("1")})
		require.Equal(t, sched.ReasonStoreUnavailable, answer.Reason)
		require.Equal(t, sched.NotRun, answer.Outcome)
	})
}

// Guards against an accepted job that is reported as unknown, and against a job
// that is reported as unknown while the store cannot be read.
func TestState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		client := store.Client()
		s := jobs.New(client, noLeader{}, fakePeers{})
		_, err := s.State(requestContext(t), "1")
		requireRefused(t, err, sched.ReasonUnknownJob, sched.NotRun)
		require.NoError(t, s.Submit(requestContext(t), job("1")))
		state, err := s.State(requestContext(t), "1")
		require.NoError(t, err)
		require.Equal(t, sched.JobQueued, state)
		client.SetCut(true)
		_, err = s.State(requestContext(t), "2")
		requireRefused(t, err, sched.ReasonStoreUnavailable, sched.NotRun)
		client.SetCut(false)
		require.NoError(t, s.Cancel(requestContext(t), "1"))
		state, err = s.State(requestContext(t), "1")
		require.NoError(t, err)
		require.Equal(t, sched.JobCancelled, state)
	})
}

// Guards against a cancellation of a job that nobody submitted.
func TestCancelUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := jobs.New(memory.New().Client(), noLeader{}, fakePeers{})
		requireRefused(t, s.Cancel(requestContext(t), "1"), sched.ReasonUnknownJob, sched.NotRun)
	})
}

// Guards against a store that counts as unreachable because it answered with a
// missing key or a conflict, or because a call was cancelled.
func TestHealth(t *testing.T) {
	var h jobs.Health
	for _, err := range []error{sched.ErrNotFound, sched.ErrConflict, context.Canceled} {
		h.Record(err)
		h.Record(err)
		require.False(t, h.Unreachable(), "%v", err)
	}
	h.Record(errors.New("reset"))
	require.False(t, h.Unreachable())
	h.Record(errors.New("reset"))
	require.True(t, h.Unreachable())
	h.Record(nil)
	require.False(t, h.Unreachable())
}

// Guards against a leader without the store that takes the store to be down because
// an entry does not say when the store answered it.
func TestEntryTellsWhenTheStoreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := jobs.New(memory.New().Client(), noLeader{}, fakePeers{})
		ask := func() relay.Answer { return s.Answer(t.Context(), relay.Question{Verb: relay.VerbLeader}) }
		require.False(t, ask().StoreAnswered)
		s.Health().Record(nil)
		time.Sleep(2 * time.Second)
		s.Health().Record(sched.ErrUnavailable)
		s.Health().Record(sched.ErrUnavailable)
		require.True(t, ask().StoreAnswered)
		require.InDelta(t, 2*time.Second, ask().SinceStore, float64(100*time.Millisecond))
	})
}

// Guards against retry-after times that are so short that callers use up their
// retries before an outage of the store is over.
func TestCallersOutlastAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			outage  = 6500 * time.Millisecond
			retries = 4
		)
		store := memory.New()
		client := store.Client()
		s := jobs.New(client, noLeader{}, fakePeers{})
		store.SetDown(true)
		time.AfterFunc(outage, func() { store.SetDown(false) })
		began := time.Now()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { // An entry reads the configuration periodically.
			for ctx.Err() == nil {
				_, err := client.Get(ctx, "config")
				s.Health().Record(err)
				time.Sleep(500 * time.Millisecond)
			}
		}()
		served := make(chan bool)
		call := func(id sched.JobID) {
			for range 1 + retries {
				err := s.Submit(requestContext(t), job(id))
				refusal := (*sched.Refusal)(nil)
				if !errors.As(err, &refusal) {
					served <- err == nil
					return
				}
				require.GreaterOrEqual(t, refusal.RetryAfter, time.Second)
				require.LessOrEqual(t, refusal.RetryAfter, max(time.Second, time.Since(began)), "not longer than the outage so far")
				time.Sleep((refusal.RetryAfter + time.Second - 1).Truncate(time.Second))
			}
			served <- false
		}
		const callers = 12
		for i := range callers {
			time.Sleep(outage / callers)
			go call(sched.JobID(rune('a' + i)))
		}
		lost := 0
		for range callers {
			if !<-served {
				lost++
			}
		}
		stop()
		time.Sleep(time.Second)
		require.Zero(t, lost, "callers that were never served")
	})
}

// Guards against a transfer of leadership to an entry that cannot reach the store:
// when it is asked about the leader, its answer must name the store as
// unavailable.
func TestLostEntrySaysSo(t *testing.T) {
	s := jobs.New(memory.New().Client(), noLeader{}, fakePeers{})
	ask := func() sched.Reason { return s.Answer(t.Context(), relay.Question{Verb: relay.VerbLeader}).Reason }
	require.Empty(t, ask())
	s.Health().Record(sched.ErrUnavailable)
	s.Health().Record(sched.ErrUnavailable)
	require.Equal(t, sched.ReasonStoreUnavailable, ask())
	s.Health().Record(nil)
	require.Empty(t, ask())
}
