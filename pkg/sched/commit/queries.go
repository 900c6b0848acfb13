package commit

import "time"

// Ready reports whether the previous owner is fenced and the machine commits
// appends.
func (m *Machine) Ready() bool { return m.ready && !m.stopped }

// Idle reports whether no append is queued and no write is in progress. A
// graceful shutdown of an entry waits until the machine is idle and then
// releases the shard.
func (m *Machine) Idle() bool { return len(m.queue) == 0 && m.write == nil }

// Waiting returns the number of appends that have no result yet.
func (m *Machine) Waiting() int {
	n := len(m.queue)
	if m.write != nil {
		n += len(m.write.batch)
	}
	return n
}

// NextSeq returns the sequence number of the next batch.
func (m *Machine) NextSeq() uint64 { return m.nextSeq }

// Covered returns the sequence number of the last batch that the snapshot
// covers.
func (m *Machine) Covered() uint64 { return m.manifest.Seq }

// WakeAt returns when the machine next needs a [sched.TickMsg]. It returns false
// if the machine has stopped or waits only for answers of the runner.
func (m *Machine) WakeAt() (time.Time, bool) {
	if m.stopped {
		return time.Time{}, false
	}
	at, ok := m.workAt()
	var oldest []queuedAppend
	if m.write != nil {
		oldest = m.write.batch
	}
	if len(oldest) == 0 {
		oldest = m.queue
	}
	if len(oldest) > 0 {
		at, ok = earlier(at, ok, oldest[0].at.Add(m.maxWait)), true
	}
	return at, ok
}

// workAt returns when the next write or read may start. It returns false if
// nothing is left to do or the runner's answer is needed first.
func (m *Machine) workAt() (time.Time, bool) {
	if m.snapshotRequested {
		return time.Time{}, false
	}
	if m.write != nil {
		waits := m.write.phase == phaseResend || m.write.phase == phaseReadBack
		return m.retryAt, waits
	}
	var at time.Time
	ok := false
	if (!m.ready && m.ringHasSpace(RingSize)) || m.batchPending() {
		at, ok = m.batchAt(), true
	} else if m.snap != nil {
		at, ok = m.lastWrite.Add(m.interval), true
	}
	if at.Before(m.retryAt) {
		at = m.retryAt
	}
	return at, ok
}

// earlier returns the earlier of a, if it is set, and b.
func earlier(a time.Time, set bool, b time.Time) time.Time {
	if !set || b.Before(a) {
		return b
	}
	return a
}
