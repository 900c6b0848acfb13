package pool

import (
	"net/netip"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// WorkersMsg carries the workers of the shard from the instance list.
type WorkersMsg struct {
	Workers []sched.Instance
	// Fleet is the number of workers of the whole deployment that run a
	// service, by its current name. A shard enforces its proportional part of a
	// team's limit. A service that is missing is assumed to run in this shard
	// only.
	Fleet map[sched.ServiceName]int
}

// ConfigMsg puts a configuration in force. A lower revision than the current
// one is ignored.
type ConfigMsg struct{ Config *sched.Config }

// AcquireMsg asks for a slot for a request.
type AcquireMsg struct {
	// ID is unique among the requests in progress.
	ID      uint64
	Service sched.ServiceName
	// Team is the team whose bound counts the request. If it is empty or unknown,
	// the service's team is used.
	Team sched.TeamName
	// Class distinguishes routes of a service whose run times differ.
	Class    string
	Deadline time.Time
	// Body is the size of the buffered request body.
	Body sched.Bytes
}

// ReleaseMsg returns a granted slot.
type ReleaseMsg struct {
	ID      uint64
	Outcome sched.Outcome
	// Reason is empty for an answer that counts as a success of the worker.
	Reason sched.Reason
	// Latency is the time from the grant to the end of the answer.
	Latency time.Duration
}

// CancelMsg reports that the caller of a waiting request has gone away. It has
// no effect on a granted request, which ends with a ReleaseMsg.
type CancelMsg struct{ ID uint64 }

// InventoryMsg is a worker's answer to an [InventoryCmd].
type InventoryMsg struct {
	Worker sched.WorkerName
	// Epoch is the epoch of the command. An answer to a command of another
	// epoch is ignored.
	Epoch sched.Epoch
	// AskedAt is when the inventory was requested. An inventory that was
	// requested before a request was given up does not show that the slot of
	// that request is free.
	AskedAt   time.Time
	Inventory sched.Inventory
}

// AcquiredMsg reports that the entry owns the shard from now on. The load of
// all workers is unknown at first.
type AcquiredMsg struct{ Epoch sched.Epoch }

// SuspendMsg reports that the confirmation of ownership has expired.
type SuspendMsg struct{}

// ResumeMsg reports that ownership has been confirmed again without a takeover.
type ResumeMsg struct{}

// LostMsg reports that the entry does not own the shard any more. Granted
// requests finish and are released as usual.
type LostMsg struct{}

// GrantCmd tells the runner to send a request to a target.
type GrantCmd struct {
	ID      uint64
	Worker  sched.WorkerName
	Addr    netip.AddrPort
	Service sched.ServiceName
}

// RefuseCmd tells the runner that a request was not granted and will not be.
type RefuseCmd struct {
	ID     uint64
	Reason sched.Reason
}

// InventoryCmd asks a worker for its inventory.
type InventoryCmd struct {
	Worker sched.WorkerName
	// Addr is the worker's control address.
	Addr  netip.AddrPort
	Epoch sched.Epoch
}
