package config

import (
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Source is where a value was read.
type Source string

// The sources of a value.
const (
	SourceWatch Source = "Watch"
	SourcePoll  Source = "Poll"
	SourcePeer  Source = "Peer"
)

// StoredMsg carries a stored value. For a read that found no key, the value is
// empty and the version is 0.
type StoredMsg struct {
	// Key is empty or [CurrentKey] for the configuration, otherwise the key
	// of the read that this answers.
	Key   string
	Value []byte
	// Version is 0 if a peer did not relay it.
	Version sched.Version
	Source  Source
	// Read is the number of the [ReadCmd] that this answers, 0 for a value
	// from a watch or a peer.
	Read uint64
}

// ReadFailedMsg reports that a [ReadCmd] got no answer.
type ReadFailedMsg struct {
	Read uint64
	Err  error
}

// EditMsg asks to replace the services text.
type EditMsg struct {
	// Waiter identifies the caller in the [ReplyCmd].
	Waiter uint64
	Text   string
	// IfMatch is the revision that the edit is based on, 0 for the first.
	IfMatch sched.Revision
	Author  string
}

// WriteDoneMsg reports that a write took effect.
type WriteDoneMsg struct {
	ID      string
	Version sched.Version
}

// WriteFailedMsg reports that a write failed. If Err is [sched.ErrConflict],
// [sched.ErrUnavailable] or [sched.ErrBudget], the write did not take effect.
// Any other error means that it may have taken effect.
type WriteFailedMsg struct {
	ID  string
	Err error
}

// PeerRevisionMsg reports the revision that a peer has in force.
type PeerRevisionMsg struct {
	Peer     sched.EntryName
	Revision sched.Revision
}

// TickMsg tells the machine that time has passed. [sched.TickMsg] does the same.
type TickMsg struct{}

// ApplyCmd puts a configuration in force.
type ApplyCmd struct{ Config *sched.Config }

// WriteCmd writes a value if the key's version is Prev.
type WriteCmd struct {
	Key   string
	Value []byte
	Prev  sched.Version
	// ID is returned in the answer.
	ID string
}

// ReadCmd reads a key.
type ReadCmd struct {
	Key string
	// Read is returned in the answer.
	Read uint64
}

// FetchCmd asks a peer for its stored value.
type FetchCmd struct{ Peer sched.EntryName }

// ReplyCmd answers an [EditMsg].
type ReplyCmd struct {
	Waiter uint64
	// Revision is the accepted revision if Err is nil.
	Revision sched.Revision
	// Err is nil, a [*ConflictError], an [*InvalidError], an
	// [*UnavailableError] or an [*UnknownError].
	Err error
}
