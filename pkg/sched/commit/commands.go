package commit

import "github.com/mangoslip/mangoslip/pkg/sched"

// WriteCmd asks the runner to write a value by compare-and-swap on version
// Prev. The runner answers with a [WriteDoneMsg] or a [WriteFailedMsg] that has
// the same ID. It sends each write once and leaves retries to the machine.
type WriteCmd struct {
	Key   string
	Value []byte
	Prev  sched.Version
	ID    string
}

// ReadCmd asks the runner to read a value. The runner answers with a
// [ReadDoneMsg].
type ReadCmd struct{ Key string }

// NeedSnapshotCmd asks the runner for a [SnapshotMsg]. The runner collects the
// records of the shard's machines while it holds the shard's lock, after it has
// delivered the results of all earlier commands of this machine. An append that
// failed with Lost set may be durable, so the machine that made it keeps its
// effect in the snapshot.
type NeedSnapshotCmd struct{}

// ReadyCmd reports that the machine's first write has fenced the previous
// owner. The recovered state is final and the runner may serve the shard.
type ReadyCmd struct{}

// RecoverCmd reports that the previous owner wrote to the journal after the new
// owner had listed the ring. The runner discards the machine and the restored
// state, lists the keys again and calls [Recover] again.
type RecoverCmd struct{}

// DoneCmd reports appends that are durable.
type DoneCmd struct{ Waiters []Waiter }

// FailedCmd reports appends that failed. If Lost is set, their records may be
// durable or become durable later; otherwise they never become durable.
type FailedCmd struct {
	Waiters []Waiter
	Reason  sched.Reason
	Lost    bool
}

// FencedCmd reports that another owner has written to the journal; Epoch is the
// epoch of that owner if it is known. The runner stops serving the shard. The
// machine rejects further appends.
type FencedCmd struct{ Epoch sched.Epoch }
