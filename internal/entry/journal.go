package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// recoverRetry is the pause before a journal is read again after a failure.
const recoverRetry = 200 * time.Millisecond

// append passes a record to the commit machine. If the shard is not being served,
// it reports a failed commit instead.
func (s *shard) append(from machineKind, c sched.AppendCmd) {
	if s.commit == nil || s.phase != phaseServing {
		s.enqueue(from, sched.CommitFailedMsg{Ticket: c.Ticket, Reason: sched.ReasonNotOwner})
		return
	}
	s.enqueue(machineCommit, commit.AppendMsg{
		Waiter: commit.Waiter{From: c.Record.Kind, Ticket: c.Ticket}, Record: c.Record,
	})
}

// machineOf returns the machine that records of a kind belong to.
func machineOf(k sched.RecordKind) machineKind {
	if k == sched.RecordDedup {
		return machineDedup
	}
	return machineTasks
}

// journalCommand executes a command of the commit machine. It reports false for
// any other command. The caller holds the lock.
func (s *shard) journalCommand(c sched.Cmd) bool {
	stateGen := s.stateGen
	switch c := c.(type) {
	case commit.WriteCmd:
		s.effect(func(ctx context.Context) { s.writeJournal(ctx, stateGen, c) })
	case commit.ReadCmd:
		s.effect(func(ctx context.Context) { s.readJournal(ctx, stateGen, c.Key) })
	case commit.NeedSnapshotCmd:
		s.enqueue(machineSnapshot, nil)
	case commit.ReadyCmd:
		s.startServing()
	case commit.RecoverCmd:
		s.e.log.Info("journal changed during recovery; recovering again", "shard", s.id, "epoch", s.epoch)
		s.beginRecovery()
	case commit.DoneCmd:
		for _, w := range c.Waiters {
			s.enqueue(machineOf(w.From), sched.CommittedMsg{Ticket: w.Ticket})
		}
	case commit.FailedCmd:
		for _, w := range c.Waiters {
			s.enqueue(machineOf(w.From), sched.CommitFailedMsg{Ticket: w.Ticket, Reason: c.Reason, Lost: c.Lost})
		}
	case commit.FencedCmd:
		s.e.log.Warn("journal was taken over by another owner", "shard", s.id, "epoch", s.epoch, "theirs", c.Epoch)
		s.serveUntil.Store(0)
		s.effect(func(ctx context.Context) { s.fenced(ctx, stateGen) })
	default:
		return false
	}
	return true
}

// fenced drops the state of the shard after another owner took over its journal.
// It then reads the ownership table to learn the new owner.
func (s *shard) fenced(ctx context.Context, stateGen uint64) {
	s.mu.Lock()
	if s.stateGen == stateGen {
		s.dropState()
	}
	s.unlock()
	s.e.readTable(ctx)
}

func (s *shard) writeJournal(ctx context.Context, stateGen uint64, c commit.WriteCmd) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent := time.Now()
	version, err := s.e.Store.Put(ctx, c.Key, c.Value, c.Prev)
	if err != nil {
		s.e.stats.Count("Store", "JournalWriteFailed")
		s.postIfCurrent(stateGen, machineCommit, commit.WriteFailedMsg{ID: c.ID, Err: err})
		return
	}
	s.e.stats.Observe("Store", "JournalWrite", time.Since(sent))
	s.postIfCurrent(stateGen, machineCommit, commit.WriteDoneMsg{ID: c.ID, Version: version})
}

func (s *shard) readJournal(ctx context.Context, stateGen uint64, key string) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	item, err := s.e.Store.Get(ctx, key)
	s.postIfCurrent(stateGen, machineCommit, commit.ReadDoneMsg{Item: item, Err: err})
}

// acquire starts the recovery of a shard that this entry now owns.
func (s *shard) acquire(epoch sched.Epoch) {
	s.mu.Lock()
	if s.phase != phaseNone {
		s.dropState()
	}
	s.epoch, s.suspended = epoch, false
	s.releasing.Store(false)
	s.beginRecovery()
	s.unlock()
}

// beginRecovery discards the state of the shard and starts reading the journal.
// The caller holds the lock.
func (s *shard) beginRecovery() {
	s.stateGen++
	s.commit, s.phase = nil, phaseRecovering
	s.run(machineTasks, tasks.LostMsg{})
	s.run(machineDedup, dedup.LostMsg{})
	stateGen := s.stateGen
	s.effect(func(ctx context.Context) { s.recover(ctx, stateGen) })
}

// recover reads the journal and restores the shard from it. It retries until the
// read succeeds or the shard is lost.
func (s *shard) recover(ctx context.Context, stateGen uint64) {
	began := time.Now()
	for s.current(stateGen) {
		rec, err := s.readAll(ctx)
		if err == nil || isDamaged(err) {
			s.restore(stateGen, rec, err)
			s.e.stats.Observe("Shards", "Recovery", time.Since(began))
			return
		}
		s.e.log.Warn("reading the journal failed; retrying", "shard", s.id, "err", err)
		if !pause(ctx, recoverRetry) {
			return
		}
	}
}

// current reports whether the state of the shard has not been discarded since
// stateGen was read.
func (s *shard) current(stateGen uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateGen == stateGen
}

// maxGapReads is how many times a journal is read if a batch is missing from it. A
// batch can be missing from a list that was read while the previous owner wrote.
const maxGapReads = 5

// isDamaged reports whether a journal was read but cannot be used.
func isDamaged(err error) bool {
	var d *commit.DamagedError
	return errors.As(err, &d)
}

// readAll reads and decodes the journal. It reads again if a batch is missing.
func (s *shard) readAll(ctx context.Context) (commit.Recovered, error) {
	var rec commit.Recovered
	var err error
	for range maxGapReads {
		var snapshot, ring []sched.Item
		if snapshot, ring, err = s.listJournal(ctx); err != nil {
			return rec, err
		}
		rec, err = commit.Recover(s.id, snapshot, ring)
		if isDamaged(err) {
			rec, err = s.recoverReleased(ctx, snapshot, ring, err)
		}
		if !errors.Is(err, commit.ErrMissing) {
			return rec, err
		}
		pause(ctx, recoverRetry)
	}
	return rec, err
}

// listJournal returns the stored items of the snapshot and of the ring, which is
// the fixed set of keys that hold the newest batches.
func (s *shard) listJournal(ctx context.Context) (snapshot, ring []sched.Item, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	// The ring is listed first. A snapshot that is completed between the two
	// reads then covers only batches that the list of the ring contains.
	if ring, err = s.e.Store.List(ctx, commit.RingPrefix(s.id)); err != nil {
		return nil, nil, err
	}
	snapshot, err = s.e.Store.List(ctx, commit.SnapshotPrefix(s.id))
	return snapshot, ring, err
}

// restore restores the machines from the journal and starts the write that
// fences the previous owner.
func (s *shard) restore(stateGen uint64, rec commit.Recovered, err error) {
	s.mu.Lock()
	defer s.unlock()
	if s.stateGen != stateGen {
		return
	}
	if err == nil {
		err = s.replay(rec.Records)
	}
	if err != nil {
		s.markDamaged(err)
		return
	}
	s.phase = phaseFencing
	s.commit, s.interval = commit.New(rec, s.epoch, rand.Text()), 0
	s.run(machineCommit, sched.TickMsg{})
}

// replay restores the records, in order, into machines without state.
func (s *shard) replay(records []sched.Record) error {
	for _, r := range records {
		var err error
		if machineOf(r.Kind) == machineDedup {
			err = s.dedup.Restore(r)
		} else {
			err = s.tasks.Restore(r)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
