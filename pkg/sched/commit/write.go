package commit

import (
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// advance retries the write in progress or starts the next one, if one is due.
func (m *Machine) advance(now time.Time) {
	if now.Before(m.retryAt) || m.snapshotRequested {
		return
	}
	if m.write != nil {
		m.resume(now)
		return
	}
	if m.snap == nil && m.uncovered() >= snapshotAfter && (m.ready || !m.ringHasSpace(RingSize)) {
		m.snapshotRequested = true
		m.emit(NeedSnapshotCmd{})
		return
	}
	switch {
	case m.snap != nil && m.partNext:
		m.startSnapshotWrite(now)
	case m.batchDue(now):
		m.startBatch(now)
	case m.snap != nil && !m.batchPending() && !now.Before(m.lastWrite.Add(m.interval)):
		m.startSnapshotWrite(now)
	}
}

// resume sends the write in progress again or reads its value back.
func (m *Machine) resume(now time.Time) {
	switch m.write.phase {
	case phaseResend:
		m.send(now)
	case phaseReadBack:
		m.write.phase = phaseReading
		m.emit(ReadCmd{Key: m.write.key})
	}
}

// send sends the write in progress to the store.
func (m *Machine) send(now time.Time) {
	w := m.write
	w.phase = phaseSent
	m.lastWrite = now
	m.emit(WriteCmd{Key: w.key, Value: w.value, Prev: w.prev, ID: w.id})
}

// uncovered returns the number of batches that are not covered by the snapshot.
func (m *Machine) uncovered() uint64 { return m.nextSeq - 1 - m.manifest.Seq }

// ringHasSpace reports whether at most limit batches are not covered by the
// snapshot once the next batch is written.
func (m *Machine) ringHasSpace(limit uint64) bool { return m.uncovered() < limit }

// batchDue reports whether the next batch may be written now.
func (m *Machine) batchDue(now time.Time) bool {
	if !m.ready {
		return m.ringHasSpace(RingSize)
	}
	return m.batchPending() && !now.Before(m.batchAt())
}

// batchPending reports whether appends are queued and the ring has space for
// their batch, so that only the write budget delays it. Parts of a snapshot are
// then written only directly after a batch.
func (m *Machine) batchPending() bool {
	return len(m.queue) > 0 && m.ringHasSpace(RingSize-fenceReserve)
}

// batchAt returns when the write budget permits the next batch. The interval is
// extended by the share of snapshot writes between batches: the parts and the
// manifest of a snapshot are spread over snapshotAfter batches, at most one
// write after each batch.
func (m *Machine) batchAt() time.Time {
	parts := len(m.manifest.Sums)
	if m.snap != nil {
		parts = max(parts, len(m.snap.parts))
	}
	snapshotShare := min(1, float64(parts+1)/snapshotAfter)
	return m.lastBatch.Add(time.Duration(float64(m.interval) * (1 + snapshotShare)))
}

// startBatch writes as many queued records as fit in one batch. If the machine
// is not ready, it writes the empty batch that fences the previous owner.
func (m *Machine) startBatch(now time.Time) {
	n, bytes := 0, 0
	for m.ready && n < len(m.queue) && bytes+recordSize(m.queue[n].record) <= m.maxBatchBytes {
		bytes += recordSize(m.queue[n].record)
		n++
	}
	w := &write{kind: writeBatch, id: m.nextID(), key: ringKey(m.shard, m.nextSeq)}
	w.batch = append(w.batch, m.queue[:n]...)
	m.queue = append([]queuedAppend(nil), m.queue[n:]...)
	m.queueBytes -= bytes
	records := make([]EncodedRecord, n)
	for i, q := range w.batch {
		records[i] = EncodedRecord{Kind: q.record.Kind, Data: q.record.Data}
	}
	w.value, _ = encode(Batch{
		Shard: m.shard.String(), Epoch: m.epoch, Seq: m.nextSeq, Writer: w.id, Records: records,
	})
	m.lastBatch, m.partNext = now, true
	m.start(now, w)
}

// start sends a write, conditional on the last known version of its key.
func (m *Machine) start(now time.Time, w *write) {
	w.prev = m.versions[w.key]
	m.write = w
	m.send(now)
}

func (m *Machine) writeDone(msg WriteDoneMsg) {
	if m.write != nil && m.write.phase == phaseSent && m.write.id == msg.ID {
		m.complete(msg.Version)
	}
}

// complete ends a write that is known to be in the store with version v.
func (m *Machine) complete(v sched.Version) {
	w := m.write
	m.write, m.failures = nil, 0
	m.versions[w.key] = v
	if w.kind != writeBatch {
		m.completeSnapshotWrite(w)
		return
	}
	m.nextSeq++
	if len(w.batch) > 0 {
		m.emit(DoneCmd{Waiters: waiters(w.batch)})
	}
	if !m.ready {
		m.ready = true
		m.emit(ReadyCmd{})
	}
}

func (m *Machine) writeFailed(now time.Time, msg WriteFailedMsg) {
	w := m.write
	if w == nil || w.phase != phaseSent || w.id != msg.ID {
		return
	}
	if !errors.Is(msg.Err, sched.ErrUnavailable) && !errors.Is(msg.Err, sched.ErrBudget) {
		// After a conflict the effect is uncertain too: if the transport repeated
		// the request, it may have conflicted with its own first attempt.
		w.uncertain, w.phase = true, phaseReadBack
		return
	}
	m.backOff(now)
	w.phase = phaseResend
	if w.kind == writeBatch && !w.uncertain {
		m.requeueBatch()
	}
}

// requeueBatch returns the appends of a batch that was certainly not written to
// the front of the queue. If they expire there, they fail as not durable.
func (m *Machine) requeueBatch() {
	w := m.write
	m.write = nil
	for _, q := range w.batch {
		m.queueBytes += recordSize(q.record)
	}
	m.queue = append(w.batch, m.queue...)
}

// backOff delays the next store access: the delay doubles with each failure in a
// row and is then reduced at random by up to half.
func (m *Machine) backOff(now time.Time) {
	d := min(backoffMin<<min(m.failures, 10), backoffMax)
	m.failures++
	m.retryAt = now.Add(d/2 + time.Duration(m.rng.Int64N(int64(d/2)+1)))
}

// readDone determines from the value read back whether a write of unknown result
// took effect.
func (m *Machine) readDone(now time.Time, msg ReadDoneMsg) {
	w := m.write
	if w == nil || w.phase != phaseReading {
		return
	}
	absent := errors.Is(msg.Err, sched.ErrNotFound)
	if msg.Err != nil && !absent {
		w.phase = phaseReadBack
		m.backOff(now)
		return
	}
	version := msg.Item.Version
	if absent {
		version = 0
	}
	if version == w.prev {
		// The write has not taken effect yet. An earlier attempt may still reach
		// the store, so only the identical write may follow.
		w.phase = phaseResend
		m.backOff(now)
		return
	}
	m.resolveWrite(msg.Item.Value, version)
}

// resolveWrite handles a value whose version is not the one that the write
// expected: it is either the value of this write or that of another writer.
func (m *Machine) resolveWrite(value []byte, version sched.Version) {
	w := m.write
	switch w.kind {
	case writeBatch:
		m.resolveBatch(value, version)
	case writePart:
		var p part
		_, err := decode(value, &p)
		switch {
		case err == nil && p.Writer == w.id:
			m.complete(version)
		case err == nil && p.Epoch > m.epoch:
			m.fenced(p.Epoch, true)
		default:
			// It is a late part of a previous owner, which no manifest names, so
			// it can be overwritten.
			w.prev, w.phase = version, phaseResend
		}
	default:
		m.resolveManifest(value, version)
	}
}

// resolveBatch handles a batch in the ring slot whose version is not the one that
// the write expected.
func (m *Machine) resolveBatch(value []byte, version sched.Version) {
	var b Batch
	_, err := decode(value, &b)
	switch {
	case err == nil && b.Writer == m.write.id:
		m.complete(version)
	case err == nil && !m.ready && b.Epoch <= m.epoch:
		m.emit(RecoverCmd{})
		m.stop(true)
	default:
		// Another batch with the same sequence number proves that this one was
		// never written. A batch with a later number may have overwritten it,
		// so the result is then unknown.
		m.fenced(b.Epoch, err == nil && b.Seq == m.nextSeq)
	}
}

// fenced stops the machine because an owner with the given epoch has written to
// the journal. The parameter noEffect has the same meaning as for stop.
func (m *Machine) fenced(epoch sched.Epoch, noEffect bool) {
	m.emit(FencedCmd{Epoch: epoch})
	m.stop(noEffect)
}
