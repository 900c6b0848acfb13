package tasks

import (
	"cmp"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// resendMin is above the usual round trip with its commit at the receiver
	// (about 50 ms), so that an event is usually sent once.
	resendMin = 500 * time.Millisecond
	resendMax = 10 * time.Second
)

type eventKey struct {
	kind EventKind
	task sched.TaskID
}

// out is an event that is repeated until it is acknowledged.
type outboxEvent struct {
	key      eventKey
	to       sched.ShardID
	event    Event
	nextSend time.Time
	sends    int
	pos      int
}

func outboxLess(a, b *outboxEvent) bool {
	if !a.nextSend.Equal(b.nextSend) {
		return a.nextSend.Before(b.nextSend)
	}
	if c := compareIDs(a.key.task, b.key.task); c != 0 {
		return c < 0
	}
	return a.key.kind < b.key.kind
}

func compareIDs(a, b sched.TaskID) int {
	if c := strings.Compare(string(a.Job), string(b.Job)); c != 0 {
		return c
	}
	return cmp.Compare(a.Index, b.Index)
}

// post sends an event and repeats it with backoff until it is settled.
func (m *Machine) sendUntilAcked(to sched.ShardID, e Event) {
	k := eventKey{e.Kind, e.Task}
	if m.unacked[k] != nil {
		return
	}
	o := &outboxEvent{key: k, to: to, event: e, nextSend: m.now.Add(resendMin), sends: 1}
	m.unacked[k] = o
	m.outbox.push(o)
	m.emit(EventCmd{To: to, Event: e})
}

// settle ends the repetition of an event.
func (m *Machine) stopResending(kind EventKind, id sched.TaskID) {
	k := eventKey{kind, id}
	if o := m.unacked[k]; o != nil {
		m.outbox.remove(o)
		delete(m.unacked, k)
	}
}

// resend repeats the events that are due.
func (m *Machine) resend() {
	for {
		o, ok := m.outbox.top()
		if !ok || o.nextSend.After(m.now) {
			return
		}
		o.nextSend = m.now.Add(min(resendMin<<min(o.sends, 8), resendMax))
		o.sends++
		m.outbox.fix(o)
		m.emit(EventCmd{To: o.to, Event: o.event})
	}
}
