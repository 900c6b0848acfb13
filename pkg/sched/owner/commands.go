package owner

import "github.com/mangoslip/mangoslip/pkg/sched"

// ReadTableCmd asks the runner to read the table. The answer is a
// [TableReadMsg] or a [TableReadFailedMsg].
type ReadTableCmd struct{}

// WriteTableCmd asks the runner to write the table by compare-and-swap. The
// answer is a [TableWrittenMsg] or a [TableWriteFailedMsg] with the same id.
// The runner sends each write once and does not retry it.
type WriteTableCmd struct {
	Value []byte
	// Prev is the version that the store must hold for the write to succeed.
	// 0 means that the store must not hold the key.
	Prev sched.Version
	ID   string
}

// AcquiredCmd reports that the entry owns the shard under a new epoch. The
// runner recovers the journal of the shard before it serves.
type AcquiredCmd struct {
	Shard sched.ShardID
	Epoch sched.Epoch
}

// LostReason is why an entry stopped serving a shard.
type LostReason string

// The reasons for a stop.
const (
	// LostExpired: no confirmation is younger than ConfirmationAge.
	LostExpired LostReason = "EvidenceLapsed"
	// LostClaimed: the table shows a claim.
	LostClaimed LostReason = "Claimed"
	// LostUnlisted: the list does not show the entry, or shows it under
	// another generation.
	LostUnlisted LostReason = "Unlisted"
	// LostHandover: the entry gives the shard to an entry with fewer shards.
	// The runner sends a ReleaseMsg once the shard is idle.
	LostHandover LostReason = "Handover"
	// LostReplaced: the table shows another owner or epoch.
	LostReplaced LostReason = "Replaced"
	// LostReleased: the table shows the release.
	LostReleased LostReason = "Released"
)

// LostCmd asks the runner to start no more requests, grants, task starts or
// lease renewals of a shard. Running requests finish.
type LostCmd struct {
	Shard  sched.ShardID
	Epoch  sched.Epoch
	Reason LostReason
	// Final is set when the epoch has ended, so that the state in memory can
	// be discarded. Otherwise a ResumedCmd may follow.
	Final bool
}

// ResumedCmd reports that serving may continue after a stop: a table read shows
// the entry as owner in the same epoch without a claim. The state in memory is
// still valid.
type ResumedCmd struct {
	Shard sched.ShardID
	Epoch sched.Epoch
}
