package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	retryAppendMin = 500 * time.Millisecond
	retryAppendMax = 5 * time.Second
)

// commit is an append in progress, or one that failed and is to be repeated.
type pendingAppend struct {
	rec sched.Record
	// done is called once, with the result of the last try.
	onResult func(ok, lost bool)
	// failed, if set, makes the append repeat until it commits; it is called
	// at the first failure only.
	onFirstFailure func()
	repeat         bool
	tries          int
	nextTry        time.Time
	pos            int
}

// appendOnce journals a record and reports the result.
func (m *Machine) appendOnce(r record, done func(ok, lost bool)) {
	m.sendAppend(&pendingAppend{rec: r.encode(), onResult: done})
}

// persist journals a record and repeats that until it is durable: the effect
// has already happened on a worker or at another shard. failed is called after
// the first failure.
func (m *Machine) persist(r record, failed, done func()) {
	m.sendAppend(&pendingAppend{
		rec: r.encode(), repeat: true, onFirstFailure: failed,
		onResult: func(bool, bool) { done() },
	})
}

func (m *Machine) sendAppend(c *pendingAppend) {
	m.ticket++
	m.pending[m.ticket] = c
	m.emit(sched.AppendCmd{Ticket: m.ticket, Record: c.rec})
}

func (m *Machine) onCommitted(msg sched.CommittedMsg) {
	c := m.pending[msg.Ticket]
	if c == nil {
		return
	}
	delete(m.pending, msg.Ticket)
	c.onResult(true, false)
}

func (m *Machine) onCommitFailed(msg sched.CommitFailedMsg) {
	c := m.pending[msg.Ticket]
	if c == nil {
		return
	}
	delete(m.pending, msg.Ticket)
	if !c.repeat {
		c.onResult(false, msg.Lost)
		return
	}
	if c.tries == 0 && c.onFirstFailure != nil {
		c.onFirstFailure()
	}
	c.nextTry = m.now.Add(min(retryAppendMin<<min(c.tries, 8), retryAppendMax))
	c.tries++
	m.retries.push(c)
}

// repeatAppends sends the failed appends whose delay has passed.
func (m *Machine) repeatAppends() {
	for {
		c, ok := m.retries.top()
		if !ok || c.nextTry.After(m.now) {
			return
		}
		m.retries.remove(c)
		m.sendAppend(c)
	}
}
