package sched

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"
)

// QueueName names a queue of jobs.
type QueueName string

// StepSpec describes the tasks of one step of a workflow.
type StepSpec struct {
	Count     int       `cbor:"1,keyasint"`
	Resources Resources `cbor:"2,keyasint"`
	// Estimate is the duration of a task as the submitter roughly estimates it.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps whose tasks must all have succeeded.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoint means that a task saves its progress, so that a later run
	// can resume from it.
	Checkpoint bool `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack means that the tasks run slower if they are spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Requires is a label that the worker must have.
	Requires string `cbor:"8,keyasint,omitempty"`
	// Affinity is the rack that holds the data of the tasks.
	Affinity string `cbor:"9,keyasint,omitempty"`
	// AntiAffinity bounds the number of tasks of the step on one worker; 0 means
	// no bound.
	AntiAffinity int `cbor:"10,keyasint,omitempty"`
	// Speculative means that several copies of a task may run at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Perpetual means that the tasks are perpetual: they run until the job is
	// cancelled.
	Perpetual bool `cbor:"12,keyasint,omitempty"`
	// Image names the program that the tasks run. Tasks of one image have a
	// similar run time and interfere with others in a similar way.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailTarget bounds the tail latency of latency-critical tasks; 0 for other
	// tasks.
	TailTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort means that the tasks are best-effort: they run on processor time
	// that others leave unused, and their processors do not count against the
	// capacity of a worker.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds how many tasks of a perpetual step the scheduler may
	// keep from running at the same time; 0 means that no bound is given.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// LatencyCritical reports whether the tasks of the step are latency-critical:
// they answer requests and have a tail latency target.
func (s *StepSpec) LatencyCritical() bool { return s.TailTarget > 0 }

// Short reports whether the tasks of the step end by themselves and count against the
// capacity of a worker.
func (s *StepSpec) Short() bool { return !s.Perpetual && !s.BestEffort }

// Need returns the resources that a task of the step takes from a worker's
// capacity.
func (s *StepSpec) Need() Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Workflow is a job whose steps depend on each other.
type Workflow struct {
	ID    JobID     `cbor:"1,keyasint"`
	Queue QueueName `cbor:"2,keyasint"`
	// Text describes the work. The scheduler passes it to the workers as it was
	// submitted.
	Text  string     `cbor:"3,keyasint,omitempty"`
	Steps []StepSpec `cbor:"4,keyasint"`
	// Repeat is the number of occurrences of a repeated job; 0 means that the
	// job runs once and at once.
	Repeat int `cbor:"5,keyasint,omitempty"`
	// First is when occurrence 0 is due, as Unix time in milliseconds, and
	// Interval the time between occurrences.
	First    int64         `cbor:"6,keyasint,omitempty"`
	Interval time.Duration `cbor:"7,keyasint,omitempty"`
}

// maxImage is the length in bytes up to which the name of an image is kept as it is.
const maxImage = 64

// ImageName returns the name by which an image is known: the given one, or its SHA-256
// digest if that is longer than 64 bytes. Names are only compared, and are kept for
// longer than the jobs that use them.
func ImageName(name string) string {
	if len(name) <= maxImage {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return hex.EncodeToString(digest[:])
}

// MaxWorkflowTasks bounds the tasks of a job in all its occurrences, so that one
// job cannot exhaust the memory of an entry. A step without tasks counts as one task.
const MaxWorkflowTasks = 100_000

// Check returns an error if the job cannot be run as it is described. A step may
// depend on earlier steps only, which rules out cycles.
func (w *Workflow) Check() error {
	if len(w.Steps) == 0 {
		return errors.New("job has no steps")
	}
	if w.Repeat < 0 || w.Repeat > MaxWorkflowTasks {
		return fmt.Errorf("repeat count %d is not between 0 and %d", w.Repeat, MaxWorkflowTasks)
	}
	total := 0
	for i := range w.Steps {
		if err := w.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += max(w.Steps[i].Count, 1)
		if total*w.Occurrences() > MaxWorkflowTasks {
			return fmt.Errorf("job has more than %d tasks in its %d occurrences", MaxWorkflowTasks, w.Occurrences())
		}
	}
	return nil
}

// check checks the step at an index of its job.
func (s *StepSpec) check(index int) error {
	if s.Count < 0 || s.Count > MaxWorkflowTasks {
		return fmt.Errorf("count %d is not between 0 and %d", s.Count, MaxWorkflowTasks)
	}
	if s.Resources.Negative() {
		return fmt.Errorf("negative resources %s", s.Resources)
	}
	if s.Estimate < 0 || s.TailTarget < 0 || s.AntiAffinity < 0 || s.MaxUnavailable < 0 {
		return errors.New("negative estimate, tail target or bound")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fmt.Errorf("depends on step %d, which is not an earlier step", a)
		}
	}
	return nil
}

// Occurrences returns the number of times that the steps run.
func (w *Workflow) Occurrences() int { return max(w.Repeat, 1) }

// Due returns when an occurrence is due, as Unix time in milliseconds. It
// returns 0 for a job that runs at once.
func (w *Workflow) Due(occurrence int) int64 {
	if w.Repeat == 0 {
		return 0
	}
	return w.First + int64(occurrence)*w.Interval.Milliseconds()
}

// Perpetual reports whether a step of the job is perpetual.
func (w *Workflow) Perpetual() bool {
	for i := range w.Steps {
		if w.Steps[i].Perpetual {
			return true
		}
	}
	return false
}

// KeptJobs tells how much memory accepted jobs take in the leader.
type KeptJobs struct {
	// Cost is what they take now.
	Cost Bytes
	// Added is the sum of what all jobs took that were delivered to the leader in its
	// term and had not ended. It never decreases.
	Added Bytes
}

// JobState is the state of a workflow that callers see.
type JobState uint8

// The job states. Values are part of the stored progress.
const (
	JobQueued    JobState = 0
	JobRunning   JobState = 1
	JobCompleted JobState = 2
	JobFailed    JobState = 3
	JobCancelled JobState = 4
)

// Final reports whether the state is an end state.
func (s JobState) Final() bool { return s >= JobCompleted }

// String returns the state in Pascal case.
func (s JobState) String() string {
	return [...]string{"Queued", "Running", "Completed", "Failed", "Cancelled"}[min(s, JobCancelled)]
}

// Queue is the configuration of one queue of jobs.
type Queue struct {
	Name    QueueName
	Service ServiceName
	// Priority orders the queues: a lower number comes first and may preempt
	// higher numbers. 0 is the highest priority.
	Priority int
	// MaxAttempts bounds the failed runs of one task; 0 means no bound.
	MaxAttempts int
	// Stretch and Target give the objective for the duration of a job: Stretch
	// times the duration of its longest chain of steps, plus Target.
	Stretch float64
	Target  time.Duration
	// Advised means that only an [Adviser] knows which workers may run a step.
	Advised bool
	// Advice holds the times that the adviser takes.
	Advice AdviceTimes
}

// AdviceTimes holds the times of a queue's adviser. An answer takes Decide, plus
// Each for every worker that the request lists. A ticket can be used for Valid.
type AdviceTimes struct{ Decide, Each, Valid time.Duration }

// Pool is a service with the workers that run its tasks.
type Pool struct {
	Name ServiceName
	// Guards means that the workers refuse runs that do not fit.
	Guards bool
	// Spare means that the machines of the pool are switched off.
	Spare bool
}

// FleetConfig is the configuration of queues and pools.
type FleetConfig struct {
	Revision uint64
	Queues   map[QueueName]Queue
	Pools    map[ServiceName]Pool
}
