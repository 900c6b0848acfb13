package sched

import (
	"context"
	"net/netip"
	"time"
)

// RunTask names a task of a workflow.
type RunTask struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// Run names one start of a task. Numbers rise with each start.
type Run struct {
	Task   RunTask
	Number uint64
}

// EndKind says how a run ended.
type EndKind uint8

// The end kinds.
const (
	EndUnknown EndKind = iota
	// EndDone means that the task succeeded.
	EndDone
	// EndFailed means that the task or its worker failed.
	EndFailed
	// EndStopped means that an order stopped the run.
	EndStopped
	// EndLapsed means that the run's lease lapsed.
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not come.
	EndAlone
	// EndGone means that the worker's life ended, or that the run was not
	// there. Workers do not report it; it is concluded.
	EndGone
)

// String returns the kind in Pascal case.
func (k EndKind) String() string {
	names := [...]string{"Unknown", "Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone", "Gone"}
	return names[min(int(k), len(names)-1)]
}

// Member is a worker as it describes itself in the register of workers.
type Member struct {
	Worker     WorkerName
	Service    ServiceName
	Addr       netip.AddrPort
	DataCentre DataCentre
	Draining   bool
	// DrainLeft is the shortest time that a draining worker still serves.
	DrainLeft time.Duration
	Capacity  Resources
	// Labels are the worker's kind and its rack.
	Labels []string
	// Born tells lives of a worker under one name apart.
	Born int64
}

// Rack returns the label that names the worker's rack, or the empty string.
func (m *Member) Rack() string {
	if len(m.Labels) < 2 {
		return ""
	}
	return m.Labels[len(m.Labels)-1]
}

// OrderRefusal says why a worker refused an order.
type OrderRefusal uint8

// The order refusals.
const (
	// OrderAccepted means that the order was carried out.
	OrderAccepted OrderRefusal = iota
	// OrderFenced means that the worker has seen a higher fence.
	OrderFenced
	// OrderOld means that the run is not newer than one that ended there.
	OrderOld
	// OrderLate means that the order arrived after its deadline.
	OrderLate
	// OrderNoRoom means that the run does not fit.
	OrderNoRoom
	// OrderNoTicket means that the ticket is not valid.
	OrderNoTicket
	// OrderOtherLife means that another life of the worker answered.
	OrderOtherLife
	// OrderUnhealthy means that the worker considers itself unhealthy or
	// overloaded and did nothing.
	OrderUnhealthy
	// OrderInvalid means that the worker did not understand the order.
	OrderInvalid
)

// String returns the refusal in Pascal case.
func (r OrderRefusal) String() string {
	names := [...]string{"Accepted", "Fenced", "Old", "Late", "NoRoom", "NoTicket", "OtherLife", "Unhealthy", "Invalid"}
	return names[min(int(r), len(names)-1)]
}

// OrderReply answers an order. Clock is the worker's clock, valid if HasClock.
type OrderReply struct {
	Refusal  OrderRefusal
	Clock    time.Duration
	HasClock bool
}

// StartOrder starts a run. Deadline is a reading of the worker's clock at which
// everything that runs there is stopped unless it was extended.
type StartOrder struct {
	Run      Run
	Text     string
	Deadline time.Duration
	Fence    uint64
	Saved    string
	Ticket   string
}

// StopOrder stops a run, or prevents it if it has not started yet.
type StopOrder struct {
	Run   Run
	Fence uint64
}

// PaceOrder lets a run work at a share of its speed, in percent.
type PaceOrder struct {
	Run     Run
	Percent int
	Fence   uint64
}

// HoldOrder extends the deadline of everything that runs on a worker, confirms
// the ends up to Seen and asks for a report. With Wait the answer waits for an
// end. Without HasDeadline nothing is extended.
type HoldOrder struct {
	Fence       uint64
	Seen        uint64
	Deadline    time.Duration
	HasDeadline bool
	Wait        time.Duration
}

// RunReport is what a worker says of a run in progress.
type RunReport struct {
	Run     Run
	Saved   string
	Percent int
	// Load is the tail latency in milliseconds of a task that serves, and the
	// processors in use, in thousandths, of any other.
	Load float64
}

// RunEnd is what a worker says of a run that ended. Seq rises in one life.
type RunEnd struct {
	Seq   uint64
	Run   Run
	How   EndKind
	Saved string
}

// HoldReport answers a HoldOrder.
type HoldReport struct {
	Refusal OrderRefusal
	Clock   time.Duration
	Born    int64
	Running []RunReport
	Ended   []RunEnd
}

// Orders sends orders to workers. A call that fails with [ErrUnavailable] was
// not carried out. One that fails with [ErrLost] may have been, or may be
// seconds later.
type Orders interface {
	Start(ctx context.Context, m Member, o StartOrder) (OrderReply, error)
	Stop(ctx context.Context, m Member, o StopOrder) (OrderReply, error)
	Pace(ctx context.Context, m Member, o PaceOrder) (OrderReply, error)
	Hold(ctx context.Context, m Member, o HoldOrder) (HoldReport, error)
}
