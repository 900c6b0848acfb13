package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Waiter identifies to the runner the request that a SubmitMsg or CancelMsg
// came from. The ReplyCmd carries the same value.
type Waiter uint64

// HostingShard describes a shard that may host tasks of a job.
type HostingShard struct {
	Shard sched.ShardID
	// Free is an estimate of the free capacity of the shard.
	Free sched.Resources
	// Biggest is the capacity of the biggest worker of the shard.
	Biggest sched.Resources
}

// CallOutcome is the outcome of a call to a worker, as far as the runner knows
// it.
type CallOutcome uint8

// The call outcomes.
const (
	// CallLost means that no answer arrived. The call may have taken effect.
	CallLost CallOutcome = iota
	// CallOK means that the call took effect.
	CallOK
	// CallRefused means that the worker refused the call. It had no effect.
	CallRefused
	// CallUnavailable means that the worker was not reached. The call had no
	// effect.
	CallUnavailable
	// CallOtherIncarnation means that another incarnation of the worker answered
	// than the one that the call was meant for. The call had no effect.
	CallOtherIncarnation
)

// SubmitMsg submits a job. Targets lists the shards that may host its tasks.
type SubmitMsg struct {
	Waiter  Waiter
	Spec    sched.JobSpec
	Targets []HostingShard
}

// CancelMsg cancels all tasks of a job that have not ended.
type CancelMsg struct {
	Waiter Waiter
	Job    sched.JobID
}

// EventMsg delivers an event from another shard, or from this one.
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

// RenewResultMsg answers a RenewCmd. Missing lists the tasks of the renewed
// leases that the worker does not run.
type RenewResultMsg struct {
	Worker  sched.WorkerName
	Missing []sched.TaskID
	Outcome CallOutcome
}

// StopResultMsg answers a StopCmd. Report is valid only if Outcome is CallOK.
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

// EvictMsg evicts one task, or all tasks of a worker if Task is zero. If
// Throttle is set, the tasks are throttled for a grace period before they are
// stopped. Why becomes the error text of the tasks.
type EvictMsg struct {
	Worker   sched.WorkerName
	Task     sched.TaskID
	Why      string
	Throttle bool
}

// AcquiredMsg reports that this entry owns the shard. The runner restores the
// journal before it sends the message. Workers lists every worker that the
// instance list showed for the shard within the last task lease.
// HistoryLongEnough reports whether the entry's history of the instance list
// covers that time.
type AcquiredMsg struct {
	Epoch             sched.Epoch
	Workers           []sched.Instance
	HistoryLongEnough bool
}

// SuspendMsg stops task starts and lease renewals until ResumeMsg.
type SuspendMsg struct{}

// ResumeMsg ends a suspension.
type ResumeMsg struct{}

// LostMsg reports that this entry no longer owns the shard. The machine drops
// its state.
type LostMsg struct{}

// WorkersMsg carries the current list of the shard's workers.
type WorkersMsg struct{ Workers []sched.Instance }

// ConfigMsg carries a new configuration.
type ConfigMsg struct{ Config *sched.Config }

// ReplyCmd answers a SubmitMsg or CancelMsg. Known is false if the job to
// cancel does not exist. Reason is empty on success.
type ReplyCmd struct {
	Waiter  Waiter
	Known   bool
	Status  sched.JobStatus
	Reason  sched.Reason
	Outcome sched.Outcome
}

// EventCmd sends an event to the owner of a shard, which may be this entry.
type EventCmd struct {
	To    sched.ShardID
	Event Event
}

// StartCmd starts a task. The runner answers with a StartResultMsg within the
// call timeout. It must not send the start to the worker after that answer.
type StartCmd struct {
	Worker sched.WorkerName
	Start  sched.TaskStart
}

// RenewCmd renews the leases of tasks on a worker.
type RenewCmd struct {
	Worker sched.WorkerName
	Leases []sched.Lease
}

// StopCmd stops a task. If Checkpoint is set, the worker saves a checkpoint
// first.
type StopCmd struct {
	Worker     sched.WorkerName
	Lease      sched.Lease
	Checkpoint bool
}

// ThrottleCmd limits a task to a share of its processors. It is not answered.
type ThrottleCmd struct {
	Worker sched.WorkerName
	Lease  sched.Lease
	Share  float64
}

// InventoryCmd requests the inventory of a worker.
type InventoryCmd struct {
	Worker sched.WorkerName
	Seq    uint64
	Epoch  sched.Epoch
}

// AcknowledgeCmd removes reports of ended tasks from a worker's inventory. It
// is not answered. If a later inventory still shows a report, the machine
// acknowledges it again.
type AcknowledgeCmd struct {
	Worker sched.WorkerName
	Leases []sched.Lease
}

// EventKind is the kind of an [Event].
type EventKind uint8

// The event kinds. Their values are part of the journal and peer formats and
// must not change.
const (
	// EventAssign (home to host) assigns a task to the hosting shard.
	EventAssign EventKind = 1
	// EventAssigned (host to home) acknowledges an EventAssign.
	EventAssigned EventKind = 2
	// EventCancel (home to host) cancels a task. It carries the task as well,
	// so that the host can handle a cancel that arrives before the assignment.
	EventCancel EventKind = 3
	// EventFinished (host to home) reports the final state of a task. It also
	// acknowledges an EventCancel.
	EventFinished EventKind = 4
	// EventFinishAck (home to host) acknowledges an EventFinished.
	EventFinishAck EventKind = 5
	// EventProgress (host to home) reports the phase of a task for display. It
	// is sent once and not acknowledged.
	EventProgress EventKind = 6
)

// Event is a message between the home shard and the hosting shard of a task.
// Spec, Team and Urgent are set in EventAssign and EventCancel; Phase, Worker,
// Attempts and Error in EventProgress and EventFinished.
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

// The defaults of the options. defaultTombstoneRetention has no option.
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
