package commit_test

import (
	"testing"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
)

// Guards against a stored journal that makes the new owner of a shard panic.
func FuzzRecover(f *testing.F) {
	f.Fuzz(func(_ *testing.T, key string, value []byte, snapshot bool) {
		shard := sched.ShardID{DataCentre: "a"}
		items := []sched.Item{{Key: key, Value: value, Version: 1}}
		if snapshot {
			_, _ = commit.Recover(shard, items, nil)
			return
		}
		_, _ = commit.Recover(shard, nil, items)
	})
}
