package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// phase is how far a shard is on its way to being served.
type phase string

const (
	phaseNone phase = "None"
	// phaseRecovering: the journal is being read.
	phaseRecovering phase = "Recovering"
	// phaseFencing: the first write of this epoch is on its way.
	phaseFencing phase = "Fencing"
	phaseServing phase = "Serving"
	// phaseDamaged: a damaged batch keeps the shard from being served.
	phaseDamaged phase = "Damaged"
)

// machineKind names the machine that a message is for.
type machineKind uint8

const (
	machinePool machineKind = iota
	machineTasks
	machineDedup
	machineCommit
	// machineSnapshot takes a snapshot of the machines in its turn: after the
	// results of all earlier commits have reached them, since the snapshot
	// stands for the batches that it covers.
	machineSnapshot
)

// shard runs the machines of one shard under one lock.
type shard struct {
	id sched.ShardID
	e  *Entry
	// serveUntil is the instant, as nanoseconds since the start of the entry, from
	// which no effect may start; 0 if the shard is not served.
	serveUntil atomic.Int64
	// releasing is set from the decision to release the shard until it is
	// owned again.
	releasing atomic.Bool

	mu    sync.Mutex
	phase phase
	epoch sched.Epoch
	// stateGen counts acquisitions and losses, so that a late result of an
	// earlier one is dropped.
	stateGen  uint64
	suspended bool
	pool      *pool.Machine
	tasks     *tasks.Machine
	dedup     *dedup.Machine
	commit    *commit.Machine
	// interval is the one that the commit machine was told last.
	interval time.Duration
	// damage is the batch that keeps the shard in phaseDamaged.
	damage *commit.DamagedError
	// inventoried holds the workers whose tasks have been restored in this
	// epoch; only then does the pool learn their load.
	inventoried map[sched.WorkerName]bool

	grants map[uint64]chan sched.Cmd
	keys   map[uint64]chan dedup.ReplyCmd
	jobs   map[tasks.Waiter]chan tasks.ReplyCmd

	queue   []queuedMsg
	effects []func(context.Context)
}

// queuedMsg is a message on its way to a machine.
type queuedMsg struct {
	to  machineKind
	msg sched.Msg
}

// newShard returns a shard of a layout with the given number of shards. Each
// hosts its part of the teams' quotas.
func newShard(e *Entry, id sched.ShardID, shards int) *shard {
	seed := e.ids.Add(1)
	s := &shard{
		id: id, e: e, phase: phaseNone,
		pool:   pool.New(pool.WithSeed(seed)),
		dedup:  dedup.New(),
		grants: map[uint64]chan sched.Cmd{},
		keys:   map[uint64]chan dedup.ReplyCmd{},
		jobs:   map[tasks.Waiter]chan tasks.ReplyCmd{},
	}
	s.tasks = tasks.New(id, s.pool, place.NewPack(), tasks.WithQuotaShare(1/float64(shards)))
	if cfg := e.conf.inForce(); cfg != nil {
		s.run(machinePool, pool.ConfigMsg{Config: cfg})
		s.run(machineTasks, tasks.ConfigMsg{Config: cfg})
	}
	return s
}

// serving reports whether an effect of the shard may start now.
func (s *shard) serving() bool {
	until := s.serveUntil.Load()
	return until != 0 && int64(time.Since(s.e.start)) < until && !s.releasing.Load()
}

// post feeds a message to a machine and starts the effects that follow.
func (s *shard) post(to machineKind, msg sched.Msg) {
	s.mu.Lock()
	s.run(to, msg)
	s.unlock()
}

// postIfCurrent is post for a result of an effect; it is dropped if the shard was
// lost or acquired again since.
func (s *shard) postIfCurrent(stateGen uint64, to machineKind, msg sched.Msg) {
	s.mu.Lock()
	if stateGen == s.stateGen {
		s.run(to, msg)
	}
	s.unlock()
}

// unlock releases the lock and starts the effects that were collected.
func (s *shard) unlock() {
	effects := s.effects
	s.effects = nil
	s.mu.Unlock()
	for _, f := range effects {
		s.e.spawn(f)
	}
}

// run delivers a message and all messages that follow from it. The caller
// holds the lock.
func (s *shard) run(to machineKind, msg sched.Msg) {
	s.queue = append(s.queue, queuedMsg{to, msg})
	if len(s.queue) > 1 {
		// An outer call delivers it.
		return
	}
	now := time.Now()
	for i := 0; i < len(s.queue); i++ {
		queued := s.queue[i]
		for _, c := range s.update(now, queued) {
			s.command(queued.to, c)
		}
	}
	s.queue = s.queue[:0]
}

func (s *shard) update(now time.Time, queued queuedMsg) []sched.Cmd {
	switch queued.to {
	case machinePool:
		return s.pool.Update(now, queued.msg)
	case machineTasks:
		return s.tasks.Update(now, queued.msg)
	case machineDedup:
		return s.dedup.Update(now, queued.msg)
	case machineSnapshot:
		records := append(s.dedup.Snapshot(), s.tasks.Snapshot()...)
		s.enqueue(machineCommit, commit.SnapshotMsg{Records: records})
		return nil
	default:
		if s.commit == nil {
			return nil
		}
		return s.commit.Update(now, queued.msg)
	}
}

// enqueue delivers a message after the ones that are waiting.
func (s *shard) enqueue(to machineKind, msg sched.Msg) {
	s.queue = append(s.queue, queuedMsg{to, msg})
}

// effect collects an effect that starts once the lock is released.
func (s *shard) effect(f func(context.Context)) { s.effects = append(s.effects, f) }

// command executes a command of a machine. The caller holds the lock.
func (s *shard) command(from machineKind, c sched.Cmd) {
	switch c := c.(type) {
	case sched.AppendCmd:
		s.append(from, c)
	case pool.GrantCmd:
		s.deliverDecision(c.ID, c)
	case pool.RefuseCmd:
		s.deliverDecision(c.ID, c)
	case dedup.ReplyCmd:
		if ch, ok := s.keys[c.Waiter]; ok {
			delete(s.keys, c.Waiter)
			ch <- c
		}
	case tasks.ReplyCmd:
		if ch, ok := s.jobs[c.Waiter]; ok {
			delete(s.jobs, c.Waiter)
			ch <- c
		}
	default:
		if s.journalCommand(c) || s.workCommand(c) {
			return
		}
		s.e.log.Error("command without an executor", "shard", s.id, "command", c)
	}
}

// deliverDecision hands a grant or a refusal to the request that waits for it.
func (s *shard) deliverDecision(id uint64, c sched.Cmd) {
	if ch, ok := s.grants[id]; ok {
		delete(s.grants, id)
		ch <- c
	}
}

// tick sends time to the machines. The interval is the shard's part of the
// entry's store writes.
func (s *shard) tick(slow bool, interval time.Duration) {
	s.mu.Lock()
	if slow && s.commit != nil && interval != s.interval {
		s.interval = interval
		s.run(machineCommit, commit.BudgetMsg{Interval: interval})
	}
	if s.commit != nil {
		if at, ok := s.commit.WakeAt(); ok && !time.Now().Before(at) {
			s.run(machineCommit, sched.TickMsg{})
		}
	}
	if slow {
		s.run(machinePool, sched.TickMsg{})
		if s.phase == phaseServing {
			s.run(machineTasks, sched.TickMsg{})
			s.run(machineDedup, sched.TickMsg{})
		}
	}
	s.unlock()
}

// workersChanged tells the machines of the shard's workers.
func (s *shard) workersChanged(v *view) {
	s.mu.Lock()
	s.run(machinePool, pool.WorkersMsg{Workers: v.workers[s.id], Fleet: v.fleet})
	s.run(machineTasks, tasks.WorkersMsg{Workers: v.workers[s.id]})
	s.unlock()
}

// configure puts a configuration in force.
func (s *shard) configure(cfg *sched.Config) {
	s.mu.Lock()
	s.run(machinePool, pool.ConfigMsg{Config: cfg})
	s.run(machineTasks, tasks.ConfigMsg{Config: cfg})
	s.unlock()
}

// entryGone tells the idempotency records that an entry left the list.
func (s *shard) entryGone(name sched.EntryName) {
	s.post(machineDedup, dedup.EntryGoneMsg{EntryName: name})
}

// startServing starts the machines after the journal is fenced. The caller holds the
// lock.
func (s *shard) startServing() {
	s.phase = phaseServing
	v, set := s.e.view.Load(), s.e.shards.Load()
	workers, historyLongEnough := v.recentWorkers(set.layout, s.id, time.Now())
	s.inventoried = map[sched.WorkerName]bool{}
	s.enqueue(machinePool, pool.WorkersMsg{Workers: v.workers[s.id], Fleet: v.fleet})
	s.enqueue(machinePool, pool.AcquiredMsg{Epoch: s.epoch})
	s.enqueue(machineDedup, dedup.AcquiredMsg{})
	s.enqueue(machineTasks, tasks.AcquiredMsg{Epoch: s.epoch, Workers: workers, HistoryLongEnough: historyLongEnough})
	s.enqueue(machineTasks, tasks.WorkersMsg{Workers: v.workers[s.id]})
	if s.suspended {
		s.enqueueSuspend()
	}
	s.e.log.Info("shard served", "shard", s.id, "epoch", s.epoch)
}

// enqueueSuspend stops new effects of the shard while the state is kept. The caller
// holds the lock.
func (s *shard) enqueueSuspend() {
	s.enqueue(machinePool, pool.SuspendMsg{})
	s.enqueue(machineTasks, tasks.SuspendMsg{})
	s.enqueue(machineDedup, dedup.SuspendMsg{})
}

// resume continues after a suspension in the same epoch.
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

// stop ends the service of the shard: for good if the epoch is over, else
// until a resume.
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

// suspendMachines suspends the machines. The caller holds the lock.
func (s *shard) suspendMachines() {
	s.suspended = true
	if s.phase == phaseServing {
		s.run(machinePool, pool.SuspendMsg{})
		s.run(machineTasks, tasks.SuspendMsg{})
		s.run(machineDedup, dedup.SuspendMsg{})
	}
}

// dropState drops the state of an epoch that is over. The caller holds the lock.
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

// release gives the shard back once no request runs and the journal is idle.
// Nothing new is taken meanwhile: a record that is appended after the release
// was asked for would be lost.
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

// idle reports whether no effect of the shard is in progress.
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
