package leader

import (
	"context"
	"sync"
)

// orderQueue sends orders in turn, and a bounded number of them at the same time. More
// orders at once would compete for the little processor time of an entry until all of
// them miss their timeouts. An order that waits has no goroutine, because one job may
// need thousands of orders.
type orderQueue struct {
	ctx   context.Context
	limit int
	// guard calls a function and handles its panics.
	guard func(step string, f func())

	mu      sync.Mutex
	waiting []order
	sending int
}

// order is an order that waits to be sent.
type order struct {
	step string
	send func()
}

// add sends an order as soon as less than the limit are being sent, unless the queue's
// context ends before.
func (q *orderQueue) add(step string, send func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.sending >= q.limit {
		q.waiting = append(q.waiting, order{step, send})
		return
	}
	q.sending++
	go q.run(order{step, send})
}

// run sends an order and then those that wait.
func (q *orderQueue) run(o order) {
	for ok := true; ok; o, ok = q.next() {
		if q.ctx.Err() == nil {
			q.guard(o.step, o.send)
		}
	}
}

// next returns the order that has waited longest. If there is none, the caller ends.
func (q *orderQueue) next() (order, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.sending--
		return order{}, false
	}
	o := q.waiting[0]
	q.waiting[0] = order{}
	q.waiting = q.waiting[1:]
	return o, true
}
