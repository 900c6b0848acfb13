package jobs

import (
	"context"
	"errors"
	"sync"

	"github.com/mangoslip/mangoslip/internal/cache"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// storedState reads the state of a job from the store. A job whose stored progress
// cannot be decoded counts as running.
func (s *Service) storedState(ctx context.Context, id sched.JobID) (sched.JobState, error) {
	if s.health.Unreachable() {
		return 0, s.unreachable(nil)
	}
	progress, err := s.get(ctx, layout.Root+flow.KeyProgress+string(id))
	switch {
	case err == nil:
		state, err := flow.ProgressState(progress.Value)
		if err != nil {
			s.log.Error("stored progress is damaged", "id", id, "version", progress.Version, "error", err)
			return sched.JobRunning, nil
		}
		if state.Final() {
			return state, nil
		}
		return s.unlessCancelled(ctx, id, state)
	case !errors.Is(err, sched.ErrNotFound):
		return 0, s.unreachable(err)
	}
	_, err = s.get(ctx, layout.JobKey(id))
	switch {
	case err == nil:
		return s.unlessCancelled(ctx, id, sched.JobQueued)
	case errors.Is(err, sched.ErrNotFound):
		return 0, &sched.Refusal{Reason: sched.ReasonUnknownJob, Outcome: sched.NotRun}
	default:
		return 0, s.unreachable(err)
	}
}

// unlessCancelled returns the state of a job whose stored progress is not final:
// cancelled if a cancellation is stored, and otherwise the given state.
func (s *Service) unlessCancelled(ctx context.Context, id sched.JobID, state sched.JobState) (sched.JobState, error) {
	_, err := s.get(ctx, layout.CancelKey(id))
	switch {
	case err == nil:
		return sched.JobCancelled, nil
	case errors.Is(err, sched.ErrNotFound):
		return state, nil
	default:
		return 0, s.unreachable(err)
	}
}

// get reads a key from the store.
func (s *Service) get(ctx context.Context, key string) (sched.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	item, err := s.store.Get(ctx, key)
	s.health.Record(err)
	return item, err
}

// unreachable returns the refusal of a request that needs the store.
func (s *Service) unreachable(err error) error {
	return &sched.Refusal{Reason: sched.ReasonStoreUnavailable, Outcome: sched.NotRun, RetryAfter: s.retryAfter(), Err: err}
}

// Answer answers a question of another entry. It never asks a third entry, so
// questions do not travel in circles.
func (s *Service) Answer(ctx context.Context, q relay.Question) relay.Answer {
	if q.Leader.Term > 0 {
		s.leader.ObserveLeader(q.Leader)
	}
	a := relay.Answer{Leader: s.leader.Current()}
	switch q.Verb {
	case relay.VerbState:
		state, known, leads := s.leader.State(q.Job)
		a.State = state
		a.Stale = !leads
		switch {
		case !leads && !known:
			a.Reason, a.Outcome = sched.ReasonNotOwner, sched.NotRun
		case !known:
			a.Reason, a.Outcome = sched.ReasonUnknownJob, sched.NotRun
		}
	case relay.VerbWaiting:
		n, leads := s.leader.QueuedJobs(q.Queue)
		a.Count = n
		if !leads {
			a.Reason, a.Outcome, a.RetryAfter = sched.ReasonNotOwner, sched.NotRun, s.retryAfter()
		}
	case relay.VerbSubmit, relay.VerbCancel:
		s.recordFor(ctx, q, &a)
	case relay.VerbLeader:
		a.SinceStore, a.StoreAnswered = s.health.SinceAnswer()
		if s.health.Unreachable() {
			a.Reason, a.Outcome = sched.ReasonStoreUnavailable, sched.NotRun
		}
	case relay.VerbAdvise:
		s.adviseFor(ctx, q, &a)
	case relay.VerbLate:
		s.answerLate(q, &a)
	case relay.VerbRoom:
		s.answerRoom(q, &a)
	}
	return a
}

// adviseFor asks the adviser on behalf of another entry.
func (s *Service) adviseFor(ctx context.Context, q relay.Question, a *relay.Answer) {
	if s.adviser == nil || q.Advice == nil {
		a.Reason, a.Outcome = sched.ReasonBadRequest, sched.NotRun
		return
	}
	advice, err := s.adviser.Advise(ctx, *q.Advice)
	if err != nil {
		s.log.Info("no advice for another entry", "id", q.Advice.Step.Job, "step", q.Advice.Step.Step, "error", err)
		a.Reason, a.Outcome = sched.ReasonNoTarget, sched.NotRun
		return
	}
	a.Advice = &advice
}

// recordFor writes the record of a job or a cancellation on behalf of another
// entry. It writes to the store only.
func (s *Service) recordFor(ctx context.Context, q relay.Question, a *relay.Answer) {
	r := result{err: errNoPeer}
	switch {
	case s.health.Unreachable():
	case q.Verb == relay.VerbCancel:
		r = s.recordInStore(ctx, layout.CancelKey(q.Job), layout.Encode(s.now().UnixMilli()))
	case q.Workflow == nil:
		a.Reason, a.Outcome = sched.ReasonBadRequest, sched.NotRun
		return
	case q.Workflow.Check() != nil:
		s.log.Warn("job of another entry is invalid", "id", q.Job, "error", q.Workflow.Check())
		a.Reason, a.Outcome = sched.ReasonBadRequest, sched.NotRun
		return
	default:
		value := layout.Encode(layout.Job{Workflow: q.Workflow, Accepted: s.now().UnixMilli()})
		r = s.recordInStore(ctx, layout.JobKey(q.Workflow.ID), value)
	}
	if r.err == nil {
		return
	}
	a.Reason, a.Outcome, a.RetryAfter = sched.ReasonStoreUnavailable, sched.NotRun, s.retryAfter()
	if r.unknown {
		a.Outcome = sched.Unknown
	}
}

// stateCacheSize bounds the number of ended jobs in the cache.
const stateCacheSize = 4096

// stateCache caches the final states of jobs that callers asked for.
type stateCache struct {
	mu     sync.Mutex
	states *cache.Cache[sched.JobID, sched.JobState]
}

func newStateCache(size int) *stateCache {
	return &stateCache{states: cache.New[sched.JobID, sched.JobState](size)}
}

func (c *stateCache) get(id sched.JobID) (sched.JobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.states.Get(id)
}

// put adds the final state of a job, which never changes.
func (c *stateCache) put(id sched.JobID, s sched.JobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states.Put(id, s)
}
