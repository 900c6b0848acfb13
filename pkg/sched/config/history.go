package config

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// HistorySize is the number of accepted revisions that the store keeps.
const HistorySize = 64

// HistoryPrefix is the prefix of the history's store keys.
const HistoryPrefix = "Config/History/"

// maxHistoryAttempts is the number of reads and writes after which the machine
// gives up adding one revision to the history.
const maxHistoryAttempts = 10

// HistoryKey returns the store key of a revision in the history.
func HistoryKey(r sched.Revision) string {
	return HistoryPrefix + strconv.FormatUint(uint64(r)%HistorySize, 10)
}

func isHistory(key string) bool { return strings.HasPrefix(key, HistoryPrefix) }

// historyWrite is a revision that is being added to the history.
type historyWrite struct {
	value Stored
	// read is the number of the latest read of the slot.
	read uint64
	// attempts counts the reads and writes that were sent.
	attempts int
	retryAt  time.Time
}

// historyID returns the id of the writes that add a revision to the history.
func historyID(r sched.Revision) string {
	return HistoryPrefix + "@" + strconv.FormatUint(uint64(r), 10)
}

// startHistory adds a revision to the history. The first write expects an empty
// slot. After a conflict, the machine reads the version of the slot.
func (m *Machine) startHistory(now time.Time, s Stored) []sched.Cmd {
	if len(m.historyWrites) >= HistorySize {
		m.counts.HistoryGaps++
		return nil
	}
	h := &historyWrite{value: s}
	m.historyWrites[s.Revision] = h
	return m.writeHistory(now, h, 0)
}

func (m *Machine) writeHistory(now time.Time, h *historyWrite, prev sched.Version) []sched.Cmd {
	h.attempts++
	// If no answer arrives, tickHistory retries at this time.
	h.retryAt = now.Add(m.editTimeout)
	return []sched.Cmd{WriteCmd{
		Key:   HistoryKey(h.value.Revision),
		Value: h.value.Encode(),
		Prev:  prev,
		ID:    historyID(h.value.Revision),
	}}
}

func (m *Machine) historyByID(id string) *historyWrite {
	for _, h := range m.historyWrites {
		if historyID(h.value.Revision) == id {
			return h
		}
	}
	return nil
}

// onHistoryWritten removes a revision that was written to the history. It reports
// false if id does not belong to such a write.
func (m *Machine) onHistoryWritten(id string) bool {
	h := m.historyByID(id)
	if h != nil {
		delete(m.historyWrites, h.value.Revision)
	}
	return h != nil
}

// onHistoryWriteFailed schedules a retry of a write to the history. It reports
// false if the message does not belong to such a write.
func (m *Machine) onHistoryWriteFailed(now time.Time, msg WriteFailedMsg) ([]sched.Cmd, bool) {
	h := m.historyByID(msg.ID)
	if h == nil {
		return nil, isHistory(msg.ID)
	}
	if errors.Is(msg.Err, sched.ErrConflict) {
		return m.readHistory(now, h), true
	}
	h.retryAt = now.Add(RetryInterval)
	return nil, true
}

// readHistory reads the slot of a revision, or gives up the revision after too
// many attempts.
func (m *Machine) readHistory(now time.Time, h *historyWrite) []sched.Cmd {
	if h.attempts >= maxHistoryAttempts {
		delete(m.historyWrites, h.value.Revision)
		m.counts.HistoryGaps++
		return nil
	}
	h.attempts++
	h.read = m.newRead()
	h.retryAt = now.Add(m.editTimeout)
	return []sched.Cmd{ReadCmd{Key: HistoryKey(h.value.Revision), Read: h.read}}
}

// onHistoryRead overwrites a slot that holds an earlier revision or a damaged
// value. It keeps a slot that holds this revision or a later one.
func (m *Machine) onHistoryRead(now time.Time, msg StoredMsg) []sched.Cmd {
	for r, h := range m.historyWrites {
		if msg.Read == 0 || h.read != msg.Read {
			continue
		}
		if s, err := DecodeStored(msg.Value); err == nil && s.Revision >= r {
			delete(m.historyWrites, r)
			return nil
		}
		return m.writeHistory(now, h, msg.Version)
	}
	return nil
}

func (m *Machine) tickHistory(now time.Time) []sched.Cmd {
	var cmds []sched.Cmd
	for r := range m.pendingHistory() {
		if h := m.historyWrites[r]; !now.Before(h.retryAt) {
			cmds = append(cmds, m.readHistory(now, h)...)
		}
	}
	return cmds
}
