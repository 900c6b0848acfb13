package entry

import (
	"context"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// startServing starts the machines after the first write of the epoch, which
// fences the previous owner, has succeeded. It is called from run, with the lock
// held.
func (s *shard) startServing() {
	s.phase = phaseServing
	v, set := s.e.listView.Load(), s.e.shards.Load()
	workers, historyLongEnough := v.recentWorkers(set.layout, s.id, s.e.now())
	s.enqueue(machinePool, pool.WorkersMsg{Workers: v.workers[s.id], Fleet: v.fleet})
	s.enqueue(machinePool, pool.AcquiredMsg{Epoch: s.epoch})
	s.enqueue(machineDedup, dedup.AcquiredMsg{})
	s.enqueue(machineTasks, tasks.AcquiredMsg{Epoch: s.epoch, Workers: workers, HistoryLongEnough: historyLongEnough})
	s.enqueue(machineTasks, tasks.WorkersMsg{Workers: v.workers[s.id]})
	if s.suspended {
		s.enqueueSuspend()
	}
	s.e.log.Info("shard is being served", "shard", s.id, "epoch", s.epoch)
}

// enqueueSuspend does the same as suspendMachines for a shard that is starting to
// serve. It is called from run, with the lock held.
func (s *shard) enqueueSuspend() {
	s.enqueue(machinePool, pool.SuspendMsg{})
	s.enqueue(machineTasks, tasks.SuspendMsg{})
	s.enqueue(machineDedup, dedup.SuspendMsg{})
}

// resume ends a suspension if the epoch is still the same.
func (s *shard) resume(epoch sched.Epoch) {
	s.mu.Lock()
	defer s.unlock()
	if s.epoch != epoch || !s.suspended || s.releasing.Load() {
		return
	}
	s.suspended = false
	if s.phase != phaseServing {
		return
	}
	s.run(machinePool, pool.ResumeMsg{})
	s.run(machineTasks, tasks.ResumeMsg{})
	s.run(machineDedup, dedup.ResumeMsg{})
}

// stop stops serving the shard. It drops the state if the epoch is over, and
// otherwise suspends the machines until resume is called. In a handover it also
// releases the shard.
func (s *shard) stop(c owner.LostCmd) {
	s.mu.Lock()
	if s.epoch != c.Epoch {
		s.unlock()
		return
	}
	if c.Final {
		s.dropState()
		s.unlock()
		return
	}
	s.suspendMachines()
	s.unlock()
	if c.Reason == owner.LostHandover {
		s.e.spawn(s.release)
	}
}

// suspendMachines suspends the machines: no new effect starts, but the state is
// kept. The caller holds the lock.
func (s *shard) suspendMachines() {
	s.suspended = true
	if s.phase == phaseServing {
		s.run(machinePool, pool.SuspendMsg{})
		s.run(machineTasks, tasks.SuspendMsg{})
		s.run(machineDedup, dedup.SuspendMsg{})
	}
}

// dropState discards the state of an epoch that is over and refuses the calls
// that wait for a reply. The caller holds the lock.
func (s *shard) dropState() {
	s.run(machineCommit, commit.StopMsg{})
	s.run(machinePool, pool.LostMsg{})
	s.run(machineTasks, tasks.LostMsg{})
	s.run(machineDedup, dedup.LostMsg{})
	s.phase, s.commit, s.suspended = phaseNone, nil, false
	s.releasing.Store(false)
	s.stateGen++
	for id, ch := range s.keys {
		delete(s.keys, id)
		ch <- dedup.ReplyCmd{Waiter: id, Verdict: dedup.Refused, Reason: sched.ReasonNotOwner}
	}
	for id, ch := range s.jobs {
		delete(s.jobs, id)
		ch <- tasks.ReplyCmd{Waiter: id, Known: true, Reason: sched.ReasonNotOwner, Outcome: sched.Unknown}
	}
}

// release releases the shard once no request runs on it and its journal is
// idle, or after the drain timeout. The machines are suspended meanwhile, because
// a record that is appended after the release was requested would be lost.
func (s *shard) release(ctx context.Context) {
	s.mu.Lock()
	s.releasing.Store(true)
	s.suspendMachines()
	s.unlock()
	deadline := time.Now().Add(s.e.DrainTimeout)
	for !s.idle() && time.Now().Before(deadline) {
		if !pause(ctx, tickInterval) {
			return
		}
	}
	s.e.postOwner(owner.ReleaseMsg{Shard: s.id})
}

// idle reports whether the shard has no uncommitted record and no request that
// runs or waits for a slot.
func (s *shard) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commit != nil && s.phase == phaseServing && !s.commit.Idle() {
		return false
	}
	busy := slices.ContainsFunc(s.pool.Snapshot().Services, func(c pool.ServiceCount) bool {
		return c.Busy > 0 || c.Waiting > 0
	})
	return !busy
}
