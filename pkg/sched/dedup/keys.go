package dedup

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

func (m *Machine) add(s *keyState) {
	m.states[s.key] = s
	m.keyBytes += s.size()
}

func (m *Machine) remove(s *keyState) {
	m.dropAnswer(s)
	m.keyBytes -= s.size()
	delete(m.states, s.key)
}

// keys returns all keys in sorted order, so that the order of replies and records
// is deterministic.
func (m *Machine) keys() []string { return slices.Sorted(maps.Keys(m.states)) }

// append asks the runner to write a state change of a key to the journal.
func (m *Machine) append(s *keyState, o op) {
	m.lastTicket++
	m.tickets[m.lastTicket] = pendingAppend{key: s.key, id: s.id, op: o}
	m.cmds = append(m.cmds, sched.AppendCmd{Ticket: m.lastTicket, Record: encode(s, o)})
}

// takeTicket removes and returns the append of a ticket and the state of its key.
// The state is nil if the ticket is unknown or the key now belongs to another
// request.
func (m *Machine) takeTicket(t sched.Ticket) (pendingAppend, *keyState) {
	p, ok := m.tickets[t]
	if !ok {
		return p, nil
	}
	delete(m.tickets, t)
	s := m.states[p.key]
	if s == nil || s.id != p.id {
		return p, nil
	}
	return p, s
}

func (m *Machine) reply(r ReplyCmd) { m.cmds = append(m.cmds, r) }

func (m *Machine) refuse(waiter uint64, reason sched.Reason) {
	m.reply(ReplyCmd{Waiter: waiter, Verdict: Refused, Reason: reason})
}

// takeWaiters removes and returns the waiting repeats of a key.
func (m *Machine) takeWaiters(s *keyState) []BeginMsg {
	ws := s.waiters
	s.waiters = nil
	m.waiterCount -= len(ws)
	return ws
}

func (m *Machine) refuseWaiters(s *keyState, reason sched.Reason) {
	for _, w := range m.takeWaiters(s) {
		m.refuse(w.Waiter, reason)
	}
}

// keepAnswer keeps an answer for repeats. If the answers then exceed their memory
// limit, it drops the oldest ones. An answer that is too large is not kept.
func (m *Machine) keepAnswer(now time.Time, s *keyState, a *Answer) {
	if a == nil || len(a.Body) > MaxAnswer || a.size() > m.maxAnswerBytes {
		return
	}
	s.answer = a
	m.answerBytes += a.size()
	m.answerOrder = append(m.answerOrder, requestRef{s.key, s.id})
	m.addTimer(timer{at: now.Add(m.answerTTL), ref: requestRef{s.key, s.id}, kind: dueAnswer})
	for m.answerBytes > m.maxAnswerBytes && len(m.answerOrder) > 0 {
		r := m.answerOrder[0]
		m.answerOrder = m.answerOrder[1:]
		if old := m.states[r.key]; old != nil && old.id == r.id {
			m.dropAnswer(old)
		}
	}
}

// dropAnswer removes the answer of a key.
func (m *Machine) dropAnswer(s *keyState) {
	m.answerBytes -= s.answer.size()
	s.answer = nil
	// Answers expire in the order of answerOrder, so it is enough to remove the
	// stale references at its front.
	for len(m.answerOrder) > 0 {
		r := m.answerOrder[0]
		if old := m.states[r.key]; old != nil && old.id == r.id && old.answer != nil {
			return
		}
		m.answerOrder = m.answerOrder[1:]
	}
}

// Counts is a summary of a shard's keys for status pages.
type Counts struct {
	Keys int
	// Waiting is the number of waiting repeats.
	Waiting     int
	AnswerBytes int
	// KeyBytes is the memory of the keys without their answers.
	KeyBytes int
}

// Counts returns a summary of the shard's keys.
func (m *Machine) Counts() Counts {
	return Counts{
		Keys:        len(m.states),
		Waiting:     m.waiterCount,
		AnswerBytes: m.answerBytes,
		KeyBytes:    m.keyBytes,
	}
}
