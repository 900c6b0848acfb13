package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/quota"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

const (
	// fullRetryAfter is the retry-after time of a job for which there is no room. Room
	// becomes free some seconds after jobs have ended.
	fullRetryAfter = 5 * time.Second
	// storedChecksPerSecond and storedChecksBurst limit how often one entry looks a
	// refused job up in the store, so that a crowd of refused callers leaves most of the
	// store's reads to others.
	storedChecksPerSecond = 50
	storedChecksBurst     = 50
)

// KeptSource tells how much memory the accepted jobs take.
type KeptSource interface {
	// Kept returns the memory, and whether this entry leads and knows it.
	Kept() (sched.KeptJobs, bool)
}

// room is what bounds the memory of accepted jobs.
type room struct {
	kept    KeptSource
	ledger  *quota.Ledger
	account *quota.Account
}

// WithQuota bounds the memory that accepted jobs take in the leader. The bound applies
// while this entry leads. Without it there is none.
func WithQuota(kept KeptSource, bound sched.Bytes, opts ...quota.Option) Option {
	return func(s *Service) {
		s.room = &room{kept: kept, ledger: quota.NewLedger(bound), account: quota.NewAccount(s, bound, opts...)}
	}
}

// admit takes room for a job, and returns a refusal if there is none. An earlier
// submission of the job may have been accepted, so a refusal is returned only if the job
// is not in the store.
func (s *Service) admit(ctx context.Context, w *sched.Workflow) (stored bool, err error) {
	if s.room == nil {
		return false, nil
	}
	refusal := &sched.Refusal{Outcome: sched.NotRun}
	switch s.room.account.Reserve(ctx, flow.Cost(w)) {
	case quota.Granted:
		return false, nil
	case quota.TooLarge:
		refusal.Reason = sched.ReasonBodyTooLarge
	case quota.Full:
		refusal.Reason, refusal.RetryAfter = sched.ReasonQuotaExceeded, fullRetryAfter
	default:
		refusal.Reason, refusal.RetryAfter = sched.ReasonNoOwner, s.retryAfter()
	}
	return s.unlessStored(ctx, w.ID, refusal)
}

// unlessStored returns whether a job is in the store, and the refusal if it is not. If
// that cannot be found out, the outcome is unknown.
func (s *Service) unlessStored(ctx context.Context, id sched.JobID, refusal *sched.Refusal) (bool, error) {
	err := errTooManyChecks
	if !s.health.Unreachable() && s.storedChecks.Allow() {
		_, err = s.get(ctx, layout.JobKey(id))
	}
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, sched.ErrNotFound):
		return false, refusal
	default:
		return false, &sched.Refusal{Reason: sched.ReasonStoreUnavailable, Outcome: sched.Unknown, RetryAfter: fullRetryAfter, Err: err}
	}
}

// errTooManyChecks means that a refused job was not looked up in the store.
var errTooManyChecks = errors.New("refused job was not looked up in the store")

// Entries implements [quota.Asker].
func (s *Service) Entries() int { return len(s.peers.List()) + 1 }

// AskRoom implements [quota.Asker].
func (s *Service) AskRoom(ctx context.Context, cost sched.Bytes) (sched.Bytes, quota.Verdict) {
	if granted, v := s.grant(cost, 0); v != quota.Unknown {
		return granted, v
	}
	e, ok := s.believedLeader()
	if !ok {
		return 0, quota.Unknown
	}
	a, err := s.ask(ctx, e, relay.Question{Verb: relay.VerbRoom, Cost: cost}, stateTimeout)
	if err != nil {
		s.log.Info("leader does not grant room", "leader", e.Name, "error", err)
		return 0, quota.Unknown
	}
	switch a.Reason {
	case "":
		return max(a.Room, cost), quota.Granted // An older build grants nothing and has no bound.
	case sched.ReasonQuotaExceeded:
		return 0, quota.Full
	case sched.ReasonBodyTooLarge:
		return 0, quota.TooLarge
	default:
		return 0, quota.Unknown
	}
}

// grant decides on a request for room, as [quota.Ledger.Grant] does. The verdict is unknown
// if this entry does not lead.
func (s *Service) grant(cost sched.Bytes, entries int) (sched.Bytes, quota.Verdict) {
	if s.room == nil {
		return 0, quota.Unknown
	}
	kept, known := s.room.kept.Kept()
	if !known {
		return 0, quota.Unknown
	}
	return s.room.ledger.Grant(kept, cost, entries)
}

// answerRoom answers another entry's request for room.
func (s *Service) answerRoom(q relay.Question, a *relay.Answer) {
	granted, v := s.grant(q.Cost, s.Entries())
	a.Outcome = sched.NotRun
	switch v {
	case quota.Granted:
		a.Room, a.Outcome = granted, sched.Unknown
	case quota.Full:
		a.Reason, a.RetryAfter = sched.ReasonQuotaExceeded, fullRetryAfter
	case quota.TooLarge:
		a.Reason = sched.ReasonBodyTooLarge
	default:
		a.Reason = sched.ReasonNotOwner
	}
}

// PublishQuota logs the refusals since the last call, and returns the bound on what
// accepted jobs take, 0 if there is none.
func (s *Service) PublishQuota() sched.Bytes {
	if s.room == nil {
		return 0
	}
	s.room.account.Publish()
	return s.room.ledger.Bound()
}
