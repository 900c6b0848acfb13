package dedup

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Update implements [sched.Machine].
func (m *Machine) Update(now time.Time, msg sched.Msg) []sched.Cmd {
	m.cmds = nil
	switch msg := msg.(type) {
	case BeginMsg:
		m.begin(now, msg)
	case FinishMsg:
		m.finish(now, msg)
	case sched.CommittedMsg:
		m.committed(now, msg)
	case sched.CommitFailedMsg:
		m.commitFailed(now, msg)
	case EntryGoneMsg:
		m.entryGone(now, msg)
	case AcquiredMsg:
		m.serving, m.paused = true, false
		m.tick(now)
	case SuspendMsg:
		m.paused = true
	case ResumeMsg:
		m.paused = false
	case LostMsg:
		m.lost()
	case sched.TickMsg:
		m.tick(now)
	}
	return m.cmds
}

// begin handles a BeginMsg: it answers for a known key, or writes the intent of a
// new key to the journal.
func (m *Machine) begin(now time.Time, msg BeginMsg) {
	s := m.states[msg.Key]
	switch {
	case !m.serving || m.paused:
		m.refuse(msg.Waiter, sched.ReasonNotOwner)
	case s == nil:
		m.appendIntent(now, msg)
	case s.fingerprint != msg.Fingerprint:
		m.refuse(msg.Waiter, sched.ReasonKeyReused)
	case s.phase == running && s.id == msg.RequestID:
		// The call asks again because the shard's owner changed before it got
		// Go.
		m.reply(ReplyCmd{Waiter: msg.Waiter, Verdict: Go})
	case s.phase == ran && s.answer != nil:
		m.reply(ReplyCmd{Waiter: msg.Waiter, Verdict: Repeat, Answer: s.answer})
	case s.phase == ran:
		m.refuse(msg.Waiter, sched.ReasonAnswerExpired)
	case s.phase == unknown:
		m.refuse(msg.Waiter, sched.ReasonFirstCallUnknown)
	case m.waiterCount >= m.maxWaiters || !now.Before(msg.Deadline):
		m.refuse(msg.Waiter, m.waitReason(s))
	default:
		m.wait(s, msg)
	}
}

// waitReason returns why a repeat that cannot wait any longer is refused. Only
// while the key is being freed is it known that the first call did not run.
func (m *Machine) waitReason(s *keyState) sched.Reason {
	if s.phase == freeing {
		return sched.ReasonStoreUnavailable
	}
	return sched.ReasonFirstCallUnknown
}

// wait lets a repeat wait for the outcome of the first call until its deadline.
func (m *Machine) wait(s *keyState, msg BeginMsg) {
	s.waiters = append(s.waiters, msg)
	m.waiterCount++
	m.addTimer(timer{at: msg.Deadline, ref: requestRef{s.key, s.id}, kind: dueWaiter, waiter: msg.Waiter})
}

// appendIntent adds a new key and writes its intent to the journal.
func (m *Machine) appendIntent(now time.Time, msg BeginMsg) {
	s := &keyState{
		key:         msg.Key,
		id:          msg.RequestID,
		fingerprint: msg.Fingerprint,
		from:        msg.From,
		deadline:    msg.Deadline,
		at:          now,
		firstWaiter: msg.Waiter,
	}
	if m.keyBytes+s.size() > m.maxKeyBytes {
		m.refuse(msg.Waiter, sched.ReasonQueueFull)
		return
	}
	if !now.Before(msg.Deadline) {
		m.refuse(msg.Waiter, sched.ReasonDeadlineExceeded)
		return
	}
	m.add(s)
	m.append(s, opIntent)
}

// finish records the reported outcome of the request that holds the key. A report
// about an earlier request with the same key is ignored.
func (m *Machine) finish(now time.Time, msg FinishMsg) {
	s := m.states[msg.Key]
	if s == nil || s.id != msg.RequestID || !m.serving {
		return
	}
	switch {
	case s.phase == pending:
		// The entry gave up before it received Go, so the request did not run.
		s.cancelled = true
	case s.phase == ran || s.phase == freeing || s.neverRan:
		// The report is a duplicate, or its request never got Go.
	case msg.Outcome == sched.Ran:
		m.setRan(now, s, msg.Answer)
		m.append(s, opRan)
	case msg.Outcome == sched.NotRun:
		s.phase = freeing
		m.append(s, opFree)
	case s.phase == running:
		m.setUnknown(now, s)
	}
}

// setRan records that the request ran, keeps its answer and sends it to the
// waiting repeats.
func (m *Machine) setRan(now time.Time, s *keyState, a *Answer) {
	s.phase = ran
	s.at = now
	m.keepAnswer(now, s, a)
	m.addTimer(timer{at: now.Add(m.keyTTL), ref: requestRef{s.key, s.id}, kind: dueKey})
	for _, w := range m.takeWaiters(s) {
		if a != nil {
			m.reply(ReplyCmd{Waiter: w.Waiter, Verdict: Repeat, Answer: a})
			continue
		}
		m.refuse(w.Waiter, sched.ReasonAnswerExpired)
	}
}

// setUnknown records that the outcome is unknown and refuses the waiting repeats.
// It writes nothing to the journal, because an intent without an outcome means
// the same there.
func (m *Machine) setUnknown(now time.Time, s *keyState) {
	s.phase = unknown
	at := s.at.Add(m.keyTTL)
	if at.Before(now) {
		at = now
	}
	m.addTimer(timer{at: at, ref: requestRef{s.key, s.id}, kind: dueKey})
	m.refuseWaiters(s, sched.ReasonFirstCallUnknown)
}

// entryGone stops waiting for the outcomes of the requests that a departed entry
// was running.
func (m *Machine) entryGone(now time.Time, msg EntryGoneMsg) {
	for _, key := range m.keys() {
		s := m.states[key]
		if s.from != msg.EntryName {
			continue
		}
		switch s.phase {
		case pending:
			s.cancelled = true
		case running:
			m.setUnknown(now, s)
		}
	}
}

// committed continues after a record of a key has become durable.
func (m *Machine) committed(now time.Time, msg sched.CommittedMsg) {
	p, s := m.takeTicket(msg.Ticket)
	if s == nil {
		return
	}
	switch p.op {
	case opIntent:
		m.intentCommitted(now, s)
	case opRan:
		s.durable = true
	case opFree:
		m.freeCommitted(now, s)
	}
}

// intentCommitted answers Go. It frees the key instead if the request was
// cancelled or its deadline has passed.
func (m *Machine) intentCommitted(now time.Time, s *keyState) {
	if s.phase != pending {
		return
	}
	first := s.firstWaiter
	s.firstWaiter = 0
	if s.cancelled || !now.Before(s.deadline) {
		m.refuse(first, sched.ReasonDeadlineExceeded)
		s.phase = freeing
		m.append(s, opFree)
		return
	}
	s.phase = running
	m.addTimer(timer{at: s.deadline.Add(m.margin), ref: requestRef{s.key, s.id}, kind: dueOutcome})
	m.reply(ReplyCmd{Waiter: first, Verdict: Go})
}

// freeCommitted removes a key that is durably free and lets its waiting repeats
// begin again, so that the first of them gets the key.
func (m *Machine) freeCommitted(now time.Time, s *keyState) {
	waiters := m.takeWaiters(s)
	m.remove(s)
	for _, w := range waiters {
		m.begin(now, w)
	}
}

// commitFailed handles a failed append. The append of an outcome is retried. If
// the append of an intent failed, the call is refused and its key removed, or
// freed durably if the intent may be durable.
func (m *Machine) commitFailed(now time.Time, msg sched.CommitFailedMsg) {
	p, s := m.takeTicket(msg.Ticket)
	if s == nil {
		return
	}
	if p.op != opIntent {
		m.addTimer(timer{at: now.Add(appendRetryDelay), ref: requestRef{s.key, s.id}, kind: dueAppend, op: p.op})
		return
	}
	reason := msg.Reason
	if reason.Outcome() != sched.NotRun {
		reason = sched.ReasonStoreUnavailable
	}
	first := s.firstWaiter
	s.firstWaiter = 0
	m.refuse(first, reason)
	if !msg.Lost {
		m.refuseWaiters(s, reason)
		m.remove(s)
		return
	}
	// The intent may be durable. A later owner would then treat the outcome as
	// unknown, so this one does too until the key is durably free.
	s.neverRan = true
	m.setUnknown(now, s)
	m.addTimer(timer{at: now.Add(appendRetryDelay), ref: requestRef{s.key, s.id}, kind: dueAppend, op: opFree})
}

// lost drops all state. Requests that have not got Go are refused as not run.
// Waiting repeats are refused with KeyOwnerUnavailable, because only the next
// owner of the shard learns the outcome of their first call.
func (m *Machine) lost() {
	for _, key := range m.keys() {
		s := m.states[key]
		if s.firstWaiter != 0 {
			m.refuse(s.firstWaiter, sched.ReasonNotOwner)
		}
		m.refuseWaiters(s, sched.ReasonKeyOwnerUnavailable)
	}
	m.reset()
}
