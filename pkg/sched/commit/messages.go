package commit

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Waiter identifies an append. Tickets are unique only within the machine that
// made the append; From, the kind of that machine's records, identifies the
// machine.
type Waiter struct {
	From   sched.RecordKind
	Ticket sched.Ticket
}

// AppendMsg requests that a record become durable.
type AppendMsg struct {
	Waiter Waiter
	Record sched.Record
}

// WriteDoneMsg reports that a write took effect.
type WriteDoneMsg struct {
	ID      string
	Version sched.Version
}

// WriteFailedMsg reports that a write failed. An error that wraps
// [sched.ErrConflict], [sched.ErrUnavailable] or [sched.ErrBudget] means that
// it took no effect. After any other error the effect is unknown.
type WriteFailedMsg struct {
	ID  string
	Err error
}

// ReadDoneMsg is the answer to a [ReadCmd]. An Err that wraps
// [sched.ErrNotFound] means that the key does not exist; any other error means
// that the read failed.
type ReadDoneMsg struct {
	Item sched.Item
	Err  error
}

// SnapshotMsg is the answer to a [NeedSnapshotCmd]. Records are the snapshots of
// all machines of the shard.
type SnapshotMsg struct{ Records []sched.Record }

// BudgetMsg sets the minimum interval between writes while appends are queued.
type BudgetMsg struct{ Interval time.Duration }

// StopMsg reports that the entry no longer owns the shard.
type StopMsg struct{}
