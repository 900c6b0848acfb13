package sched

import (
	"context"
	"net/netip"
	"time"
)

// InstanceRole says what an instance runs.
type InstanceRole string

// The instance roles.
const (
	RoleEntry  InstanceRole = "Entry"
	RoleWorker InstanceRole = "Worker"
)

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The instance states.
const (
	StateLive    InstanceState = "Live"
	StateLeaving InstanceState = "Leaving"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	Name       string
	Role       InstanceRole
	State      InstanceState
	DataCentre DataCentre
	Rack       string
	// Generation changes when an instance is listed again after it was removed
	// from the list.
	Generation uint64
	// Data is where a worker's targets listen, or where an entry serves
	// callers.
	Data netip.AddrPort
	// Control is where a worker accepts task commands, or where an entry
	// serves its peers.
	Control netip.AddrPort
	// Capacity is the total resources of a worker; zero for an entry.
	Capacity Resources
	// Services lists the services whose targets run on a worker.
	Services []ServiceName
}

// InstanceList is the platform's list of instances. The list lags: a change
// becomes visible after up to a second, and readers may see different states.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Incarnation identifies an incarnation of a worker. The worker chooses it at random
// when it starts, so that it depends on no clock. A worker that restarts under its name
// has another one, and its clock, its epochs and its attempts begin anew.
type Incarnation string

// Lease is the right to run a task on a worker until the lease expires. The
// worker stops the task itself if the lease is not renewed in time.
type Lease struct {
	Task     TaskID
	Shard    ShardID
	Epoch    Epoch
	Attempt  int
	Duration time.Duration
	// NotAfter is the reading of the worker's clock after which the worker
	// ignores the lease; 0 sets no bound. Without a bound, a start or a renewal
	// that waits in the socket buffer of a paused worker would take effect after
	// the owner has given up the attempt and has started another.
	NotAfter time.Duration
	// Incarnation is the one whose clock NotAfter refers to. Any other incarnation
	// ignores the lease. It is empty if the worker states none, and the worker does
	// not check it then.
	Incarnation Incarnation
}

// TaskState is the state of a task on a worker.
type TaskState string

// The task states that a worker reports.
const (
	TaskRunning   TaskState = "Running"
	TaskSucceeded TaskState = "Succeeded"
	TaskFailed    TaskState = "Failed"
	// TaskStopped means that a command stopped the task, with or without a
	// checkpoint.
	TaskStopped TaskState = "Stopped"
	// TaskLeaseExpired means that the worker stopped the task because its lease
	// expired.
	TaskLeaseExpired TaskState = "Lapsed"
)

// TaskStart is a command to start a task.
type TaskStart struct {
	Lease     Lease
	Class     ClassName
	Resources Resources
	// Payload is opaque to the scheduler.
	Payload []byte
	// Checkpoint identifies the checkpoint to resume from; empty for a first
	// start.
	Checkpoint string
}

// TaskReport describes a task in a worker's inventory. The report of an ended
// task stays in the inventory until it is acknowledged.
type TaskReport struct {
	Task       TaskID
	Shard      ShardID
	Epoch      Epoch
	Attempt    int
	State      TaskState
	Checkpoint string
	Error      string
	RunTime    time.Duration
	Resources  Resources
}

// Inventory lists the tasks that a worker runs, and the ended tasks whose
// reports have not been acknowledged.
type Inventory struct {
	Worker WorkerName
	// Incarnation is that of the worker. It is empty if the worker states none.
	Incarnation Incarnation
	Tasks       []TaskReport
	// BusySlots counts the requests in progress by service.
	BusySlots map[ServiceName]int
	// Clock is the reading of the worker's monotonic clock when it made the
	// inventory. The clock of each incarnation has its own origin.
	Clock time.Duration
	// UsageAge is the age of Usage, which the worker measures.
	UsageAge time.Duration
	Usage    Resources
}

// WorkerClient controls the tasks on workers. Each method calls one worker at
// its control address. A start, renewal or stop with an epoch below the highest
// that the worker has seen for the shard fails with [ErrStaleEpoch].
type WorkerClient interface {
	// Start starts a task. Starting an attempt that already runs is a no-op.
	// A start after the lease's NotAfter is refused; a renewal after it is
	// ignored. A start with a lease for another incarnation fails with
	// [ErrOtherIncarnation].
	Start(ctx context.Context, at netip.AddrPort, start TaskStart) error
	// Renew extends several leases of one worker and returns the tasks that the
	// worker does not run.
	Renew(ctx context.Context, at netip.AddrPort, leases []Lease) (missing []TaskID, err error)
	// Stop stops a task, after saving a checkpoint if checkpoint is set. The
	// returned report says how the task ended.
	Stop(ctx context.Context, at netip.AddrPort, lease Lease, checkpoint bool) (TaskReport, error)
	// Throttle limits a task to a share of its processors; 0 < share <= 1.
	Throttle(ctx context.Context, at netip.AddrPort, lease Lease, share float64) error
	// Acknowledge removes reports of ended tasks from the inventory.
	Acknowledge(ctx context.Context, at netip.AddrPort, leases []Lease) error
	// Inventory returns the worker's inventory and raises the epoch that the
	// worker has seen for the shard.
	Inventory(ctx context.Context, at netip.AddrPort, shard ShardID, epoch Epoch) (Inventory, error)
}
