package tasks

import (
	"cmp"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// resendMin is the delay before an event is sent again. It is above the usual
	// round trip including the commit at the receiver (about 50 ms), so that an
	// event is usually sent once. The delay doubles with each send up to
	// resendMax.
	resendMin = 500 * time.Millisecond
	resendMax = 10 * time.Second
)

// eventKey identifies an event in the outbox.
type eventKey struct {
	kind EventKind
	task sched.TaskID
}

// outboxEvent is an event that is resent until it is acknowledged.
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

// sendUntilAcked sends an event and resends it with backoff until stopResending
// is called for it.
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

// stopResending removes an event from the outbox.
func (m *Machine) stopResending(kind EventKind, id sched.TaskID) {
	k := eventKey{kind, id}
	if o := m.unacked[k]; o != nil {
		m.outbox.remove(o)
		delete(m.unacked, k)
	}
}

// resend sends the events again whose delay has passed.
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
