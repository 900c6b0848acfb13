package bench

import (
	"fmt"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

var serviceNames = []sched.ServiceName{"Quotes", "Orders", "Invoices"}

var (
	taskShard = sched.ShardID{DataCentre: "Gasabo"}
	// benchStart is the virtual time at which the benchmarks of single machines
	// start.
	benchStart    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	taskResources = sched.Resources{CPU: 1000, Memory: 1 << 30}
)

// taskLedger implements [sched.Ledger] for workers of equal capacity.
type taskLedger struct {
	workers   []sched.WorkerCapacity
	index     map[sched.WorkerName]int
	instances []sched.Instance
}

func newTaskLedger(workers int, capacity sched.Resources) *taskLedger {
	l := &taskLedger{index: map[sched.WorkerName]int{}}
	for i := range workers {
		name := fmt.Sprintf("worker-%05d", i)
		rack := fmt.Sprint("rack-", i/8)
		l.index[sched.WorkerName(name)] = i
		l.workers = append(l.workers, sched.WorkerCapacity{
			Worker: sched.WorkerName(name), Rack: rack, Capacity: capacity, Free: capacity,
		})
		l.instances = append(l.instances, sched.Instance{
			Name: name, Role: sched.RoleWorker, State: sched.StateLive, Rack: rack, Capacity: capacity,
		})
	}
	return l
}

func (l *taskLedger) FreeCapacity() []sched.WorkerCapacity { return l.workers }

func (l *taskLedger) Reserve(w sched.WorkerName, r sched.Resources) bool {
	worker := &l.workers[l.index[w]]
	if !r.Fits(worker.Free) {
		return false
	}
	worker.Free = worker.Free.Sub(r)
	return true
}

func (l *taskLedger) Restore(w sched.WorkerName, r sched.Resources) {
	worker := &l.workers[l.index[w]]
	worker.Free = worker.Free.Sub(r)
}

func (l *taskLedger) Release(w sched.WorkerName, r sched.Resources) {
	worker := &l.workers[l.index[w]]
	worker.Free = worker.Free.Add(r)
}
