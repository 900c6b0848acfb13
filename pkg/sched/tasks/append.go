package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// retryAppendMin is the delay before a failed append is repeated. The delay
// doubles with each failure up to retryAppendMax.
const (
	retryAppendMin = 500 * time.Millisecond
	retryAppendMax = 5 * time.Second
)

// pendingAppend is an append in progress, or a failed one that will be repeated.
type pendingAppend struct {
	rec sched.Record
	// onResult is called once, with the result of the last try. lost means that
	// the record may be durable although ok is false.
	onResult func(ok, lost bool)
	// onFirstFailure, if set, is called at the first failure of an append that
	// is repeated.
	onFirstFailure func()
	// repeat is set if a failed append is repeated until it commits.
	repeat  bool
	tries   int
	nextTry time.Time
	pos     int
}

// appendOnce journals a record and passes the result to done.
func (m *Machine) appendOnce(r record, done func(ok, lost bool)) {
	m.sendAppend(&pendingAppend{rec: r.encode(), onResult: done})
}

// persist journals a record and repeats the append until it commits. It is for
// records of something that has already happened and cannot be undone, for
// example on a worker or at another shard. failed, if set, is called after the
// first failure, done after the commit.
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

// repeatAppends repeats the failed appends whose delay has passed.
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
