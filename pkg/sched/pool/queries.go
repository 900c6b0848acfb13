package pool

import "github.com/mangoslip/mangoslip/pkg/sched"

// ServiceCount is the load of one service in the shard.
type ServiceCount struct {
	Service  sched.ServiceName
	Targets  int
	Slots    int
	Busy     int
	Free     int
	Waiting  int
	LongBusy int
	Limit    int
}

// WorkerCount is the load of one worker. Operators read it as JSON under these
// field names.
type WorkerCount struct {
	Worker sched.WorkerName
	// Known is false while load of earlier epochs may be missing.
	Known   bool
	Leaving bool
	Ejected bool
	// Busy is the number of slots in use by grants of this machine.
	Busy int
	// Foreign is the number of slots that may be busy with other requests:
	// those of earlier epochs and those that ended with an unknown outcome.
	Foreign int
	// Tasks is the number of tasks, and Batch the resources that they reserve.
	Tasks    int
	Batch    sched.Resources
	Capacity sched.Resources
	// Used is the resources that slots in use and tasks reserve together.
	Used sched.Resources
}

// Counts is the load of the shard for status pages.
type Counts struct {
	Epoch    sched.Epoch
	Serving  bool
	Bodies   sched.Bytes
	Services []ServiceCount
	Workers  []WorkerCount
}

// Free returns the number of free slots that a new request of a service would
// find, minus the number of waiting requests. It is negative if requests wait.
// It is 0 if the shard refuses requests of the service.
func (m *Machine) Free(name sched.ServiceName) int {
	s := m.servicesByName[name]
	if m.refusalReason(s) != "" {
		return 0
	}
	n := min(s.free, s.limit.Limit()-s.limit.InFlight())
	return n - s.queue.Len()
}

// Targets returns the number of a service's targets on live workers.
func (m *Machine) Targets(name sched.ServiceName) int {
	if s := m.servicesByName[name]; s != nil {
		return s.targets
	}
	return 0
}

// Snapshot returns the counts of the shard.
func (m *Machine) Snapshot() Counts {
	c := Counts{Epoch: m.epoch, Serving: m.serving, Bodies: m.bodies.Used()}
	for _, s := range m.services {
		c.Services = append(c.Services, ServiceCount{
			Service:  s.Name,
			Targets:  s.targets,
			Slots:    s.slots,
			Busy:     s.limit.InFlight(),
			Free:     m.Free(s.Name),
			Waiting:  s.queue.Len(),
			LongBusy: s.queue.LongBusy(),
			Limit:    s.limit.Limit(),
		})
	}
	for _, w := range m.sortedWorkers {
		c.Workers = append(c.Workers, w.count())
	}
	return c
}

func (w *worker) count() WorkerCount {
	c := WorkerCount{
		Worker:   w.name,
		Known:    w.loadKnown,
		Leaving:  !w.listed || w.State != sched.StateLive,
		Ejected:  w.health.state != healthy,
		Tasks:    w.tasks,
		Batch:    w.batch,
		Capacity: w.Capacity,
		Used:     w.batch.Add(w.slotUse()),
	}
	for _, t := range w.targets {
		c.Busy += t.busy
		c.Foreign += t.untracked()
	}
	return c
}
