package config

import (
	"errors"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// editPhase is what an edit waits for.
type editPhase uint8

const (
	// phaseBase: the edit waits for a read that shows the revision that it is
	// based on.
	phaseBase editPhase = iota
	// phaseWrite: the edit waits for the answer to its write.
	phaseWrite
	// phaseRead: the edit waits for a read that shows whether its write took
	// effect.
	phaseRead
)

// edit is one edit that waits for the store.
type edit struct {
	msg      EditMsg
	id       string
	phase    editPhase
	deadline time.Time
	// read is the number of the read that the edit waits for. retryAt is when
	// the read is sent again after a failure, zero while it is in flight.
	read    uint64
	retryAt time.Time
	// value and prev are the value that the edit writes and the store version
	// that the write expects. They are the same in each attempt.
	value Stored
	prev  sched.Version
	// attempts counts the writes that were sent.
	attempts int
	// mayHaveTakenEffect is set if a write of the edit may have taken effect
	// although no answer says so.
	mayHaveTakenEffect bool
}

func (m *Machine) onEdit(now time.Time, msg EditMsg) []sched.Cmd {
	if _, err := text.Parse([]byte(msg.Text)); err != nil {
		return rejectEdit(msg, &InvalidError{Err: err})
	}
	if msg.IfMatch < m.stored.Revision {
		return rejectEdit(msg, &ConflictError{Current: m.stored.Revision})
	}
	if len(m.edits) >= MaxEdits {
		return rejectEdit(msg, &UnavailableError{Err: errTooManyEdits})
	}
	e := &edit{msg: msg, id: m.newEditID(), deadline: now.Add(m.editTimeout)}
	m.edits = append(m.edits, e)
	if !m.hasBase(msg.IfMatch) {
		return m.readFor(e, phaseBase)
	}
	return m.write(now, e)
}

func rejectEdit(msg EditMsg, err error) []sched.Cmd {
	return []sched.Cmd{ReplyCmd{Waiter: msg.Waiter, Err: err}}
}

// hasBase reports whether an edit can be based on a revision: it is the current
// one, and its version in the store is known. Revision 0 means that the store
// has no configuration.
func (m *Machine) hasBase(r sched.Revision) bool {
	if r == 0 {
		return m.storeSeen && m.stored.Revision == 0 && m.damagedVersion == 0
	}
	return r == m.stored.Revision && m.version != 0 && m.damagedVersion == 0
}

// write computes the value that an edit writes and sends the write. The edit must
// be based on the current revision.
func (m *Machine) write(now time.Time, e *edit) []sched.Cmd {
	e.value = m.stored.next(e.id, e.msg.Author, e.msg.Text, now)
	e.prev = m.version
	return m.sendWrite(e)
}

// sendWrite sends the write of an edit for the first time or again.
func (m *Machine) sendWrite(e *edit) []sched.Cmd {
	e.phase = phaseWrite
	e.attempts++
	return []sched.Cmd{WriteCmd{Key: CurrentKey, Value: e.value.Encode(), Prev: e.prev, ID: e.id}}
}

// readFor starts a read whose answer the edit waits for in phase p.
func (m *Machine) readFor(e *edit, p editPhase) []sched.Cmd {
	e.phase = p
	e.read = m.newRead()
	e.retryAt = time.Time{}
	return []sched.Cmd{ReadCmd{Key: CurrentKey, Read: e.read}}
}

func (m *Machine) editByID(id string) *edit {
	i := slices.IndexFunc(m.edits, func(e *edit) bool { return e.id == id })
	if i < 0 {
		return nil
	}
	return m.edits[i]
}

// finish answers an edit and removes it.
func (m *Machine) finish(e *edit, r sched.Revision, err error) []sched.Cmd {
	m.edits = slices.DeleteFunc(m.edits, func(o *edit) bool { return o == e })
	return []sched.Cmd{ReplyCmd{Waiter: e.msg.Waiter, Revision: r, Err: err}}
}

func (m *Machine) onWriteDone(now time.Time, msg WriteDoneMsg) []sched.Cmd {
	if m.onHistoryWritten(msg.ID) {
		return nil
	}
	e := m.editByID(msg.ID)
	if e == nil {
		return nil
	}
	var cmds []sched.Cmd
	switch {
	case e.value.Revision > m.stored.Revision:
		cmds = m.accept(e.value, msg.Version)
	case e.value.Revision == m.stored.Revision:
		m.version = max(m.version, msg.Version)
	}
	return append(cmds, m.finishAccepted(now, e)...)
}

// finishAccepted answers an edit that took effect and adds it to the history.
func (m *Machine) finishAccepted(now time.Time, e *edit) []sched.Cmd {
	cmds := m.finish(e, e.value.Revision, nil)
	return append(cmds, m.startHistory(now, e.value)...)
}

func (m *Machine) onWriteFailed(now time.Time, msg WriteFailedMsg) []sched.Cmd {
	if cmds, ok := m.onHistoryWriteFailed(now, msg); ok {
		return cmds
	}
	e := m.editByID(msg.ID)
	if e == nil || e.phase != phaseWrite {
		return nil
	}
	switch {
	case errors.Is(msg.Err, sched.ErrConflict):
		m.counts.Conflicts++
		return m.readBack(now, e)
	case errors.Is(msg.Err, sched.ErrUnavailable), errors.Is(msg.Err, sched.ErrBudget):
		if !e.mayHaveTakenEffect {
			return m.finish(e, 0, &UnavailableError{Err: msg.Err})
		}
		// An earlier attempt may still take effect.
		return m.readBack(now, e)
	default:
		m.counts.Lost++
		e.mayHaveTakenEffect = true
		return m.readBack(now, e)
	}
}

// readBack reads the current value after a failed write. From the second attempt
// on it waits first, so that an edit cannot use up the budget of store
// operations.
func (m *Machine) readBack(now time.Time, e *edit) []sched.Cmd {
	if e.attempts == 1 {
		return m.readFor(e, phaseRead)
	}
	e.phase = phaseRead
	e.retryAt = now.Add(RetryInterval)
	return nil
}

// onEditRead resolves the edit that waits for a read. A read that was sent before
// the write failed does not resolve it.
func (m *Machine) onEditRead(now time.Time, read uint64) []sched.Cmd {
	i := slices.IndexFunc(m.edits, func(e *edit) bool { return read != 0 && e.read == read && e.retryAt.IsZero() })
	if i < 0 {
		return nil
	}
	e := m.edits[i]
	switch e.phase {
	case phaseBase:
		return m.resolveBase(now, e)
	case phaseRead:
		return m.resolveWrite(now, e)
	default:
		return nil
	}
}

// resolveBase writes an edit, or rejects it if it is not based on the revision
// that the read showed.
func (m *Machine) resolveBase(now time.Time, e *edit) []sched.Cmd {
	switch {
	case m.damagedVersion != 0:
		return m.finish(e, 0, &UnavailableError{Err: errDamaged})
	case !m.hasBase(e.msg.IfMatch):
		return m.finish(e, 0, &ConflictError{Current: m.stored.Revision})
	default:
		return m.write(now, e)
	}
}

// resolveWrite decides from a read whether the write of an edit took effect. If
// that is still open, it sends the same write again.
func (m *Machine) resolveWrite(now time.Time, e *edit) []sched.Cmd {
	if m.stored.Revision >= e.value.Revision {
		return m.resolveByID(now, e)
	}
	if m.damagedVersion != 0 {
		return m.abandon(e, errDamaged)
	}
	if !e.mayHaveTakenEffect {
		return m.finish(e, 0, &ConflictError{Current: m.stored.Revision})
	}
	return m.sendWrite(e)
}

// resolveByID resolves an edit by looking for it among the edits that led to the
// stored value.
func (m *Machine) resolveByID(now time.Time, e *edit) []sched.Cmd {
	id, ok := m.stored.editAt(e.value.Revision)
	switch {
	case ok && id == e.id:
		return m.finishAccepted(now, e)
	case ok || !e.mayHaveTakenEffect:
		return m.finish(e, 0, &ConflictError{Current: m.stored.Revision})
	default:
		return m.abandon(e, errTooManyLater)
	}
}

// abandon answers an edit that cannot be resolved.
func (m *Machine) abandon(e *edit, err error) []sched.Cmd {
	if e.mayHaveTakenEffect {
		return m.finish(e, 0, &UnknownError{EditID: e.id, Err: err})
	}
	return m.finish(e, 0, &UnavailableError{Err: err})
}

func (m *Machine) onReadFailed(now time.Time, msg ReadFailedMsg) []sched.Cmd {
	for _, e := range m.edits {
		if e.read == msg.Read && e.phase != phaseWrite {
			e.retryAt = now.Add(RetryInterval)
		}
	}
	return nil
}

// tickEdits retries failed reads and abandons the edits whose deadline has
// passed.
func (m *Machine) tickEdits(now time.Time) []sched.Cmd {
	var cmds []sched.Cmd
	for _, e := range slices.Clone(m.edits) {
		switch {
		case !now.Before(e.deadline):
			// A write without an answer may still take effect.
			e.mayHaveTakenEffect = e.mayHaveTakenEffect || e.phase == phaseWrite
			cmds = append(cmds, m.abandon(e, errNoAnswer)...)
		case e.phase != phaseWrite && !e.retryAt.IsZero() && !now.Before(e.retryAt):
			cmds = append(cmds, m.readFor(e, e.phase)...)
		}
	}
	return cmds
}
