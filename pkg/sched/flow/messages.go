package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// ConfigMsg puts a configuration in force.
type ConfigMsg struct{ Fleet *sched.FleetConfig }

// MembersMsg is the current content of the register of workers. Asked is when the
// store was asked, zero if that is not reported.
type MembersMsg struct {
	Members []sched.Member
	Asked   time.Time
}

// JobMsg delivers an accepted job. A job that is already known is ignored.
type JobMsg struct {
	Job *sched.Workflow
	// Accepted is when the job was accepted, as Unix time in milliseconds.
	Accepted int64
	// Inherited means that an earlier leader may have started its tasks.
	Inherited bool
	// Progress is the job's durable progress, nil if there is none. Version is the
	// version of the stored value.
	Progress []byte
	Version  sched.Version
}

// CancelMsg cancels a job. Recorded is when the cancellation was recorded, as Unix
// time in milliseconds.
type CancelMsg struct {
	Job      sched.JobID
	Recorded int64
}

// TakeoverMsg begins the term. It names the workers that an earlier leader may
// have given orders to. All jobs are delivered before it.
type TakeoverMsg struct {
	Roster  []sched.Member
	Version sched.Version
	// Interference holds the interference estimates that an earlier leader
	// recorded, empty if there are none. InterferenceVersion is the version of
	// the stored value.
	Interference        []byte
	InterferenceVersion sched.Version
	// Handover is the record of the last leader that resigned, empty if there is none.
	// Began is when the term began, after any record of an earlier one was written.
	Handover []byte
	Began    time.Time
}

// ResignMsg ends the term voluntarily. From then on the machine issues no orders. Once
// the changes of jobs are durable, or after handoverWait, it returns a HandoverCmd.
// Skipped lists the jobs that were not delivered because they are damaged.
type ResignMsg struct{ Skipped []sched.JobID }

// HandoverCmd is the last command of a machine that resigns. Value is to be written
// under KeyHandover, in the transaction that removes the leader's key, on the condition
// that the term is unchanged. It is nil if the machine knows nothing of the runs.
type HandoverCmd struct{ Value []byte }

// StartCmd starts a run. The runner answers with a StartResultMsg.
type StartCmd struct {
	Member sched.Member
	Order  sched.StartOrder
}

// StopCmd stops a run. The runner answers with a StopResultMsg.
type StopCmd struct {
	Member sched.Member
	Order  sched.StopOrder
}

// ThrottleCmd changes the speed limit of a run. The runner answers with a
// ThrottleResultMsg.
type ThrottleCmd struct {
	Member sched.Member
	Order  sched.ThrottleOrder
}

// RenewCmd renews the leases of a worker and asks for its report. The runner
// answers with a RenewResultMsg that carries the same Seq. Timeout is how long the
// answer may take in addition to the wait in the order; the runner may wait longer.
type RenewCmd struct {
	Member  sched.Member
	Order   sched.RenewOrder
	Seq     uint64
	Timeout time.Duration
}

// Result is the outcome of a call to a worker.
type Result struct {
	Worker sched.WorkerName
	// Sent is when the call was sent.
	Sent time.Time
	// Fence is the fencing token of the order.
	Fence uint64
	// Err is nil, or wraps [sched.ErrUnavailable] if the call was not carried out,
	// or [sched.ErrLost] if it may have been.
	Err error
}

// StartResultMsg answers a StartCmd.
type StartResultMsg struct {
	Result
	Run   sched.Run
	Reply sched.OrderReply
}

// StopResultMsg answers a StopCmd.
type StopResultMsg struct {
	Result
	Run   sched.Run
	Reply sched.OrderReply
}

// ThrottleResultMsg answers a ThrottleCmd.
type ThrottleResultMsg struct {
	Result
	Run     sched.Run
	Percent int
	Reply   sched.OrderReply
}

// RenewResultMsg answers a RenewCmd.
type RenewResultMsg struct {
	Result
	Seq    uint64
	Report sched.RenewReport
}

// CommitCmd makes records durable in one transaction. The transaction requires
// that each key still has the record's version and that the term is the newest
// one. The runner answers with a CommittedMsg or a CommitFailedMsg.
type CommitCmd struct {
	Seq     uint64
	Records []Record
}

// Record is a durable value. A nil value removes the key.
type Record struct {
	Key     string
	Value   []byte
	Version sched.Version
}

// CommittedMsg reports that the records of a commit are durable at a version.
type CommittedMsg struct {
	Seq     uint64
	Version sched.Version
}

// CommitFailedMsg reports that a commit did not take effect, or may not have.
// Versions holds the current versions of the commit's keys if Conflict is set.
type CommitFailedMsg struct {
	Seq      uint64
	Conflict bool
	// Superseded means that a newer term exists.
	Superseded bool
	Versions   map[string]sched.Version
	Err        error
}

// LogCmd asks the runner to log a decision with its inputs.
type LogCmd struct {
	Event string
	Attrs []any
}

// LostCmd reports that the term has ended.
type LostCmd struct{ Why string }

// The keys of durable values, relative to the deployment's prefix.
const (
	// KeyProgress is the prefix of the keys that hold the progress of jobs.
	KeyProgress = "Progress/"
	// KeyRoster is the key of the roster, the list of workers that may have been
	// given orders.
	KeyRoster = "Roster"
	// KeyInterference is the key of the interference estimates for pairs of
	// images.
	KeyInterference = "Beliefs"
	// KeyHandover is the key of what the last leader that resigned knew of runs.
	KeyHandover = "Handover"
)
