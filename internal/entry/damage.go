package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
)

// releaseInterval is the interval at which an entry checks whether an operator
// has released the damaged batch of a shard that it owns.
const releaseInterval = 2 * time.Second

// errNotReleased is returned if a release could not be stored.
var errNotReleased = errors.New("the store did not take the release; try again")

// released is the stored form of an operator's release of a damaged batch.
type released struct {
	Author string
	Time   time.Time
}

// recoverReleased recovers a damaged journal without the batches that an
// operator has released. If none is released, it returns the damage error.
func (s *shard) recoverReleased(ctx context.Context, snapshot, ring []sched.Item, damage error) (commit.Recovered, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	items, err := s.e.Store.List(ctx, commit.ReleasedPrefix(s.id))
	if err != nil {
		return commit.Recovered{}, err
	}
	var seqs []uint64
	for _, it := range items {
		if seq, ok := commit.ReleasedSeq(s.id, it.Key); ok {
			seqs = append(seqs, seq)
		}
	}
	if len(seqs) == 0 {
		return commit.Recovered{}, damage
	}
	return commit.Recover(s.id, snapshot, ring, seqs...)
}

// markDamaged marks the shard as damaged, so that it is not served. It copies the
// damaged batch and waits until an operator releases it. The caller holds the
// lock.
func (s *shard) markDamaged(err error) {
	s.phase = phaseDamaged
	s.e.stats.Count("Shards", "Damaged")
	s.e.log.Error("journal is damaged, shard is not served", "shard", s.id, "err", err)
	var d *commit.DamagedError
	if !errors.As(err, &d) {
		return
	}
	s.damage = d
	stateGen := s.stateGen
	s.effect(func(ctx context.Context) {
		s.copyDamagedBatch(ctx, d)
		for s.current(stateGen) && pause(ctx, releaseInterval) {
			if s.isReleased(ctx, d.Seq) {
				s.recoverAgain(stateGen)
				return
			}
		}
	})
}

// copyDamagedBatch copies a damaged batch to a key of its own, because the ring
// of the journal overwrites the original later.
func (s *shard) copyDamagedBatch(ctx context.Context, d *commit.DamagedError) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	item, err := s.e.Store.Get(ctx, d.Key)
	if err == nil {
		_, err = s.e.Store.Put(ctx, commit.DamagedKey(s.id, d.Seq), item.Value, 0)
	}
	// The copy may exist from an earlier attempt.
	if err != nil && !errors.Is(err, sched.ErrConflict) {
		s.e.log.Warn("copying the damaged batch failed", "shard", s.id, "seq", d.Seq, "err", err)
	}
}

func (s *shard) isReleased(ctx context.Context, seq uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err := s.e.Store.Get(ctx, commit.ReleasedKey(s.id, seq))
	return err == nil
}

// recoverAgain restarts the recovery of the shard after a release.
func (s *shard) recoverAgain(stateGen uint64) {
	s.mu.Lock()
	if s.stateGen == stateGen {
		s.beginRecovery()
	}
	s.unlock()
}

// damagedBatches returns the damaged batches of the shards that this entry owns.
func (e *Entry) damagedBatches() []client.DamagedBatch {
	var out []client.DamagedBatch
	set := e.shards.Load()
	for _, id := range set.layout {
		s := set.byID[id]
		s.mu.Lock()
		if s.phase == phaseDamaged && s.damage != nil {
			out = append(out, client.DamagedBatch{Shard: id, Seq: s.damage.Seq, Error: s.damage.Err.Error()})
		}
		s.mu.Unlock()
	}
	return out
}

// ReleaseBatch implements admin.Backend. It stores a release, after which the
// owner of the shard recovers the journal without the records of the batch. A
// batch that is not known to be damaged may be released in advance; the release
// has no effect while the batch is readable.
func (b adminBackend) ReleaseBatch(ctx context.Context, shard sched.ShardID, seq uint64, author string) error {
	if seq == 0 {
		return eris.New("a damaged snapshot cannot be released; restore it in the store")
	}
	value, err := json.Marshal(released{Author: author, Time: time.Now().UTC()})
	if err != nil {
		return eris.Wrap(err, "encode release")
	}
	key := commit.ReleasedKey(shard, seq)
	_, err = b.e.Store.Put(ctx, key, value, 0)
	if err == nil || errors.Is(err, sched.ErrConflict) {
		return nil
	}
	// The write may have succeeded although its answer was lost. The release is
	// read back to find out; one by another operator has the same effect.
	if _, rerr := b.e.Store.Get(ctx, key); rerr == nil {
		return nil
	}
	return errors.Join(errNotReleased, err)
}
