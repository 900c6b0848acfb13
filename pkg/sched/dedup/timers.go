package dedup

import (
	"container/heap"
	"time"
)

// requestRef refers to the request that holds a key. It is stale once the key
// belongs to another request.
type requestRef struct{ key, id string }

// timerKind is what a timer is for.
type timerKind uint8

const (
	// dueOutcome: the wait for the outcome of a request ends.
	dueOutcome timerKind = iota
	// dueWaiter: the deadline of a waiting repeat passes.
	dueWaiter
	// dueAnswer: the retention of an answer ends.
	dueAnswer
	// dueKey: the retention of a key ends.
	dueKey
	// dueAppend: the outcome of a request is appended after a failed append.
	dueAppend
)

// timer is an action on a key that is due at a given time.
type timer struct {
	at     time.Time
	ref    requestRef
	kind   timerKind
	waiter uint64
	op     op
}

// timers is a heap ordered by time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

func (m *Machine) addTimer(t timer) { heap.Push(&m.timers, t) }

// tick runs the timers that are due.
func (m *Machine) tick(now time.Time) {
	for len(m.timers) > 0 && !now.Before(m.timers[0].at) {
		t := heap.Pop(&m.timers).(timer)
		s := m.states[t.ref.key]
		if s == nil {
			continue
		}
		switch {
		case t.kind == dueWaiter:
			m.expireWaiter(s, t.waiter)
		case s.id != t.ref.id:
			// The key belongs to a later request.
		case t.kind == dueOutcome && s.phase == running:
			m.setUnknown(now, s)
		case t.kind == dueAnswer:
			m.dropAnswer(s)
		case t.kind == dueKey && m.retentionEnded(now, s):
			m.remove(s)
		case t.kind == dueAppend && m.serving:
			m.append(s, t.op)
		}
	}
}

// retentionEnded reports whether the retention of a finished key has ended. A key
// whose request finished after this timer was set also has a later timer.
func (m *Machine) retentionEnded(now time.Time, s *keyState) bool {
	return (s.phase == ran || s.phase == unknown) && !now.Before(s.at.Add(m.keyTTL))
}

// expireWaiter refuses a waiting repeat whose deadline has passed. The outcome of
// the first call is not known yet.
func (m *Machine) expireWaiter(s *keyState, waiter uint64) {
	for i, w := range s.waiters {
		if w.Waiter == waiter {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			m.waiterCount--
			m.refuse(waiter, m.waitReason(s))
			return
		}
	}
}
