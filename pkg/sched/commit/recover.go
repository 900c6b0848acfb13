package commit

import (
	"errors"
	"fmt"
	"slices"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// DamagedError reports a value of the journal that cannot be used. The shard is
// not served until an operator has released the batch. A damaged snapshot cannot
// be released; it has to be restored in the store.
type DamagedError struct {
	Shard sched.ShardID
	// Seq is the sequence number of the damaged or missing batch, or 0 if the
	// snapshot is damaged.
	Seq uint64
	Key string
	Err error
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("journal of shard %s: batch %d at %s: %v", e.Shard, e.Seq, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Err }

// ErrMissing means that a batch between the snapshot and the newest batch, or a
// part of the snapshot, is not in the store. This also happens if the keys are
// listed while another entry writes them; listing them again then succeeds.
var ErrMissing = errors.New("batch is missing")

// Recovered is the content of a shard's journal.
type Recovered struct {
	Shard sched.ShardID
	// Records rebuild the durable state of the shard's machines when they are
	// restored in this order.
	Records []sched.Record
	// NextSeq is the sequence number of the next batch.
	NextSeq uint64
	// Epoch is the highest epoch found in a batch or in the manifest.
	Epoch sched.Epoch
	// Versions are the versions of the listed values in the store, by key.
	// Keys that do not exist are left out.
	Versions map[string]sched.Version
	// Bytes is the total size of the values that were decoded.
	Bytes int

	manifest manifest
}

// Recover reads a shard's journal from the values listed under [SnapshotPrefix]
// and [RingPrefix]. The caller lists the ring before the snapshot. Batches whose
// sequence number is in released are skipped if they are damaged or missing. The
// result is final only when the machine's first write, which fences the previous
// owner, has succeeded.
func Recover(shard sched.ShardID, snapshot, ring []sched.Item, released ...uint64) (Recovered, error) {
	r := Recovered{Shard: shard, Versions: make(map[string]sched.Version)}
	for _, it := range slices.Concat(snapshot, ring) {
		r.Versions[it.Key] = it.Version
	}
	if err := r.readSnapshot(snapshot); err != nil {
		return Recovered{}, err
	}
	if err := r.readRing(ring, released); err != nil {
		return Recovered{}, err
	}
	return r, nil
}

// readSnapshot appends the records of the snapshot that the manifest names.
func (r *Recovered) readSnapshot(items []sched.Item) error {
	values := make(map[string][]byte, len(items))
	for _, it := range items {
		values[it.Key] = it.Value
	}
	key := manifestKey(r.Shard)
	value, ok := values[key]
	if !ok {
		return nil
	}
	if _, err := decode(value, &r.manifest); err != nil {
		return r.damaged(0, key, err)
	}
	if r.manifest.Shard != r.Shard.String() {
		return r.damaged(0, key, ErrMisplaced)
	}
	r.Epoch = r.manifest.Epoch
	r.Bytes += len(value)
	for i, want := range r.manifest.Sums {
		key := partKey(r.Shard, r.manifest.Set, i)
		value, ok := values[key]
		if !ok {
			return r.damaged(0, key, ErrMissing)
		}
		var p part
		sum, err := decode(value, &p)
		if err == nil && sum != want {
			err = ErrChecksum
		}
		if err != nil {
			return r.damaged(0, key, err)
		}
		r.Bytes += len(value)
		r.Records = appendRecords(r.Records, p.Records)
	}
	return nil
}

func (r *Recovered) damaged(seq uint64, key string, err error) error {
	return &DamagedError{Shard: r.Shard, Seq: seq, Key: key, Err: err}
}

// readRing appends the records of all batches after the snapshot.
func (r *Recovered) readRing(items []sched.Item, released []uint64) error {
	batches := make(map[uint64]Batch, len(items))
	damaged := make(map[uint64]error)
	last := r.manifest.Seq
	for _, it := range items {
		slot, ok := slotOf(r.Shard, it.Key)
		if !ok {
			return r.damaged(0, it.Key, ErrMisplaced)
		}
		b, err := r.readBatch(slot, it.Value)
		if err != nil {
			damaged[slot] = err
			continue
		}
		batches[b.Seq] = b
		last = max(last, b.Seq)
		r.Epoch = max(r.Epoch, b.Epoch)
		r.Bytes += len(it.Value)
	}
	// A damaged value in the slot after the newest readable batch may be a
	// newer batch, so it is not ignored.
	if _, ok := damaged[(last+1)%RingSize]; ok {
		last++
	}
	first := r.manifest.Seq + 1
	if err := r.checkDamaged(damaged, last, released); err != nil {
		return err
	}
	for seq := first; seq <= last; seq++ {
		b, ok := batches[seq]
		if !ok && !slices.Contains(released, seq) {
			return r.damaged(seq, ringKey(r.Shard, seq), ErrMissing)
		}
		r.Records = appendRecords(r.Records, b.Records)
	}
	r.NextSeq = last + 1
	return nil
}

// readBatch decodes a batch and checks that it belongs to the slot.
func (r *Recovered) readBatch(slot uint64, value []byte) (Batch, error) {
	var b Batch
	if _, err := decode(value, &b); err != nil {
		return b, err
	}
	if b.Shard != r.Shard.String() || b.Seq%RingSize != slot || b.Seq == 0 {
		return b, ErrMisplaced
	}
	return b, nil
}

// checkDamaged returns an error for the newest damaged batch that no operator
// has released. The map damaged holds the error of each damaged ring slot.
func (r *Recovered) checkDamaged(damaged map[uint64]error, last uint64, released []uint64) error {
	for seq := last; seq > 0 && seq+RingSize > last; seq-- {
		err, ok := damaged[seq%RingSize]
		if ok && !slices.Contains(released, seq) {
			return r.damaged(seq, ringKey(r.Shard, seq), err)
		}
	}
	return nil
}
