package sched

import "time"

// TaskSpec describes one task of a job.
type TaskSpec struct {
	Class     ClassName
	Resources Resources
	// RunTime is the declared run time; 0 means that of the class.
	RunTime time.Duration
	Payload []byte
}

// JobSpec is a job as submitted.
type JobSpec struct {
	ID JobID
	// Team is the team whose quota the job's tasks use.
	Team TeamName
	// Urgent means that the job's tasks may preempt others to start.
	Urgent bool
	Tasks  []TaskSpec
}

// TaskPhase is the state of a task in the scheduler. [TaskState] is its state on
// a worker.
type TaskPhase string

// The task phases.
const (
	PhaseQueued    TaskPhase = "Queued"
	PhaseStarting  TaskPhase = "Starting"
	PhaseRunning   TaskPhase = "Running"
	PhaseStopping  TaskPhase = "Stopping"
	PhaseSucceeded TaskPhase = "Succeeded"
	PhaseFailed    TaskPhase = "Failed"
	PhaseCancelled TaskPhase = "Cancelled"
	// PhaseNotRunnable means that no worker is big enough for the task, or that
	// all its attempts failed.
	PhaseNotRunnable TaskPhase = "NotRunnable"
)

// Final reports whether the phase is an end state.
func (p TaskPhase) Final() bool {
	switch p {
	case PhaseSucceeded, PhaseFailed, PhaseCancelled, PhaseNotRunnable:
		return true
	default:
		return false
	}
}

// WaitReason is the reason why a queued task waits.
type WaitReason string

// The wait reasons.
const (
	// WaitQuota means that the team's running tasks use up its quota.
	WaitQuota WaitReason = "Quota"
	// WaitCapacity means that no worker has enough free capacity now.
	WaitCapacity WaitReason = "Capacity"
	// WaitNoWorkerFits means that no known worker is big enough.
	WaitNoWorkerFits WaitReason = "NoWorkerFits"
	// WaitBackoff means that the task waits for its next attempt.
	WaitBackoff WaitReason = "BackingOff"
	// WaitRecovery means that the shard recovers its state after a takeover.
	WaitRecovery WaitReason = "Recovering"
	// WaitAssignment means that no shard has accepted the task yet.
	WaitAssignment WaitReason = "Assigning"
)

// TaskStatus is the state of a task that callers see.
type TaskStatus struct {
	Index    int
	Phase    TaskPhase
	Shard    ShardID
	Worker   WorkerName
	Attempts int
	Wait     WaitReason
	Error    string
}

// JobStatus is the state of a job that callers see.
type JobStatus struct {
	ID     JobID
	Team   TeamName
	Urgent bool
	Tasks  []TaskStatus
}

// Done reports whether all tasks have ended.
func (j *JobStatus) Done() bool {
	for _, t := range j.Tasks {
		if !t.Phase.Final() {
			return false
		}
	}
	return true
}
