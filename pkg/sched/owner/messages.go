package owner

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// TableReadMsg is the answer to a read of the table, or the result of a watch.
type TableReadMsg struct {
	// SentAt is when the request was sent. For a watch, it is when the watch
	// was opened.
	SentAt time.Time
	// Value and Version are zero if the store has no table.
	Value   []byte
	Version sched.Version
}

// TableReadFailedMsg reports a read of the table without an answer.
type TableReadFailedMsg struct{ Err error }

// ListReadMsg is the answer to the entry's own read of the instance list.
type ListReadMsg struct {
	SentAt    time.Time
	Instances []sched.Instance
}

// ListReadFailedMsg reports a read of the instance list without an answer. The
// machine ignores it: confirmations expire by the age of the latest answer.
type ListReadFailedMsg struct{ Err error }

// RelayedMsg carries what a peer read from the store and the instance list. A
// negative age means that the peer has not read the table or the list.
type RelayedMsg struct {
	// Peer is the entry that relays. Stopping means that it is shutting down,
	// so that it takes no shards even while the list shows it live.
	Peer     sched.EntryName
	Stopping bool
	// SentAt is when the call to the peer was sent.
	SentAt   time.Time
	Table    []byte
	Version  sched.Version
	TableAge time.Duration
	// ListedGeneration is the generation under which the peer's list read
	// shows this entry, 0 if it does not show it.
	ListedGeneration uint64
	ListAge          time.Duration
}

// TableWrittenMsg reports that a write took effect.
type TableWrittenMsg struct {
	ID      string
	Version sched.Version
}

// TableWriteFailedMsg reports a failed write. An error that wraps
// [sched.ErrConflict], [sched.ErrUnavailable] or [sched.ErrBudget] means that
// the write took no effect. After any other error it may have taken effect.
type TableWriteFailedMsg struct {
	ID  string
	Err error
}

// DrainMsg starts a graceful shutdown: the entry takes no more shards. The
// runner sends a [ReleaseMsg] for each shard once the shard is idle.
type DrainMsg struct{}

// ReleaseMsg reports that no effect of the shard is in progress and that none
// will be started. The entry releases the shard, and another entry may serve it
// at once.
type ReleaseMsg struct{ Shard sched.ShardID }
