package sched

import "time"

// MaxLateJobs bounds the late jobs of one answer.
const MaxLateJobs = 200

// LateJob describes a job that can no longer complete within the objective of its
// queue, or that has not. The values are those of the occurrence that is most late.
type LateJob struct {
	Job   JobID     `cbor:"1,keyasint"`
	Queue QueueName `cbor:"2,keyasint"`
	State JobState  `cbor:"3,keyasint"`
	// Age counts from when the occurrence was due.
	Age       time.Duration `cbor:"4,keyasint"`
	Objective time.Duration `cbor:"5,keyasint"`
	// Late is by how much the expected duration exceeds the objective. For a perpetual
	// job it is by how much the time for which a task has had no run exceeds it.
	Late time.Duration `cbor:"6,keyasint"`
	// TasksLeft counts the tasks that have not succeeded, or the waiting tasks of
	// perpetual steps.
	TasksLeft int `cbor:"7,keyasint"`
	// Waits is the reason why the first waiting step waits, empty if there is none.
	Waits string `cbor:"8,keyasint,omitempty"`
}

// LateJobs lists late jobs, the most late first. More counts those that are left out.
type LateJobs struct {
	Jobs []LateJob `cbor:"1,keyasint"`
	More int       `cbor:"2,keyasint,omitempty"`
}

// Bounded returns the list with at most limit jobs.
func (l LateJobs) Bounded(limit int) LateJobs {
	if cut := len(l.Jobs) - limit; cut > 0 {
		l.Jobs, l.More = l.Jobs[:limit], l.More+cut
	}
	return l
}
