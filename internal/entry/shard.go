package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// phase is the progress of a shard from acquisition to being served.
type phase string

const (
	// phaseNone means that this entry does not own the shard.
	phaseNone phase = "None"
	// phaseRecovering means that the journal is being read.
	phaseRecovering phase = "Recovering"
	// phaseFencing means that the first write of this epoch, which makes
	// later writes of the previous owner fail, has not completed yet.
	phaseFencing phase = "Fencing"
	phaseServing phase = "Serving"
	// phaseDamaged means that the shard cannot be served because its journal
	// is damaged.
	phaseDamaged phase = "Damaged"
)

// machineKind identifies the machine of a shard that a message is for.
type machineKind uint8

const (
	machinePool machineKind = iota
	machineTasks
	machineDedup
	machineCommit
	// machineSnapshot is not a machine. A message to it takes a snapshot of the
	// other machines. It goes through the queue so that the machines have
	// received the results of all earlier commits: the snapshot replaces the
	// batches that it covers.
	machineSnapshot
)

// shard runs the machines of one shard under one lock.
type shard struct {
	id sched.ShardID
	e  *Entry
	// serveUntil is the time, in nanoseconds since the start of the entry, from
	// which on no effect may start. It is 0 if the shard must not be served.
	serveUntil atomic.Int64
	// releasing is set from the decision to release the shard until its state
	// is dropped or the shard is acquired again.
	releasing atomic.Bool

	mu    sync.Mutex
	phase phase
	epoch sched.Epoch
	// stateGen is incremented whenever the state of the shard is discarded:
	// when a recovery begins and when the shard is lost. A result of an effect
	// that started under an earlier value is dropped.
	stateGen uint64
	// suspended is set while no new effect may start but the state is kept.
	suspended bool
	pool      *pool.Machine
	tasks     *tasks.Machine
	dedup     *dedup.Machine
	commit    *commit.Machine
	// interval is the commit interval that was last sent to the commit machine.
	interval time.Duration
	// damage identifies the damaged batch in phaseDamaged.
	damage *commit.DamagedError

	// grants, keys and jobs hold the channels on which callers wait for the
	// replies of the pool, dedup and tasks machines.
	grants map[uint64]chan sched.Cmd
	keys   map[uint64]chan dedup.ReplyCmd
	jobs   map[tasks.Waiter]chan tasks.ReplyCmd

	// queue holds the messages that run has not finished delivering.
	queue []queuedMsg
	// effects holds the effects that start when the lock is released.
	effects []func(context.Context)
}

// queuedMsg is a message that waits for delivery to a machine.
type queuedMsg struct {
	to  machineKind
	msg sched.Msg
}

// newShard returns a shard of a layout with the given number of shards. Each
// shard gets an equal share of every team's quota.
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
	return until != 0 && int64(s.e.now().Sub(s.e.start)) < until && !s.releasing.Load()
}

// post sends a message to a machine and starts the effects that result from it.
func (s *shard) post(to machineKind, msg sched.Msg) {
	s.mu.Lock()
	s.run(to, msg)
	s.unlock()
}

// postIfCurrent posts the result of an effect. It drops the result if the state
// of the shard has been discarded since the effect started.
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

// run delivers a message and all messages that result from it. The caller holds
// the lock.
func (s *shard) run(to machineKind, msg sched.Msg) {
	s.queue = append(s.queue, queuedMsg{to, msg})
	if len(s.queue) > 1 {
		// This call is nested in another call of run, which delivers the message.
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

// enqueue appends a message to the queue of the current call of run. It is used
// only while run delivers messages.
func (s *shard) enqueue(to machineKind, msg sched.Msg) {
	s.queue = append(s.queue, queuedMsg{to, msg})
}

// effect adds an effect that starts when the lock is released.
func (s *shard) effect(f func(context.Context)) { s.effects = append(s.effects, f) }

// command executes a command that a machine returned. The caller holds the lock.
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
		s.e.log.Error("command of a machine has an unknown type", "shard", s.id, "command", c)
	}
}

// deliverDecision passes a grant or a refusal to the request that waits for it.
func (s *shard) deliverDecision(id uint64, c sched.Cmd) {
	if ch, ok := s.grants[id]; ok {
		delete(s.grants, id)
		ch <- c
	}
}

// tick sends ticks to the machines. The commit machine gets one when its WakeAt
// time has come. The others get one when slow is set, which is on every
// slowTickEvery-th tick. The argument interval is the time between two commits
// that keeps the shard within its share of the entry's store writes.
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

// workersChanged sends the listed workers of the shard to its machines.
func (s *shard) workersChanged(v *listView) {
	s.mu.Lock()
	s.run(machinePool, pool.WorkersMsg{Workers: v.workers[s.id], Fleet: v.fleet})
	s.run(machineTasks, tasks.WorkersMsg{Workers: v.workers[s.id]})
	s.unlock()
}

// configure sends a new configuration to the machines.
func (s *shard) configure(cfg *sched.Config) {
	s.mu.Lock()
	s.run(machinePool, pool.ConfigMsg{Config: cfg})
	s.run(machineTasks, tasks.ConfigMsg{Config: cfg})
	s.unlock()
}

// entryGone tells the dedup machine that an entry has left the instance list.
func (s *shard) entryGone(name sched.EntryName) {
	s.post(machineDedup, dedup.EntryGoneMsg{EntryName: name})
}
