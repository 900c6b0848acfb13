package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Waiter identifies a caller of SubmitMsg or CancelMsg to the runner.
type Waiter uint64

// Target is what the home owner knows of a hosting shard.
type Target struct {
	Shard sched.ShardID
	// Free is what the shard has free, as last heard.
	Free sched.Resources
	// Biggest is the capacity of the biggest worker of the shard.
	Biggest sched.Resources
}

// CallOutcome is what the runner knows of a call to a worker.
type CallOutcome uint8

// The call outcomes.
const (
	// CallLost means that the call may have taken effect.
	CallLost CallOutcome = iota
	CallOK
	// CallRefused means that the worker refused the call; no effect.
	CallRefused
	// CallUnavailable means that the worker was not reached; no effect.
	CallUnavailable
)

// SubmitMsg submits a job. Targets lists the hosting shards.
type SubmitMsg struct {
	Waiter  Waiter
	Spec    sched.JobSpec
	Targets []Target
}

// CancelMsg cancels all tasks of a job that have not ended.
type CancelMsg struct {
	Waiter Waiter
	Job    sched.JobID
}

// EventMsg delivers an event that another shard (or this one) sent.
type EventMsg struct {
	From  sched.ShardID
	Event Event
}

// StartResultMsg answers a StartCmd.
type StartResultMsg struct {
	Worker  sched.WorkerName
	Task    sched.TaskID
	Attempt int
	Outcome CallOutcome
}

// RenewResultMsg answers a RenewCmd.
type RenewResultMsg struct {
	Worker  sched.WorkerName
	Missing []sched.TaskID
	Outcome CallOutcome
}

// StopResultMsg answers a StopCmd. Report is valid if Outcome is CallOK.
type StopResultMsg struct {
	Worker  sched.WorkerName
	Task    sched.TaskID
	Attempt int
	Outcome CallOutcome
	Report  sched.TaskReport
}

// InventoryMsg answers an InventoryCmd with the same sequence number.
type InventoryMsg struct {
	Worker    sched.WorkerName
	Seq       uint64
	Outcome   CallOutcome
	Inventory sched.Inventory
}

// EvictMsg evicts one task, or all tasks of a worker if Task is zero. With
// Throttle the tasks are first throttled for a grace period.
type EvictMsg struct {
	Worker   sched.WorkerName
	Task     sched.TaskID
	Why      string
	Throttle bool
}

// AcquiredMsg tells that this entry owns the shard. The runner has restored
// the journal before. Workers lists every worker that the instance list has
// shown for the shard within the last task lease; HistoryLongEnough tells
// whether the entry's history of the list reaches back that far.
type AcquiredMsg struct {
	Epoch             sched.Epoch
	Workers           []sched.Instance
	HistoryLongEnough bool
}

// SuspendMsg stops starts and renewals until ResumeMsg.
type SuspendMsg struct{}

// ResumeMsg ends a suspension.
type ResumeMsg struct{}

// LostMsg drops all state: the shard has another owner.
type LostMsg struct{}

// WorkersMsg is the current list of the shard's workers.
type WorkersMsg struct{ Workers []sched.Instance }

// ConfigMsg puts a configuration in force.
type ConfigMsg struct{ Config *sched.Config }

// ReplyCmd answers a SubmitMsg or CancelMsg. Known is false if a job to cancel
// does not exist. Reason is empty on success.
type ReplyCmd struct {
	Waiter  Waiter
	Known   bool
	Status  sched.JobStatus
	Reason  sched.Reason
	Outcome sched.Outcome
}

// EventCmd sends an event to the owner of a shard, which may be this one.
type EventCmd struct {
	To    sched.ShardID
	Event Event
}

// StartCmd starts a task. The runner answers with a StartResultMsg within the
// call timeout and sends nothing to the worker after that answer.
type StartCmd struct {
	Worker sched.WorkerName
	Start  sched.TaskStart
}

// RenewCmd extends the leases of the tasks of a worker.
type RenewCmd struct {
	Worker sched.WorkerName
	Leases []sched.Lease
}

// StopCmd stops a task, after a checkpoint if asked for.
type StopCmd struct {
	Worker     sched.WorkerName
	Lease      sched.Lease
	Checkpoint bool
}

// ThrottleCmd limits a task to a share of its processors. It has no answer.
type ThrottleCmd struct {
	Worker sched.WorkerName
	Lease  sched.Lease
	Share  float64
}

// InventoryCmd asks a worker for its inventory.
type InventoryCmd struct {
	Worker sched.WorkerName
	Seq    uint64
	Epoch  sched.Epoch
}

// AcknowledgeCmd removes reports of ended tasks from a worker's inventory. It
// has no answer; a report that is seen again is acknowledged again.
type AcknowledgeCmd struct {
	Worker sched.WorkerName
	Leases []sched.Lease
}

// EventKind says what an event tells.
type EventKind uint8

// The event kinds. Values are part of the journal and peer formats.
const (
	// EventAssign (home to host) hands over a task.
	EventAssign EventKind = 1
	// EventAssigned (host to home) acknowledges an EventAssign.
	EventAssigned EventKind = 2
	// EventCancel (home to host) cancels a task. It carries the task as well,
	// so that a cancel that overtakes the assignment is decided too.
	EventCancel EventKind = 3
	// EventFinished (host to home) reports a final state; it acknowledges an
	// EventCancel.
	EventFinished EventKind = 4
	// EventFinishAck (home to host) acknowledges an EventFinished.
	EventFinishAck EventKind = 5
	// EventProgress (host to home) is a hint for display, sent once.
	EventProgress EventKind = 6
)

// Event is a message between the home shard and the hosting shard of a task.
type Event struct {
	Kind     EventKind        `cbor:"1,keyasint"`
	Task     sched.TaskID     `cbor:"2,keyasint"`
	Spec     sched.TaskSpec   `cbor:"3,keyasint,omitempty"`
	Team     sched.TeamName   `cbor:"4,keyasint,omitempty"`
	Urgent   bool             `cbor:"5,keyasint,omitempty"`
	Phase    sched.TaskPhase  `cbor:"6,keyasint,omitempty"`
	Worker   sched.WorkerName `cbor:"7,keyasint,omitempty"`
	Attempts int              `cbor:"8,keyasint,omitempty"`
	Error    string           `cbor:"9,keyasint,omitempty"`
}

// The defaults of the options.
const (
	defaultLease              = 10 * time.Second
	defaultMargin             = 500 * time.Millisecond
	defaultCallTimeout        = time.Second
	defaultRenewEvery         = 2 * time.Second
	defaultPollEvery          = time.Second
	defaultRetention          = 24 * time.Hour
	defaultMaxFinishedJobs    = 10000
	defaultTombstoneRetention = 10 * time.Minute
	defaultNoFitWait          = time.Minute
	defaultEvictGap           = time.Minute
	defaultThrottleGrace      = 2 * time.Second
)
