package sched

import "time"

// TargetLoad is what a router knows of one target that can accept a request.
type TargetLoad struct {
	Worker     WorkerName
	DataCentre DataCentre
	InFlight   int
	Slots      int
	// Latency is the smoothed latency of answers, last updated at LatencyAt.
	Latency   time.Duration
	LatencyAt time.Time
	// FirstSeen is when the target was first seen. A router sends fewer
	// requests to a new target (slow start).
	FirstSeen time.Time
}

// Router chooses a target for a request.
type Router interface {
	// Pick returns the index of the chosen target, or -1 if none has a free
	// slot. It does not allocate.
	Pick(now time.Time, targets []TargetLoad) int
}

// Limiter bounds the requests in progress of a service or a team.
type Limiter interface {
	// Acquire counts one more request in progress. It returns false and the
	// reason if the bound does not allow it.
	Acquire(now time.Time) (Reason, bool)
	// Release counts one request less, and reports its latency and outcome.
	Release(now time.Time, latency time.Duration, outcome Outcome)
}

// Retrier decides whether an attempt may be repeated.
type Retrier interface {
	// Allow returns the delay before the next attempt of a request, or false
	// if the budget, the number of attempts or the deadline does not allow one.
	Allow(now, deadline time.Time, attempt int) (time.Duration, bool)
	// Observe counts a first attempt, which adds to the budget.
	Observe(now time.Time)
}

// WorkerCapacity is the total and the free capacity of a worker, with what else a
// placer needs to know of it.
type WorkerCapacity struct {
	Worker   WorkerName
	Rack     string
	Capacity Resources
	Free     Resources
	// Services lists the services whose targets run on the worker. Tasks may
	// interfere with them.
	Services []ServiceName
}

// Placer chooses a worker for a task.
type Placer interface {
	// Place returns the index of the chosen worker, or -1 if none fits now.
	// The parameter avoid lists the workers on which the task has failed.
	Place(now time.Time, spec TaskSpec, workers []WorkerCapacity, avoid []WorkerName) int
}
