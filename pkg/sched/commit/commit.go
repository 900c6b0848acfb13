// Package commit writes the records of a shard's state machines to the shard's
// journal in a key-value store, several records in one batch.
//
// The journal is a ring of [RingSize] slots, each a value in the store. Batch n
// is written to slot n mod RingSize by compare-and-swap on the version that the
// writer last saw.
// Two writers of the same sequence number therefore compete for one version,
// and only one of them succeeds.
//
// A new owner reads the journal and then writes an empty batch, which fences
// the previous owner: if the empty batch is written first, a write of the
// previous owner that is still in flight fails with a conflict. If the previous
// owner's write comes first, the empty batch conflicts and the new owner reads
// the journal again. The shard is served only after [ReadyCmd].
//
// When the answer to a write is lost, the machine reads the value back. Until
// the result of the write is known, it retries only the identical write, so an
// attempt that takes effect late cannot add a second batch.
//
// A snapshot is written in parts to one of two sets of keys. The manifest, which
// names the set, is written last. Before its first snapshot an owner writes the
// current manifest again. This makes a late manifest write of the previous owner
// fail, which would otherwise point to the set whose parts are being
// overwritten.
//
// # Usage
//
//	rec, err := commit.Recover(shard, snapshotItems, ringItems)
//	// restore the state from rec.Records, then
//	m := commit.New(rec, epoch, writerID, commit.WithInterval(45*time.Millisecond))
//	for _, cmd := range m.Update(now, commit.AppendMsg{Waiter: w, Record: r}) {
//		switch cmd := cmd.(type) {
//		case commit.WriteCmd:
//			// write to the store, then send a WriteDoneMsg or WriteFailedMsg
//		case commit.DoneCmd:
//			// send a sched.CommittedMsg to each waiter
//		}
//	}
//
// The runner sends a [sched.TickMsg] no later than [Machine.WakeAt]. A Machine
// is not safe for concurrent use.
package commit

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// queuedAppend is an append without a result yet. Field at is when it arrived.
type queuedAppend struct {
	waiter Waiter
	record sched.Record
	at     time.Time
}

// writeKind is the kind of value that a write stores.
type writeKind uint8

const (
	writeBatch writeKind = iota
	writePart
	// writeManifestFence stores the content of the current manifest again, so
	// that a late manifest write of the previous owner fails.
	writeManifestFence
	writeManifest
)

// writePhase is the state of a write.
type writePhase uint8

const (
	// phaseSent: a WriteCmd has no answer yet.
	phaseSent writePhase = iota
	// phaseReading: a ReadCmd has no answer yet.
	phaseReading
	// phaseResend: the write is sent again at retryAt.
	phaseResend
	// phaseReadBack: the value is read at retryAt.
	phaseReadBack
)

// write is a write in progress; a machine has at most one.
type write struct {
	kind  writeKind
	phase writePhase
	id    string
	key   string
	value []byte
	prev  sched.Version
	// uncertain means that an attempt may have taken effect, now or later.
	uncertain bool
	// batch holds the appends of a writeBatch.
	batch []queuedAppend
	// manifest is the content of a writeManifestFence or a writeManifest.
	manifest manifest
	// sum is the checksum of a writePart.
	sum uint64
}

// snapshot is a snapshot that is being written. It covers the batches up to seq;
// sums are the checksums of the parts that are already stored.
type snapshot struct {
	seq   uint64
	set   int
	parts [][]sched.Record
	sums  []uint64
}

// Machine commits the records of one shard. It implements [sched.Machine].
type Machine struct {
	shard         sched.ShardID
	epoch         sched.Epoch
	writer        string
	interval      time.Duration
	maxWait       time.Duration
	maxQueueBytes int
	maxQueueCount int
	maxBatchBytes int
	rng           *rand.Rand

	nextSeq  uint64
	versions map[string]sched.Version
	manifest manifest
	// manifestOwned means that the manifest in the store was written by this
	// machine.
	manifestOwned bool
	ready         bool
	stopped       bool

	queue      []queuedAppend
	queueBytes int
	write      *write
	lastID     uint64
	retryAt    time.Time
	failures   int
	lastWrite  time.Time
	lastBatch  time.Time
	// partNext means that a snapshot write may follow the latest batch without
	// a delay.
	partNext bool
	snap     *snapshot
	// snapshotRequested means that a NeedSnapshotCmd has no answer yet.
	snapshotRequested bool
	cmds              []sched.Cmd
}

// New returns the machine that commits to the recovered journal of a shard.
// Writer is a random id that no other machine uses. On its first message the
// machine writes an empty batch, which fences the previous owner.
func New(r Recovered, epoch sched.Epoch, writer string, opts ...Option) *Machine {
	m := &Machine{
		shard:         r.Shard,
		epoch:         epoch,
		writer:        writer,
		interval:      DefaultInterval,
		maxWait:       DefaultMaxWait,
		maxQueueBytes: DefaultQueueBytes,
		maxQueueCount: DefaultQueueCount,
		maxBatchBytes: BatchBytes,
		rng:           rand.New(rand.NewPCG(uint64(epoch), r.NextSeq)),
		nextSeq:       r.NextSeq,
		versions:      r.Versions,
		manifest:      r.manifest,
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Update implements [sched.Machine].
func (m *Machine) Update(now time.Time, msg sched.Msg) []sched.Cmd {
	m.cmds = nil
	switch msg := msg.(type) {
	case AppendMsg:
		m.append(now, msg)
	case WriteDoneMsg:
		m.writeDone(msg)
	case WriteFailedMsg:
		m.writeFailed(now, msg)
	case ReadDoneMsg:
		m.readDone(now, msg)
	case SnapshotMsg:
		m.takeSnapshot(msg)
	case BudgetMsg:
		m.interval = msg.Interval
	case StopMsg:
		m.stop(false)
	}
	if !m.stopped {
		m.expire(now)
		m.advance(now)
	}
	return m.cmds
}

func (m *Machine) emit(c sched.Cmd) { m.cmds = append(m.cmds, c) }

// fail reports failed appends. If lost is set, their records may be durable.
func (m *Machine) fail(reason sched.Reason, lost bool, ws ...Waiter) {
	if len(ws) > 0 {
		m.emit(FailedCmd{Waiters: ws, Reason: reason, Lost: lost})
	}
}

// nextID returns the id of the next write, unique among all writers.
func (m *Machine) nextID() string {
	m.lastID++
	return m.writer + "." + strconv.FormatUint(m.lastID, 10)
}

// append queues a record. It fails the append at once if the machine has
// stopped, the queue is full or the record is larger than a batch.
func (m *Machine) append(now time.Time, msg AppendMsg) {
	n := recordSize(msg.Record)
	switch {
	case m.stopped:
		m.fail(sched.ReasonNotOwner, false, msg.Waiter)
	case n > m.maxBatchBytes || m.queueBytes+n > m.maxQueueBytes || len(m.queue) >= m.maxQueueCount:
		m.fail(sched.ReasonStoreUnavailable, false, msg.Waiter)
	default:
		m.queue = append(m.queue, queuedAppend{waiter: msg.Waiter, record: msg.Record, at: now})
		m.queueBytes += n
	}
}

// expire fails appends that have waited for maxWait. Those that are part of the
// write in progress fail as lost: their records stay in the write, which may
// have taken effect.
func (m *Machine) expire(now time.Time) {
	expired := func(q queuedAppend) bool { return !now.Before(q.at.Add(m.maxWait)) }
	if m.write != nil {
		w := m.write
		var kept []queuedAppend
		var failed []Waiter
		for _, q := range w.batch {
			if expired(q) {
				failed = append(failed, q.waiter)
			} else {
				kept = append(kept, q)
			}
		}
		if len(failed) > 0 {
			w.batch = kept
			m.fail(sched.ReasonStoreUnavailable, true, failed...)
		}
	}
	var failed []Waiter
	for len(m.queue) > 0 && expired(m.queue[0]) {
		failed = append(failed, m.queue[0].waiter)
		m.queueBytes -= recordSize(m.queue[0].record)
		m.queue = m.queue[1:]
	}
	m.fail(sched.ReasonStoreUnavailable, false, failed...)
}

// stop stops the machine and fails all appends. If noEffect is set, the write in
// progress is known to have no effect, now or later, and its appends do not fail
// as lost.
func (m *Machine) stop(noEffect bool) {
	if m.stopped {
		return
	}
	m.stopped = true
	if m.write != nil {
		m.fail(sched.ReasonNotOwner, !noEffect, waiters(m.write.batch)...)
	}
	m.fail(sched.ReasonNotOwner, false, waiters(m.queue)...)
	m.write, m.snap, m.queue, m.queueBytes = nil, nil, nil, 0
}

func waiters(qs []queuedAppend) []Waiter {
	ws := make([]Waiter, len(qs))
	for i, q := range qs {
		ws[i] = q.waiter
	}
	return ws
}
