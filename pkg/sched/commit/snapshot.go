package commit

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// takeSnapshot starts to write a snapshot. The machine writes no batch between
// its NeedSnapshotCmd and the answer, so the snapshot covers all batches so far.
func (m *Machine) takeSnapshot(msg SnapshotMsg) {
	if !m.snapshotRequested || m.stopped {
		return
	}
	m.snapshotRequested = false
	m.snap = &snapshot{
		seq:   m.nextSeq - 1,
		set:   1 - m.manifest.Set,
		parts: split(msg.Records, m.maxBatchBytes),
	}
}

// split divides records into parts of at most limit bytes. A record larger than
// limit gets a part of its own.
func split(rs []sched.Record, limit int) [][]sched.Record {
	var parts [][]sched.Record
	start, bytes := 0, 0
	for i, r := range rs {
		if bytes+recordSize(r) > limit && i > start {
			parts = append(parts, rs[start:i])
			start, bytes = i, 0
		}
		bytes += recordSize(r)
	}
	if start < len(rs) {
		parts = append(parts, rs[start:])
	}
	return parts
}

// startSnapshotWrite writes the next value of the snapshot: first the current
// manifest again unless this machine has written it, then each part, and last
// the new manifest.
func (m *Machine) startSnapshotWrite(now time.Time) {
	m.partNext = false
	w := &write{id: m.nextID()}
	done := len(m.snap.sums)
	switch {
	case !m.manifestOwned:
		w.kind = writeManifestFence
		w.manifest = m.manifest
	case done < len(m.snap.parts):
		w.kind = writePart
		w.key = partKey(m.shard, m.snap.set, done)
		w.value, w.sum = encode(part{
			Shard: m.shard.String(), Epoch: m.epoch, Writer: w.id, Records: encodeRecords(m.snap.parts[done]),
		})
	default:
		w.kind = writeManifest
		w.manifest = manifest{Seq: m.snap.seq, Set: m.snap.set, Sums: m.snap.sums}
	}
	if w.kind != writePart {
		w.key = manifestKey(m.shard)
		w.manifest.Shard, w.manifest.Epoch, w.manifest.Writer = m.shard.String(), m.epoch, w.id
		w.value, _ = encode(w.manifest)
	}
	m.start(now, w)
}

// completeSnapshotWrite records that a value of the snapshot is in the store.
func (m *Machine) completeSnapshotWrite(w *write) {
	switch w.kind {
	case writePart:
		m.snap.sums = append(m.snap.sums, w.sum)
	case writeManifestFence:
		m.manifest, m.manifestOwned = w.manifest, true
	case writeManifest:
		m.manifest, m.snap = w.manifest, nil
	}
}

// resolveManifest handles a manifest whose version is not the one that the write
// expected. A late manifest of the previous owner names a complete snapshot: the
// machine adopts it and starts its own snapshot again in the other set of keys.
func (m *Machine) resolveManifest(value []byte, version sched.Version) {
	var found manifest
	_, err := decode(value, &found)
	switch {
	case err == nil && found.Writer == m.write.id:
		m.complete(version)
	case err != nil || found.Epoch > m.epoch:
		m.fenced(found.Epoch, true)
	case found.Seq >= m.nextSeq:
		m.emit(RecoverCmd{})
		m.stop(true)
	default:
		m.versions[m.write.key] = version
		m.write, m.snap = nil, nil
		m.manifest, m.manifestOwned = found, false
	}
}
