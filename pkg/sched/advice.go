package sched

import (
	"context"
	"time"
)

// StepRef names a step of one occurrence of a job.
type StepRef struct {
	Job        JobID
	Occurrence int
	Step       int
}

// AdviceRequest asks which of the listed workers may run a step.
type AdviceRequest struct {
	Step    StepRef
	Workers []WorkerName
	// Timeout bounds the call, from when the adviser is asked.
	Timeout time.Duration
}

// Advice answers an AdviceRequest.
type Advice struct {
	// Tickets holds a ticket for each worker that may run the step. An order to
	// start the step on that worker must carry the ticket. A ticket is valid for
	// one incarnation of the worker.
	Tickets map[WorkerName]string
	// Valid is how long the tickets may be used.
	Valid time.Duration
	// Waited is how long the request waited before the adviser was asked.
	Waited time.Duration
}

// Adviser answers which workers may run the steps of advised queues (see
// [Queue.Advised]). The answer takes longer the more workers the
// request lists. The adviser handles one call of an entry at a time.
type Adviser interface {
	Advise(ctx context.Context, r AdviceRequest) (Advice, error)
}
