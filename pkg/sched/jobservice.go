package sched

import (
	"context"
	"fmt"
	"time"
)

// JobService handles the requests of callers about jobs. A request that was
// refused, or whose outcome is not known, fails with a [Refusal].
type JobService interface {
	// Submit accepts a job after recording it durably. Submitting an accepted
	// job again does not create a second one.
	Submit(ctx context.Context, w *Workflow) error
	// State returns the state of a job.
	State(ctx context.Context, id JobID) (JobState, error)
	// Cancel records durably that a job is cancelled.
	Cancel(ctx context.Context, id JobID) error
	// Waiting returns the number of accepted jobs of a queue that have not
	// started any task.
	Waiting(ctx context.Context, q QueueName) (int, error)
}

// Refusal is the error of a request that was refused or whose outcome is not
// known.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the suggested delay before the caller sends the request
	// again; 0 means no suggestion.
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
