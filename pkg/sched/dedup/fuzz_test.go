package dedup_test

import (
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
)

// Guards against a journaled idempotency record that makes the new owner of a
// shard panic.
func FuzzRestore(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		m := dedup.New()
		if m.Restore(sched.Record{Kind: sched.RecordDedup, Data: data}) != nil {
			return
		}
		now := time.Unix(1_700_000_000, 0)
		m.Update(now, dedup.AcquiredMsg{})
		m.Update(now.Add(time.Hour), sched.TickMsg{})
		m.Snapshot()
	})
}
