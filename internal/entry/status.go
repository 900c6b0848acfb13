package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// assignedShards returns the shards that belong to this entry according to the
// ownership table as last read.
func (e *Entry) assignedShards() []sched.ShardID {
	e.own.Lock()
	defer e.own.Unlock()
	if e.own.m == nil {
		return nil
	}
	return e.own.m.AssignedShards()
}

// Serving returns the shards that this entry serves now: those that it owns and
// has recovered, and whose ownership has been confirmed recently enough.
func (e *Entry) Serving() []sched.ShardID {
	var out []sched.ShardID
	for _, id := range e.shards.Load().layout {
		s := e.shards.Load().byID[id]
		s.mu.Lock()
		if s.phase == phaseServing && !s.suspended && s.serving() {
			out = append(out, id)
		}
		s.mu.Unlock()
	}
	return out
}

// Revision returns the revision of the configuration in force, or 0 if there is
// none.
func (e *Entry) Revision() sched.Revision { return e.conf.revision() }

// Status returns the state of the scheduler as far as this entry knows it.
func (e *Entry) Status() client.Status {
	e.conf.mu.Lock()
	stored, _ := e.conf.m.Stored()
	e.conf.mu.Unlock()
	return client.Status{
		Revision: stored.Revision, InForce: e.Revision(),
		Entries: e.entryStatus(), Services: e.serviceStatus(), Damaged: e.damagedBatches(),
	}
}

// entryStatus returns the listed entries with the shards that they own and the
// revisions that they reported.
func (e *Entry) entryStatus() []client.EntryStatus {
	owned := map[sched.EntryName][]sched.ShardID{}
	for _, id := range e.shards.Load().layout {
		if name, ok := e.ownerOf(id); ok {
			owned[name] = append(owned[name], id)
		}
	}
	e.hints.Lock()
	defer e.hints.Unlock()
	var out []client.EntryStatus
	for name, in := range e.listView.Load().entries {
		s := client.EntryStatus{Name: name, DataCentre: in.DataCentre, State: in.State, Shards: owned[name]}
		if name == e.Name {
			s.InForce = e.Revision()
		} else {
			s.InForce = e.hints.views[name].Revision
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b client.EntryStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// serviceStatus returns the services with their slots and queues, summed over the
// shards of this entry.
func (e *Entry) serviceStatus() []client.ServiceStatus {
	cfg := e.conf.inForce()
	if cfg == nil {
		return nil
	}
	counts := map[sched.ServiceName]pool.ServiceCount{}
	for _, s := range e.shards.Load().byID {
		s.mu.Lock()
		for _, c := range s.pool.Snapshot().Services {
			sum := counts[c.Service]
			sum.Busy, sum.Slots, sum.Waiting = sum.Busy+c.Busy, sum.Slots+c.Slots, sum.Waiting+c.Waiting
			counts[c.Service] = sum
		}
		s.mu.Unlock()
	}
	blocked := text.Blocked(cfg)
	out := make([]client.ServiceStatus, 0, len(cfg.Services))
	for i := range cfg.Services {
		svc := &cfg.Services[i]
		c := counts[svc.Name]
		out = append(out, client.ServiceStatus{
			Name: svc.Name, State: svc.State, BlockedBy: blocked[svc.Name],
			Busy: c.Busy, Slots: c.Slots, Queued: c.Waiting,
		})
	}
	return out
}

// WorkerStatus is one worker of a shard that the entry serves.
type WorkerStatus struct {
	Shard sched.ShardID
	pool.WorkerCount
}

// workerStatus returns the workers of the shards that this entry serves, with
// their counts of slots and tasks.
func (e *Entry) workerStatus() []WorkerStatus {
	var out []WorkerStatus
	for id, s := range e.shards.Load().byID {
		if !s.serving() {
			continue
		}
		s.mu.Lock()
		for _, w := range s.pool.Snapshot().Workers {
			out = append(out, WorkerStatus{Shard: id, WorkerCount: w})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b WorkerStatus) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}

// gauges updates the gauges. It is called only when the metrics are read, because
// the values of the gauges change too often for an update at each change.
func (e *Entry) gauges(now time.Time) {
	e.stats.Gauge("Requests.InFlight", e.inFlight.Load())
	e.stats.Gauge("Shards.Serving", int64(len(e.Serving())))
	e.stats.Gauge("Config.Revision", int64(e.Revision()))
	e.stats.Gauge("List.AgeMillis", now.Sub(e.listView.Load().at).Milliseconds())
	for _, s := range e.serviceStatus() {
		e.stats.Gauge("Busy."+string(s.Name), int64(s.Busy))
		e.stats.Gauge("Slots."+string(s.Name), int64(s.Slots))
		e.stats.Gauge("Queued."+string(s.Name), int64(s.Queued))
	}
}
