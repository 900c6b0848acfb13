package jobs

import (
	"context"
	"errors"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// unknownCancelsPerSecond and unknownCancelsBurst limit how many cancellations of
	// jobs that are not in the store one entry records, so that callers which name
	// many such jobs leave most of the store's writes to others. The store's write
	// rate grows with the number of entries.
	unknownCancelsPerSecond = 5
	unknownCancelsBurst     = 20
)

// Cancel implements [sched.JobService]. For a job that is not in the store it returns
// [sched.ReasonUnknownJob], after it has recorded the cancellation: the caller may have
// left before the outcome of the job's write was known, and that write may still take
// effect.
func (s *Service) Cancel(ctx context.Context, id sched.JobID) error {
	_, stateErr := s.State(ctx, id)
	unknown := isUnknownJob(stateErr)
	if stateErr != nil && !unknown {
		return stateErr
	}
	if unknown && !s.unknownCancels.Allow() {
		return &sched.Refusal{Reason: sched.ReasonQuotaExceeded, Outcome: sched.NotRun, RetryAfter: s.retryAfter(), Err: errUnknownCancels}
	}
	err := s.record(ctx, layout.CancelKey(id), layout.Encode(s.now().UnixMilli()),
		relay.Question{Verb: relay.VerbCancel, Job: id})
	if err != nil || !unknown {
		return err
	}
	s.log.Info("cancellation of an unknown job recorded", "id", id)
	return stateErr
}

// errUnknownCancels means that callers cancel more jobs that are not in the store than
// this entry records.
var errUnknownCancels = errors.New("too many cancellations of unknown jobs")

// isUnknownJob reports whether a request failed because the job is not in the store.
func isUnknownJob(err error) bool {
	refusal := (*sched.Refusal)(nil)
	return errors.As(err, &refusal) && refusal.Reason == sched.ReasonUnknownJob
}
