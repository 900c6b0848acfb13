package sched

import (
	"context"
	"fmt"
	"time"
)

// JobService takes the job requests of callers. A request that was refused, or
// whose outcome is not known, fails with a [Refusal].
type JobService interface {
	// Submit accepts a job, durably. A job that is accepted already stays one
	// job.
	Submit(ctx context.Context, w *Workflow) error
	// State returns the state of a job.
	State(ctx context.Context, id JobID) (JobState, error)
	// Cancel cancels a job, durably.
	Cancel(ctx context.Context, id JobID) error
	// Waiting returns the number of a queue's accepted jobs of which no task
	// has started.
	Waiting(ctx context.Context, q QueueName) (int, error)
}

// Refusal is the error of a request that got no result.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is when the caller should come back; 0: no use.
	RetryAfter time.Duration
	// Err is the cause, if there is one.
	Err error
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Err == nil {
		return fmt.Sprintf("%s (%s)", r.Reason, r.Outcome)
	}
	return fmt.Sprintf("%s (%s): %v", r.Reason, r.Outcome, r.Err)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }
