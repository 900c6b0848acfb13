package store

import "sync/atomic"

// kind is a kind of call.
type kind int

const (
	kindGet kind = iota
	kindList
	kindPut
	kindDelete
	kindWatch
	kindCount
)

// writes reports whether calls of the kind use the write budget.
func (k kind) writes() bool { return k == kindPut || k == kindDelete }

// Counts are the numbers of calls of a client and its reserved view since the
// client was created.
type Counts struct {
	Gets, Lists, Puts, Deletes, Watches uint64
	// OverBudget counts calls that were not made because no token was available
	// in time.
	OverBudget uint64
	// Unavailable and Lost count calls that failed with [sched.ErrUnavailable]
	// and [sched.ErrLost].
	Unavailable, Lost uint64
}

type counters struct {
	calls                         [kindCount]atomic.Uint64
	overBudget, unavailable, lost atomic.Uint64
}

// Counts returns the current counts.
func (c *Client) Counts() Counts {
	n := &c.counters
	return Counts{
		Gets: n.calls[kindGet].Load(), Lists: n.calls[kindList].Load(),
		Puts: n.calls[kindPut].Load(), Deletes: n.calls[kindDelete].Load(),
		Watches:    n.calls[kindWatch].Load(),
		OverBudget: n.overBudget.Load(), Unavailable: n.unavailable.Load(), Lost: n.lost.Load(),
	}
}
