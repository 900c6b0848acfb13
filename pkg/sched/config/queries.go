package config

import (
	"iter"
	"maps"
	"slices"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Counts are totals since the machine was created.
type Counts struct {
	// Applied counts the configurations that were put in force.
	Applied int
	// Refused counts the stored texts that did not parse.
	Refused int
	// Damaged counts the values that were not in the stored format.
	Damaged int
	// Stale counts the values with a revision below the highest one seen.
	Stale int
	// Conflicts counts the edit writes that failed in compare-and-swap, and
	// Lost those whose effect is unknown.
	Conflicts int
	Lost      int
	// HistoryGaps counts the revisions that were not written to the history.
	HistoryGaps int
}

// Config returns the configuration in force, nil before the first.
func (m *Machine) Config() *sched.Config { return m.applied }

// Stored returns the highest revision seen and its version in the store. The
// text of the revision may be one that does not parse. The version is 0 if it is
// unknown.
func (m *Machine) Stored() (Stored, sched.Version) { return m.stored, m.version }

// Counts returns the totals.
func (m *Machine) Counts() Counts { return m.counts }

// Idle reports whether no edit and no history write is in progress.
func (m *Machine) Idle() bool { return len(m.edits) == 0 && len(m.historyWrites) == 0 }

// pendingHistory yields the revisions that are being added to the history, in
// ascending order, so that the order of commands is deterministic.
func (m *Machine) pendingHistory() iter.Seq[sched.Revision] {
	return slices.Values(slices.Sorted(maps.Keys(m.historyWrites)))
}
