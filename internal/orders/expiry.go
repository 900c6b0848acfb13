package orders

import (
	"fmt"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// maxReadingAge is how long a reading of a dispatcher's clock is used. Two clocks
// that run apart by 1 ms in a second, which is twice the limit for adjusting a
// system's clock, differ by 60 ms after this time.
const maxReadingAge = time.Minute

// reading is a reading of the clock of a dispatcher. The clocks of two entries
// have no common origin, so the expiry of an order is computed from a reading.
type reading struct {
	// process identifies the process of the dispatcher. It is empty if the
	// dispatcher is of an older build that has no clock.
	process string
	clock   time.Duration
	// sent is the local time at which the batch was sent that the reading
	// answers. It is zero while no reading is known.
	sent time.Time
}

// usable reports whether the reading is known and not too old.
func (r *reading) usable(now time.Time) bool {
	return !r.sent.IsZero() && now.Sub(r.sent) <= maxReadingAge
}

// at returns an upper bound of the dispatcher's clock at local time t. It exceeds
// the clock by the time that the batch took to reach the dispatcher, which is at
// most batchTimeout.
func (r *reading) at(t time.Time) time.Duration { return r.clock + t.Sub(r.sent) }

// queuedOrder is an order that waits for the next batch. deadline is the local time
// until which its caller wants it to be carried out.
type queuedOrder struct {
	Order
	deadline time.Time
}

// expires reports whether the order must not be carried out long after its caller has
// given it up: a start, or a renewal that extends leases or acknowledges run ends. A
// renewal is made for one incarnation of the worker. Both its deadline and its sequence
// number mean something else to a later one, which answers under the same name.
func (o *Order) expires() bool {
	return o.Start != nil || o.Renew != nil && (o.Renew.HasDeadline || o.Renew.Seen > 0)
}

// nextBatch removes the orders of the next batch from the queue. Without a usable
// reading, orders that expire stay in the queue, and the batch asks for an answer at once, which
// has a reading. nextBatch returns false if no orders or results are outstanding; the
// link does not run any more then.
func (l *link) nextBatch(term uint64, now time.Time) (Batch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 && len(l.queue) == 0 {
		l.running = false
		return Batch{}, false
	}
	usable := l.reading.usable(now)
	batch := Batch{Term: term, Process: l.reading.process, Wait: batchWait}
	var rest []queuedOrder
	for _, q := range l.queue {
		switch {
		case q.expires() && !usable:
			batch.Wait = 0
			rest = append(rest, q)
		case len(batch.Orders) == maxBatchOrders:
			rest = append(rest, q)
		default:
			if q.expires() && batch.Process != "" {
				q.Expiry = l.reading.at(q.deadline)
			}
			batch.Orders = append(batch.Orders, q.Order)
		}
	}
	l.queue = rest
	return batch, true
}

// recordReading keeps the reading of an answer to a batch that was sent at the
// given time. If the process did not run meanwhile, the batch may have been sent
// much later, and the reading would give too late an expiry.
func (l *link) recordReading(out *Results, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(sent) > batchTimeout {
		l.reading = reading{}
		return
	}
	l.reading = reading{process: out.Process, clock: out.Clock, sent: sent}
}

// errExpired means that an order reached the dispatcher too late, and
// errOtherProcess that its expiry is one of another process.
var (
	errExpired      = fmt.Errorf("%w: order expired in the dispatcher", sched.ErrUnavailable)
	errOtherProcess = fmt.Errorf("%w: dispatcher was restarted", sched.ErrUnavailable)
)

// clock returns the dispatcher's clock, which advances while the process does not
// run.
func (d *Dispatcher) clock() time.Duration { return d.now().Sub(d.started) }

// timeout returns the timeout of the exchange with the worker, or an error if the
// order must not be sent any more. process is that of the order's batch. The
// exchange ends at most batchTimeout after the leader gives the order up, which is
// dispatchAllowance after its expiry.
func (d *Dispatcher) timeout(process string, o *Order) (time.Duration, error) {
	// A leader of an older build gives renewals no expiry.
	if !o.expires() || process == "" || o.Renew != nil && o.Expiry == 0 {
		return o.Timeout, nil
	}
	if process != d.process {
		d.log.Info(o.kind()+" for another process of the dispatcher", o.attrs()...)
		return 0, errOtherProcess
	}
	now := d.clock()
	if now > o.Expiry {
		d.log.Info(o.kind()+" expired in the dispatcher", append(o.attrs(), "late", now-o.Expiry)...)
		return 0, errExpired
	}
	return min(o.Timeout, o.Expiry-now+dispatchAllowance), nil
}

// kind returns the kind of an order that expires, for logs.
func (o *Order) kind() string {
	if o.Renew != nil {
		return "renewal"
	}
	return "start"
}

// attrs returns the attributes that identify an order that expires in logs.
func (o *Order) attrs() []any {
	if o.Start == nil {
		return []any{"worker", o.Worker}
	}
	run := o.Start.Run
	return []any{"id", run.Task.Job, "run", run.Number, "worker", o.Worker}
}
