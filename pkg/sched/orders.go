package sched

import (
	"context"
	"net/netip"
	"time"
)

// RunTask identifies a task of a workflow.
type RunTask struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// Run identifies one start of a task. The number increases with each start.
type Run struct {
	Task   RunTask
	Number uint64
}

// EndKind is the way in which a run ended.
type EndKind uint8

// The end kinds.
const (
	// EndUnknown means that the worker reported an end of another kind.
	EndUnknown EndKind = iota
	// EndDone means that the task succeeded.
	EndDone
	// EndFailed means that the task or its worker failed.
	EndFailed
	// EndStopped means that an order stopped the run.
	EndStopped
	// EndLeaseExpired means that the run's lease expired.
	EndLeaseExpired
	// EndGangBroken means that the run of another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete means that other members of the gang did not start in
	// time.
	EndGangIncomplete
	// EndWorkerGone means that the worker's incarnation ended, or that the worker
	// does not have the run. Workers do not report this kind; the leader infers
	// it.
	EndWorkerGone
)

// String returns the kind in Pascal case.
func (k EndKind) String() string {
	names := [...]string{"Unknown", "Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone", "Gone"}
	return names[min(int(k), len(names)-1)]
}

// Member is a worker's description of itself in the register of workers.
type Member struct {
	Worker     WorkerName
	Service    ServiceName
	Addr       netip.AddrPort
	DataCentre DataCentre
	Draining   bool
	// DrainLeft is the least time for which a draining worker still runs tasks.
	DrainLeft time.Duration
	Capacity  Resources
	// Labels are the worker's kind and its rack, in this order.
	Labels []string
	// Born identifies the incarnation of the worker.
	Born int64
	// ColdLeft is for how long the worker is slow after its start, as of when it wrote
	// the registration. It is not part of the roster, since it is soon out of date.
	ColdLeft time.Duration `cbor:"-"`
}

// Rack returns the label that names the worker's rack, or the empty string.
func (m *Member) Rack() string {
	if len(m.Labels) < 2 {
		return ""
	}
	return m.Labels[len(m.Labels)-1]
}

// OrderRefusal is the reason why a worker refused an order.
type OrderRefusal uint8

// The order refusals.
const (
	// OrderAccepted means that the order was carried out.
	OrderAccepted OrderRefusal = iota
	// OrderFenced means that the worker has seen a higher fencing token.
	OrderFenced
	// OrderStaleRun means that the run is not newer than a run of the same task
	// that has ended on the worker.
	OrderStaleRun
	// OrderPastDeadline means that the order arrived after its deadline.
	OrderPastDeadline
	// OrderNoCapacity means that the worker does not have the free capacity for
	// the run.
	OrderNoCapacity
	// OrderNoTicket means that the ticket is not valid.
	OrderNoTicket
	// OrderOtherIncarnation means that another incarnation of the worker
	// answered.
	OrderOtherIncarnation
	// OrderUnhealthy means that the worker considers itself unhealthy or
	// overloaded and did not carry out the order.
	OrderUnhealthy
	// OrderInvalid means that the worker cannot interpret the order.
	OrderInvalid
)

// String returns the refusal in Pascal case.
func (r OrderRefusal) String() string {
	names := [...]string{"Accepted", "Fenced", "Old", "Late", "NoRoom", "NoTicket", "OtherLife", "Unhealthy", "Invalid"}
	return names[min(int(r), len(names)-1)]
}

// OrderReply answers an order. Clock is the reading of the worker's clock, and
// is valid only if HasClock is set.
type OrderReply struct {
	Refusal  OrderRefusal
	Clock    time.Duration
	HasClock bool
}

// StartOrder starts a run. Deadline is a reading of the worker's clock. At that
// time the worker stops all its runs, unless the deadline has been extended. Text
// is that of the [Workflow]. Fence is the leader's fencing token, as in the other
// orders. Saved identifies the checkpoint from which the run resumes, if there is
// one. Ticket is that of an [Advice], if the queue is advised.
type StartOrder struct {
	Run      Run
	Text     string
	Deadline time.Duration
	Fence    uint64
	Saved    string
	Ticket   string
}

// StopOrder stops a run, or prevents its start if it has not started yet.
type StopOrder struct {
	Run   Run
	Fence uint64
}

// ThrottleOrder throttles a run to a percentage of its full speed.
type ThrottleOrder struct {
	Run     Run
	Percent int
	Fence   uint64
}

// RenewOrder renews the lease of a worker: it extends the deadline of all runs on
// the worker, acknowledges the run ends up to sequence number Seen and asks for
// a report. The worker delays its answer by up to Wait until a run ends. Without
// HasDeadline the order does not extend the deadline.
type RenewOrder struct {
	Fence       uint64
	Seen        uint64
	Deadline    time.Duration
	HasDeadline bool
	Wait        time.Duration
}

// RunReport is a worker's report on a run in progress. Saved identifies the last
// checkpoint, and Percent is the progress.
type RunReport struct {
	Run     Run
	Saved   string
	Percent int
	// Load is the tail latency in milliseconds of a latency-critical task. For
	// any other task it is the processors in use, in thousandths.
	Load float64
}

// RunEnd is a worker's report on a run that ended. Seq increases with each end
// in one incarnation of the worker.
type RunEnd struct {
	Seq   uint64
	Run   Run
	How   EndKind
	Saved string
}

// RenewReport answers a RenewOrder. Either list may be partial: that a run is in
// neither of them means something only if the report is [RenewReport.Complete].
type RenewReport struct {
	Refusal OrderRefusal
	Clock   time.Duration
	Born    int64
	Running []RunReport
	Ended   []RunEnd

	// Unreadable counts the rows that could not be read, and UnreadableEnds those of
	// them that are run ends. A missing list counts as one row. Running lacks the runs
	// of such rows, and Ended holds only the ends before the first unreadable one.
	Unreadable, UnreadableEnds int
	// MoreEnds means that the worker may have more ends than one report lists. It
	// lists them once these are acknowledged.
	MoreEnds bool
}

// Complete reports whether the lists have every run of the worker that is in progress
// and every end that was not acknowledged.
func (r *RenewReport) Complete() bool { return r.Unreadable == 0 && !r.MoreEnds }

// Orders sends the leader's orders to workers. An order that fails with
// [ErrUnavailable] is not carried out. One that fails with [ErrLost] may have
// been carried out, or may still be carried out seconds later.
type Orders interface {
	Start(ctx context.Context, m Member, o StartOrder) (OrderReply, error)
	Stop(ctx context.Context, m Member, o StopOrder) (OrderReply, error)
	Throttle(ctx context.Context, m Member, o ThrottleOrder) (OrderReply, error)
	Renew(ctx context.Context, m Member, o RenewOrder) (RenewReport, error)
}
