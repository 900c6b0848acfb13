package jobs_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/jobs"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// lateStore carries the first write of each key that contains part out seconds after the
// call, and gives no answer to that call.
type lateStore struct {
	*memory.Client
	part  string
	delay time.Duration
	seen  map[string]bool
}

func newLateStore(store *memory.Store, part string) *lateStore {
	return &lateStore{Client: store.Client(), part: part, delay: 3 * time.Second, seen: map[string]bool{}}
}

// Commit implements sched.MetadataStore.
func (s *lateStore) Commit(ctx context.Context, txn sched.Txn) (sched.Version, error) {
	key := txn.Writes[0].Key
	if !strings.Contains(key, s.part) || s.seen[key] {
		return s.Client.Commit(ctx, txn)
	}
	s.seen[key] = true
	time.AfterFunc(s.delay, func() {
		_, _ = s.Client.Commit(context.Background(), txn) // Its caller gets no answer.
	})
	<-ctx.Done()
	return 0, errors.Join(sched.ErrLost, ctx.Err())
}

// leaveEarly submits a job and leaves before the outcome is known.
func leaveEarly(t *testing.T, s *jobs.Service, id sched.JobID) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 125*time.Millisecond)
	defer cancel()
	requireRefused(t, s.Submit(ctx, job(id)), sched.ReasonDeadlineExceeded, sched.Unknown)
}

// requireCancelledLater asserts that a job is not in the store, and is there as a
// cancelled one once late writes have taken effect.
func requireCancelledLater(t *testing.T, store *memory.Store, s *jobs.Service, id sched.JobID) {
	t.Helper()
	_, err := s.State(requestContext(t), id)
	requireRefused(t, err, sched.ReasonUnknownJob, sched.NotRun)
	time.Sleep(8 * time.Second)
	_, err = store.Client().Get(t.Context(), layout.JobKey(id))
	require.NoError(t, err, "the late write has taken effect")
	state, err := s.State(requestContext(t), id)
	require.NoError(t, err)
	require.Equal(t, sched.JobCancelled, state)
}

// Guards against a job that starts although its cancel was acknowledged, because the
// write of the job took effect after the cancel was answered with "unknown job".
func TestCancelBeforeLateSubmit(t *testing.T) {
	t.Run("at another entry", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			leaveEarly(t, jobs.New(newLateStore(store, "Jobs/"), noLeader{}, fakePeers{}), "1")
			other := jobs.New(store.Client(), noLeader{}, fakePeers{})
			requireRefused(t, other.Cancel(requestContext(t), "1"), sched.ReasonUnknownJob, sched.NotRun)
			requireCancelledLater(t, store, other, "1")
		})
	})
	t.Run("the cancel is late, too", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			s := jobs.New(newLateStore(store, "/"), noLeader{}, fakePeers{})
			leaveEarly(t, s, "1")
			requireRefused(t, s.Cancel(requestContext(t), "1"), sched.ReasonUnknownJob, sched.NotRun)
			requireCancelledLater(t, store, s, "1")
		})
	})
	t.Run("the cancel's answer is lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			leaveEarly(t, jobs.New(newLateStore(store, "Jobs/"), noLeader{}, fakePeers{}), "1")
			other := jobs.New(store.Client(), noLeader{}, fakePeers{})
			store.LoseNext(1)
			requireRefused(t, other.Cancel(requestContext(t), "1"), sched.ReasonUnknownJob, sched.NotRun)
			requireCancelledLater(t, store, other, "1")
		})
	})
	t.Run("submitted again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := jobs.New(memory.New().Client(), noLeader{}, fakePeers{})
			requireRefused(t, s.Cancel(requestContext(t), "1"), sched.ReasonUnknownJob, sched.NotRun)
			require.NoError(t, s.Submit(requestContext(t), job("1")))
			state, err := s.State(requestContext(t), "1")
			require.NoError(t, err)
			require.Equal(t, sched.JobCancelled, state)
		})
	})
}

// Guards against a cancel that is acknowledged although it may not have been recorded.
func TestCancelThatIsNotRecordedIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		late := newLateStore(store, "Cancels/")
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		err := jobs.New(late, noLeader{}, fakePeers{}).Cancel(ctx, "1")
		requireRefused(t, err, sched.ReasonDeadlineExceeded, sched.Unknown)
	})
}

// Guards against cancels of jobs that nobody submitted which use up the store's writes,
// and against a caller that is not told when to come back.
func TestCancelsOfUnknownJobsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		s := jobs.New(store.Client(), noLeader{}, fakePeers{})
		require.NoError(t, s.Submit(requestContext(t), job("known")))
		refused := 0
		for i := range 500 {
			err := s.Cancel(requestContext(t), sched.JobID(fmt.Sprint(i)))
			refusal := (*sched.Refusal)(nil)
			require.ErrorAs(t, err, &refusal)
			if refusal.Reason == sched.ReasonQuotaExceeded {
				require.Equal(t, sched.NotRun, refusal.Outcome)
				require.GreaterOrEqual(t, refusal.RetryAfter, time.Second)
				refused++
			}
		}
		items, _, err := store.Client().Range(t.Context(), layout.WorkPrefix+"Cancels/", false)
		require.NoError(t, err)
		require.Len(t, items, 500-refused)
		require.Less(t, len(items), 60)
		require.NoError(t, s.Cancel(requestContext(t), "known"), "a known job can be cancelled all the same")
		time.Sleep(10 * time.Second)
		requireRefused(t, s.Cancel(requestContext(t), "late"), sched.ReasonUnknownJob, sched.NotRun)
	})
}
