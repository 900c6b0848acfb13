package commit

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// RingSize is the number of slots in the ring of a shard's journal.
const RingSize = 64

// RingPrefix is the prefix of the keys of a shard's ring.
func RingPrefix(s sched.ShardID) string { return "Journal/" + s.String() + "/" }

// SnapshotPrefix is the prefix of the keys of a shard's snapshots.
func SnapshotPrefix(s sched.ShardID) string { return "Snapshot/" + s.String() + "/" }

// DamagedKey is the key under which the runner keeps a copy of a damaged batch.
func DamagedKey(s sched.ShardID, seq uint64) string {
	return "Damaged/" + s.String() + "/" + strconv.FormatUint(seq, 10)
}

// ReleasedPrefix is the prefix of the keys of a shard's releases. With a release
// an operator permits a shard to be served without the records of a damaged
// batch.
func ReleasedPrefix(s sched.ShardID) string { return "Released/" + s.String() + "/" }

// ReleasedKey is the key of the release of batch seq.
func ReleasedKey(s sched.ShardID, seq uint64) string {
	return ReleasedPrefix(s) + strconv.FormatUint(seq, 10)
}

// ReleasedSeq returns the sequence number of the batch that a release key names.
// It returns false if key is not a release key of the shard.
func ReleasedSeq(s sched.ShardID, key string) (uint64, bool) {
	rest, ok := strings.CutPrefix(key, ReleasedPrefix(s))
	if !ok {
		return 0, false
	}
	seq, err := strconv.ParseUint(rest, 10, 64)
	return seq, err == nil
}

// ringKey returns the key of the ring slot that holds batch seq.
func ringKey(s sched.ShardID, seq uint64) string {
	return fmt.Sprintf("%s%02d", RingPrefix(s), seq%RingSize)
}

func manifestKey(s sched.ShardID) string { return SnapshotPrefix(s) + "Manifest" }

// partKey returns the key of part i. Snapshots use the two sets of keys in turn,
// so the parts of the snapshot that the manifest names are never overwritten.
func partKey(s sched.ShardID, set, i int) string {
	return fmt.Sprintf("%s%d/%06d", SnapshotPrefix(s), set, i)
}

// slotOf returns the ring slot that a key names. It returns false if key is not
// a ring key of the shard.
func slotOf(s sched.ShardID, key string) (uint64, bool) {
	rest, ok := strings.CutPrefix(key, RingPrefix(s))
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(rest, 10, 64)
	return n, err == nil && n < RingSize
}
