package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// workerCallTimeout bounds one call to a worker. The tasks machine assumes that a
// call may reach the worker until this time has passed.
const workerCallTimeout = time.Second

// workCommand executes a command that calls a worker or sends an event to another
// shard. It reports false for any other command. The caller holds the lock.
func (s *shard) workCommand(c sched.Cmd) bool {
	stateGen := s.stateGen
	switch c := c.(type) {
	case tasks.StartCmd:
		s.effect(func(ctx context.Context) { s.startTask(ctx, stateGen, c) })
	case tasks.RenewCmd:
		s.effect(func(ctx context.Context) { s.renew(ctx, stateGen, c) })
	case tasks.StopCmd:
		s.effect(func(ctx context.Context) { s.stopTask(ctx, stateGen, c) })
	case tasks.ThrottleCmd:
		s.effect(func(ctx context.Context) { s.throttle(ctx, c) })
	case tasks.AcknowledgeCmd:
		s.effect(func(ctx context.Context) { s.acknowledge(ctx, c) })
	case tasks.InventoryCmd:
		s.effect(func(ctx context.Context) { s.takeTaskInventory(ctx, stateGen, c) })
	case pool.InventoryCmd:
		s.effect(func(ctx context.Context) { s.takePoolInventory(ctx, stateGen, c) })
	case tasks.EventCmd:
		s.effect(func(ctx context.Context) { s.e.sendEvent(ctx, s.id, c) })
	default:
		return false
	}
	return true
}

// callWorker makes one call to a worker. It makes no call if no effect of the
// shard may start now.
func (s *shard) callWorker(ctx context.Context, name sched.WorkerName, f func(context.Context, sched.Instance) error) tasks.CallOutcome {
	w, ok := s.e.listView.Load().worker(name)
	if !ok || !s.serving() {
		return tasks.CallUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	err := f(ctx, w)
	switch {
	case err == nil:
		return tasks.CallOK
	case errors.Is(err, sched.ErrUnavailable):
		s.e.stats.Count("Workers", "Unavailable")
		return tasks.CallUnavailable
	case errors.Is(err, sched.ErrOtherIncarnation):
		s.e.stats.Count("Workers", "OtherIncarnation")
		return tasks.CallOtherIncarnation
	case errors.Is(err, sched.ErrStaleEpoch), errors.Is(err, sched.ErrRefused):
		s.e.stats.Count("Workers", "Refused")
		return tasks.CallRefused
	default:
		s.e.stats.Count("Workers", "Lost")
		return tasks.CallLost
	}
}

func (s *shard) startTask(ctx context.Context, stateGen uint64, c tasks.StartCmd) {
	out := s.callWorker(ctx, c.Worker, func(ctx context.Context, w sched.Instance) error {
		return s.e.Workers.Start(ctx, w.Control, c.Start)
	})
	s.e.stats.Count("Tasks", "Started")
	s.postIfCurrent(stateGen, machineTasks, tasks.StartResultMsg{
		Worker: c.Worker, Task: c.Start.Lease.Task, Attempt: c.Start.Lease.Attempt, Outcome: out,
	})
}

func (s *shard) renew(ctx context.Context, stateGen uint64, c tasks.RenewCmd) {
	var missing []sched.TaskID
	out := s.callWorker(ctx, c.Worker, func(ctx context.Context, w sched.Instance) (err error) {
		missing, err = s.e.Workers.Renew(ctx, w.Control, c.Leases)
		return err
	})
	s.postIfCurrent(stateGen, machineTasks, tasks.RenewResultMsg{Worker: c.Worker, Missing: missing, Outcome: out})
}

func (s *shard) stopTask(ctx context.Context, stateGen uint64, c tasks.StopCmd) {
	var report sched.TaskReport
	out := s.callWorker(ctx, c.Worker, func(ctx context.Context, w sched.Instance) (err error) {
		report, err = s.e.Workers.Stop(ctx, w.Control, c.Lease, c.Checkpoint)
		return err
	})
	if c.Checkpoint {
		s.e.stats.Count("Tasks", "Evicted")
	}
	s.postIfCurrent(stateGen, machineTasks, tasks.StopResultMsg{
		Worker: c.Worker, Task: c.Lease.Task, Attempt: c.Lease.Attempt, Outcome: out, Report: report,
	})
}

func (s *shard) throttle(ctx context.Context, c tasks.ThrottleCmd) {
	s.callWorker(ctx, c.Worker, func(ctx context.Context, w sched.Instance) error {
		return s.e.Workers.Throttle(ctx, w.Control, c.Lease, c.Share)
	})
	s.e.stats.Count("Tasks", "Throttled")
}

func (s *shard) acknowledge(ctx context.Context, c tasks.AcknowledgeCmd) {
	s.callWorker(ctx, c.Worker, func(ctx context.Context, w sched.Instance) error {
		return s.e.Workers.Acknowledge(ctx, w.Control, c.Leases)
	})
}

// takeTaskInventory requests a worker's inventory for the tasks machine. The pool
// gets the same inventory afterwards, when the tasks machine has restored the
// resources of the running tasks. The tasks machine ignores the answer to a poll that it
// has given up.
func (s *shard) takeTaskInventory(ctx context.Context, stateGen uint64, c tasks.InventoryCmd) {
	asked := time.Now()
	inv, out := s.inventory(ctx, c.Worker, c.Epoch)
	s.mu.Lock()
	defer s.unlock()
	if s.stateGen != stateGen {
		return
	}
	s.run(machineTasks, tasks.InventoryMsg{Worker: c.Worker, Seq: c.Seq, Outcome: out, Inventory: inv})
	if out == tasks.CallOK && s.tasks.Inventoried(c.Worker) {
		s.run(machinePool, pool.InventoryMsg{Worker: c.Worker, Epoch: c.Epoch, AskedAt: asked, Inventory: inv})
	}
}

// errOtherWorker means that another worker answered at the address of a worker.
var errOtherWorker = fmt.Errorf("%w: another worker answered", sched.ErrLost)

// inventory requests the inventory of a worker. The inventory of another one, which has
// started at the address before the list shows it, is not used.
func (s *shard) inventory(ctx context.Context, name sched.WorkerName, epoch sched.Epoch) (inv sched.Inventory, out tasks.CallOutcome) {
	out = s.callWorker(ctx, name, func(ctx context.Context, w sched.Instance) (err error) {
		inv, err = s.e.Workers.Inventory(ctx, w.Control, s.id, epoch)
		if err == nil && inv.Worker != name {
			return errOtherWorker
		}
		return err
	})
	return inv, out
}

// takePoolInventory requests a worker's inventory for the pool. The inventory is
// dropped if the tasks machine has not restored the tasks of the worker yet.
func (s *shard) takePoolInventory(ctx context.Context, stateGen uint64, c pool.InventoryCmd) {
	asked := time.Now()
	inv, out := s.inventory(ctx, c.Worker, c.Epoch)
	s.mu.Lock()
	defer s.unlock()
	if s.stateGen == stateGen && out == tasks.CallOK && s.tasks.Inventoried(c.Worker) {
		s.run(machinePool, pool.InventoryMsg{Worker: c.Worker, Epoch: c.Epoch, AskedAt: asked, Inventory: inv})
	}
}

// sendEvent makes one attempt to deliver an event to a shard, which this entry or
// a peer owns. The tasks machine sends an event again until it is acknowledged.
func (e *Entry) sendEvent(ctx context.Context, from sched.ShardID, c tasks.EventCmd) {
	to, ok := e.ownerOf(c.To)
	if !ok {
		return
	}
	encoded := [][]byte{tasks.EncodeEvent(c.Event)}
	if to == e.Name {
		e.TaskEvents(ctx, from, c.To, encoded)
		return
	}
	p, ok := e.dialEntry(to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if _, err := p.TaskEvents(ctx, from, c.To, encoded); err != nil {
		e.stats.Count("Peers", "EventFailed")
	}
}

// TaskEvents implements peer.Backend.
func (e *Entry) TaskEvents(_ context.Context, from, to sched.ShardID, events [][]byte) sched.Reason {
	s, ok := e.shards.Load().byID[to]
	if !ok || !s.serving() {
		return sched.ReasonNotOwner
	}
	for _, b := range events {
		ev, err := tasks.DecodeEvent(b)
		if err != nil {
			e.log.Error("decoding a task event failed", "from", from, "to", to, "err", err)
			return sched.ReasonBadRequest
		}
		s.post(machineTasks, tasks.EventMsg{From: from, Event: ev})
	}
	return ""
}
