package owner_test

import (
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// Guards against a stored ownership table that makes entries panic.
func FuzzTable(f *testing.F) {
	f.Fuzz(func(_ *testing.T, value []byte) {
		now := time.Unix(1_700_000_000, 0)
		m := owner.New("e", "p", owner.WithDataCentre("a"), owner.WithLayout([]sched.DataCentre{"a", "b"}, 2))
		m.Update(now, owner.TableReadMsg{SentAt: now, Value: value, Version: 7})
		m.Update(now, owner.ListReadMsg{SentAt: now, Instances: []sched.Instance{
			{Name: "e", Role: sched.RoleEntry, State: sched.StateLive, DataCentre: "a", Generation: 1},
		}})
		for range 3 {
			now = now.Add(time.Second)
			m.Update(now, sched.TickMsg{})
		}
	})
}
