package owner

import (
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// maybeWrite starts a write if a change is due and no other write, read-back or
// backoff is in progress. It creates the table if the store has none.
func (m *Machine) maybeWrite(now time.Time) {
	if m.pending != nil || m.readBack || now.Before(m.writeAfter) {
		return
	}
	if m.version > 0 {
		if next, changed := m.plan(now); changed {
			m.write(now, next)
		}
		return
	}
	if m.tableMissing && m.perDataCentre > 0 && len(m.dataCentres) > 0 && m.eligible(now) {
		m.write(now, NewTable(m.dataCentres, m.perDataCentre))
	}
}

func (m *Machine) write(now time.Time, t Table) {
	t.WriteID = m.nextID()
	m.pending = &write{id: t.WriteID, table: t, sentAt: now}
	m.emit(WriteTableCmd{Value: t.Encode(), Prev: m.version, ID: t.WriteID})
}

// onTableWritten handles a successful write. It counts as a table read that was
// sent when the write was sent.
func (m *Machine) onTableWritten(now time.Time, msg TableWrittenMsg) {
	if m.pending == nil || m.pending.id != msg.ID {
		return
	}
	p := m.pending
	m.pending, m.failures = nil, 0
	m.acceptTable(now, p.table, msg.Version, p.sentAt)
}

// onTableWriteFailed starts a backoff. After a conflict or a lost answer, the
// next write also waits for a read that was sent after the failure. If a write
// whose answer was lost takes effect after that read, the compare-and-swap of
// the next write fails, and another read shows the effect.
func (m *Machine) onTableWriteFailed(now time.Time, msg TableWriteFailedMsg) {
	if m.pending == nil || m.pending.id != msg.ID {
		return
	}
	m.pending = nil
	m.failures++
	m.writeAfter = now.Add(m.backoff())
	if errors.Is(msg.Err, sched.ErrUnavailable) || errors.Is(msg.Err, sched.ErrBudget) {
		return
	}
	m.readBack, m.readBackFrom, m.readAtOnce = true, now, true
}

// backoff returns an exponential delay. Jitter spreads it between half of its
// value and the full value.
func (m *Machine) backoff() time.Duration {
	d := min(backoffMin<<min(m.failures-1, 10), backoffMax)
	return d/2 + time.Duration(m.rng.Int64N(int64(d/2)+1))
}

// maybeRead starts a read of the table when one is due.
func (m *Machine) maybeRead(now time.Time) {
	if m.reading && now.Before(m.readSentAt.Add(readTimeout)) {
		return
	}
	if !m.readAtOnce && now.Before(m.readSentAt.Add(m.readInterval(now))) {
		return
	}
	m.reading, m.readSentAt, m.readAtOnce = true, now, false
	m.emit(ReadTableCmd{})
}

// readInterval returns the time between table reads. It is short while recent
// list reads do not confirm ownership, and while the machine needs a read to
// continue.
func (m *Machine) readInterval(now time.Time) time.Duration {
	if m.version == 0 || m.readBack || !now.Before(m.listReadAt.Add(listStale)) || m.waitsForTableRead() {
		return tableIntervalStale
	}
	return tableInterval
}

// waitsForTableRead reports whether a shard that this process owns needs a table
// read to start or resume serving.
func (m *Machine) waitsForTableRead() bool {
	for i := range m.table.Shards {
		row := &m.table.Shards[i]
		if st := m.shards[row.ID]; m.isOwner(row) && !st.yielding && !st.serving() {
			return true
		}
	}
	return false
}
