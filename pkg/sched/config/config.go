// Package config is the state machine for accepted configuration revisions.
//
// A revision is accepted when it is committed to the store key [CurrentKey] by
// compare-and-swap with the next revision number. The machine applies only
// revisions above the one in force, so that a slow read, a late watch or a peer
// cannot revert the configuration. If a stored text does not parse, the machine
// counts it and keeps the last valid configuration in force.
//
// # Usage
//
//	m := config.New("entry-1.7", config.WithPollInterval(5*time.Second))
//	for _, cmd := range m.Update(now, config.EditMsg{Waiter: 1, Text: text, IfMatch: 4, Author: "ada"}) {
//		switch cmd := cmd.(type) {
//		case config.WriteCmd: // put, then WriteDoneMsg or WriteFailedMsg
//		case config.ReadCmd: // get, then StoredMsg or ReadFailedMsg
//		case config.FetchCmd: // ask the peer, then StoredMsg
//		case config.ApplyCmd: // put cmd.Config in force
//		case config.ReplyCmd: // answer the waiter
//		}
//	}
//
// If the answer to a write is lost, the machine reads the key to find out
// whether the edit took effect. Each stored value names the edits that led to
// it, so the machine finds its own edit even after later ones. If the store
// still holds the value that the edit was based on, the machine sends the same
// write again. Compare-and-swap lets at most one of the two take effect.
//
// The history of accepted revisions is a ring of [HistorySize] values under
// [HistoryPrefix], at revision modulo HistorySize. The entry that made an edit
// writes it to the history after acceptance. This is best effort: an entry that
// dies in between leaves a gap. The current value is always complete.
package config

import (
	"strconv"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// Default settings.
const (
	// PollInterval is the time between reads of the store, which are made in
	// addition to the watch.
	PollInterval = 5 * time.Second
	// EditTimeout is how long an edit may stay unresolved before it is
	// answered with an error.
	EditTimeout = 5 * time.Second
	// RetryInterval is the delay before a failed read for an edit, or a
	// failed write to the history, is retried.
	RetryInterval = 500 * time.Millisecond
	// FetchTimeout is the time after a fetch from a peer before the next
	// fetch may start.
	FetchTimeout = time.Second
	// MaxEdits is the maximum number of edits that wait for the store.
	MaxEdits = 16
)

// Machine keeps the accepted configuration of one entry. It is not safe for
// concurrent use.
type Machine struct {
	idPrefix     string
	pollInterval time.Duration
	editTimeout  time.Duration

	// stored is the highest revision seen, whether its text parses or not.
	// version is its version in the store, 0 if unknown.
	stored  Stored
	version sched.Version
	// damagedVersion is the store version of a value that is not in the stored
	// format, 0 if there is none.
	damagedVersion sched.Version
	// storeSeen is set once the store has answered a read, even without a
	// value.
	storeSeen bool
	// applied is the configuration in force, nil before the first.
	applied *sched.Config

	edits         []*edit
	historyWrites map[sched.Revision]*historyWrite
	// lastID is the last number that was given to an edit or a read.
	lastID    uint64
	nextPoll  time.Time
	nextFetch time.Time
	counts    Counts
}

// Option changes a setting of a [Machine].
type Option func(*Machine)

// WithPollInterval sets the time between reads of the store.
func WithPollInterval(d time.Duration) Option { return func(m *Machine) { m.pollInterval = d } }

// WithEditTimeout sets how long an edit may stay unresolved before it is
// answered with an error.
func WithEditTimeout(d time.Duration) Option { return func(m *Machine) { m.editTimeout = d } }

// New returns a machine without a configuration. The prefix of edit ids must
// differ between entries and between restarts of the same entry.
func New(idPrefix string, opts ...Option) *Machine {
	m := &Machine{
		idPrefix:      idPrefix,
		pollInterval:  PollInterval,
		editTimeout:   EditTimeout,
		historyWrites: map[sched.Revision]*historyWrite{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Update implements [sched.Machine].
func (m *Machine) Update(now time.Time, msg sched.Msg) []sched.Cmd {
	switch msg := msg.(type) {
	case StoredMsg:
		return m.onStored(now, msg)
	case ReadFailedMsg:
		return m.onReadFailed(now, msg)
	case EditMsg:
		return m.onEdit(now, msg)
	case WriteDoneMsg:
		return m.onWriteDone(now, msg)
	case WriteFailedMsg:
		return m.onWriteFailed(now, msg)
	case PeerRevisionMsg:
		return m.onPeerRevision(now, msg)
	case TickMsg, sched.TickMsg:
		return m.onTick(now)
	default:
		return nil
	}
}

func (m *Machine) onStored(now time.Time, msg StoredMsg) []sched.Cmd {
	if isHistory(msg.Key) {
		return m.onHistoryRead(now, msg)
	}
	if msg.Source != SourcePeer {
		m.storeSeen = true
	}
	cmds := m.updateStored(msg)
	return append(cmds, m.onEditRead(now, msg.Read)...)
}

// updateStored accepts a stored value if its revision is higher than all
// revisions seen before.
func (m *Machine) updateStored(msg StoredMsg) []sched.Cmd {
	if msg.Version == 0 && len(msg.Value) == 0 {
		return nil
	}
	s, err := DecodeStored(msg.Value)
	if err != nil {
		m.counts.Damaged++
		if msg.Source != SourcePeer && msg.Version > m.version {
			m.damagedVersion = msg.Version
		}
		return nil
	}
	switch {
	case s.Revision < m.stored.Revision:
		m.counts.Stale++
		return nil
	case s.Revision == m.stored.Revision:
		m.version = max(m.version, msg.Version)
		m.clearDamaged()
		return nil
	}
	return m.accept(s, msg.Version)
}

// accept records a higher revision and applies it if its text parses.
func (m *Machine) accept(s Stored, v sched.Version) []sched.Cmd {
	m.stored = s
	m.version = v
	m.clearDamaged()
	cfg, err := text.Parse([]byte(s.Text))
	if err != nil {
		m.counts.Refused++
		return nil
	}
	cfg.Revision = s.Revision
	m.applied = cfg
	m.counts.Applied++
	return []sched.Cmd{ApplyCmd{Config: cfg}}
}

// clearDamaged resets damagedVersion once a valid value with a higher version
// has been seen.
func (m *Machine) clearDamaged() {
	if m.version > m.damagedVersion {
		m.damagedVersion = 0
	}
}

func (m *Machine) onPeerRevision(now time.Time, msg PeerRevisionMsg) []sched.Cmd {
	if msg.Revision <= m.stored.Revision || now.Before(m.nextFetch) {
		return nil
	}
	m.nextFetch = now.Add(FetchTimeout)
	return []sched.Cmd{FetchCmd{Peer: msg.Peer}}
}

func (m *Machine) onTick(now time.Time) []sched.Cmd {
	cmds := m.tickEdits(now)
	cmds = append(cmds, m.tickHistory(now)...)
	if now.Before(m.nextPoll) {
		return cmds
	}
	m.nextPoll = now.Add(m.pollInterval)
	return append(cmds, ReadCmd{Key: CurrentKey, Read: m.newRead()})
}

func (m *Machine) newRead() uint64 {
	m.lastID++
	return m.lastID
}

func (m *Machine) newEditID() string {
	m.lastID++
	return m.idPrefix + "." + strconv.FormatUint(m.lastID, 10)
}
