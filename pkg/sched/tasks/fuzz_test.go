package tasks_test

import (
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// Guards against a journaled record that makes the new owner of a shard panic.
func FuzzRestore(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		cl := &cluster{used: map[sched.WorkerName]sched.Resources{}}
		m := tasks.New(shard, cl, place.NewPack())
		if m.Restore(sched.Record{Kind: sched.RecordTask, Data: data}) != nil {
			return
		}
		m.Update(startTime, tasks.AcquiredMsg{Epoch: 1, HistoryLongEnough: true})
		m.Update(startTime.Add(time.Minute), sched.TickMsg{})
		m.Snapshot()
	})
}

// Guards against an event of another shard that makes the owner panic.
func FuzzEvent(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		e, err := tasks.DecodeEvent(data)
		if err != nil {
			return
		}
		cl := &cluster{used: map[sched.WorkerName]sched.Resources{}}
		m := tasks.New(shard, cl, place.NewPack())
		m.Update(startTime, tasks.AcquiredMsg{Epoch: 1, HistoryLongEnough: true})
		m.Update(startTime, tasks.EventMsg{From: shard, Event: e})
		m.Update(startTime.Add(time.Minute), sched.TickMsg{})
	})
}
