package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// rosterPruneInterval is the shortest time from one record of the roster to another
// that only leaves out workers, so that workers that leave one after the other share
// a record.
const rosterPruneInterval = time.Second

// roster is the state of the stored list of workers that may have been given
// orders.
type roster struct {
	dirty    bool
	inFlight bool
	version  sched.Version
	// names holds the workers in the roster that was last sent to the store, at
	// sentAt.
	names  map[sched.WorkerName]bool
	sentAt time.Time
}

// maintainRoster has the roster recorded again if a worker that it leaves out may be
// given orders again, and from time to time if it can leave out more workers.
func (m *Machine) maintainRoster() {
	for _, w := range m.order {
		switch leaveOut := m.mayLeaveOut(w); {
		case w.leftOut && !leaveOut:
			w.leftOut, m.roster.dirty = false, true
		case !w.leftOut && leaveOut && m.now.Sub(m.roster.sentAt) >= rosterPruneInterval:
			m.roster.dirty = true
		}
	}
}

// mayLeaveOut reports whether the roster need not name a worker: it rejects earlier
// leaders, has reported that it holds no run and no end, and gets no starts. The next
// leader then does not wait for it.
func (m *Machine) mayLeaveOut(w *worker) bool {
	return w.accounted && !w.replaced && (!w.listed || w.member.Draining) &&
		len(w.runs) == 0 && w.report.runs == 0 && !w.report.partial && w.processed == w.acknowledged
}

// sendRoster records the workers that may be given orders once the record is
// durable.
func (m *Machine) sendRoster() {
	c := &m.commits
	c.seq++
	m.roster.dirty, m.roster.inFlight, m.roster.sentAt = false, true, m.now
	members := make([]sched.Member, 0, len(m.order))
	m.roster.names = map[sched.WorkerName]bool{}
	for _, w := range m.order {
		if w.leftOut = m.mayLeaveOut(w); w.leftOut {
			w.rostered = false
			continue
		}
		members = append(members, w.member)
		m.roster.names[w.name()] = true
	}
	c.inFlight[c.seq] = &inFlightCommit{seq: c.seq, roster: true, sent: m.now}
	m.emit(CommitCmd{Seq: c.seq, Records: []Record{{
		Key: KeyRoster, Value: EncodeRoster(members), Version: m.roster.version,
	}}})
}

func (m *Machine) rosterDone(v sched.Version) {
	m.roster.inFlight, m.roster.version = false, v
	for _, w := range m.order {
		if m.roster.names[w.name()] {
			w.rostered = true
		}
	}
	m.stale = true
}
