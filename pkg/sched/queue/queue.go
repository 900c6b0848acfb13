// Package queue holds the requests of one service that wait for a slot.
//
// Short and long requests wait in separate lanes. A [Predictor] learns the run
// time of each class of requests and tells which classes are long. Long
// requests get the slots that short ones do not need, and never less than a
// reserved share, so that they neither block short requests nor starve.
//
// Within a lane the request with the least slack starts first. Under sustained
// overload that order would start each request just too late, so the lane then
// starts the newest request that can still finish in time. A request that
// cannot finish before its deadline is refused at once.
//
// # Usage
//
//	q := queue.New(queue.WithSize(1024))
//	if reason, ok := q.Push(now, queue.Item{ID: 1, Deadline: deadline}); !ok {
//		// refuse with reason
//	}
//	item, ok := q.Pop(now, free, slots)
//	// ... the request ends
//	q.Done(now, item.Long)
//
// Push, Pop and Remove take time logarithmic in the number of waiting
// requests. A Queue is not safe for concurrent use.
package queue

import (
	"math"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Defaults of a Queue.
const (
	// DefaultSize bounds the requests that wait in each lane.
	DefaultSize = 1024
	// DefaultLongShare is the share of the slots that long requests get even
	// while short ones wait.
	DefaultLongShare = 0.25
	// overloadAfter is how long a lane must have held requests without a break
	// before it can count as overloaded. Shorter bursts drain by themselves.
	overloadAfter = 100 * time.Millisecond
	// overloadHold is how long a lane counts as overloaded after a request was
	// dropped because it could not finish in time.
	overloadHold = time.Second
	// demandTau is the time constant of the mean demand of short requests,
	// which changes within seconds.
	demandTau = 2 * time.Second
)

// Item is a waiting request.
type Item struct {
	ID       uint64
	Deadline time.Time
	// Estimate is the expected run time; 0 if it is not known.
	Estimate time.Duration
	// Bound is a run time that is seldom exceeded. A waiting request is dropped
	// when less time is left to its deadline. A bound below Estimate counts as
	// Estimate.
	Bound time.Duration
	// Long puts the request in the lane of long requests.
	Long bool
}

// Refusal is a waiting request that the queue has dropped, with the reason.
type Refusal struct {
	ID     uint64
	Reason sched.Reason
}

// Queue holds the waiting requests of one service.
type Queue struct {
	short, long lane
	longShare   float64
	refused     []Refusal
	// busyShort and busyLong count the requests in progress.
	busyShort int
	busyLong  int
	// demand is the mean number of short requests that wait or are in progress.
	demand   float64
	demandAt time.Time
}

// Option configures a Queue.
type Option func(*Queue)

// WithSize bounds the requests that wait in each lane.
func WithSize(n int) Option { return func(q *Queue) { q.short.size, q.long.size = n, n } }

// WithLongShare sets the share of the slots that is reserved for long requests.
func WithLongShare(s float64) Option { return func(q *Queue) { q.longShare = s } }

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{longShare: DefaultLongShare}
	q.short = newLane()
	q.long = newLane()
	WithSize(DefaultSize)(q)
	for _, o := range opts {
		o(q)
	}
	return q
}

// Push adds a request. It returns false and the reason if it refuses the
// request.
func (q *Queue) Push(now time.Time, it Item) (sched.Reason, bool) {
	if now.Add(it.Estimate).After(it.Deadline) || !now.Before(it.Deadline) {
		return sched.ReasonDeadlineTooShort, false
	}
	l := q.lane(it.Long)
	if l.len() >= l.size && !q.makeRoom(now, l) {
		return sched.ReasonQueueFull, false
	}
	q.observe(now)
	l.push(now, it)
	return "", true
}

// makeRoom drops the request with the least slack from an overloaded lane, which
// would start newer requests first anyway.
func (q *Queue) makeRoom(now time.Time, l *lane) bool {
	if l.size == 0 || !l.overloaded(now) {
		return false
	}
	it := l.take(l.heap[0])
	q.refused = append(q.refused, Refusal{it.ID, sched.ReasonQueueFull})
	return true
}

// Pop removes and returns the request to start next, given the free and the
// total slots of the service. It returns false if none may start now. The caller
// reports the end of the request with Done.
func (q *Queue) Pop(now time.Time, free, slots int) (Item, bool) {
	q.observe(now)
	q.drop(now, &q.short)
	q.drop(now, &q.long)
	if free <= 0 {
		return Item{}, false
	}
	switch {
	case q.long.len() > 0 && q.longFirst(slots):
		q.busyLong++
		return q.long.pop(now), true
	case q.short.len() > 0:
		q.busyShort++
		return q.short.pop(now), true
	default:
		return Item{}, false
	}
}

// longFirst reports whether a long request may take the next slot.
func (q *Queue) longFirst(slots int) bool {
	floor := max(1, int(math.Ceil(q.longShare*float64(slots))))
	if q.busyLong < floor {
		return true
	}
	if q.short.len() > 0 {
		return false
	}
	return q.busyLong < q.LongBound(slots)
}

// LongBound returns the number of slots that long requests may take. It reserves
// the mean demand of short requests plus one standard deviation, assuming a
// Poisson distribution. Reserving the peak demand would cost long requests
// throughput.
func (q *Queue) LongBound(slots int) int {
	floor := max(1, int(math.Ceil(q.longShare*float64(slots))))
	reserved := int(math.Ceil(q.demand + math.Sqrt(q.demand)))
	return max(floor, slots-reserved)
}

// Done reports that a request that Pop returned has ended.
func (q *Queue) Done(now time.Time, long bool) {
	q.observe(now)
	if long {
		q.busyLong--
		return
	}
	q.busyShort--
}

// Adopt counts a request in progress that this queue has not returned from Pop,
// for example one that started under a former name of the service. The caller
// reports its end with Done.
func (q *Queue) Adopt(now time.Time, long bool) {
	q.observe(now)
	if long {
		q.busyLong++
		return
	}
	q.busyShort++
}

// observe updates the exponentially weighted mean of the demand of short
// requests with the time since the last call.
func (q *Queue) observe(now time.Time) {
	if q.demandAt.IsZero() {
		q.demandAt = now
	}
	dt := now.Sub(q.demandAt)
	if dt <= 0 {
		return
	}
	q.demandAt = now
	w := 1 - math.Exp(-float64(dt)/float64(demandTau))
	q.demand += (float64(q.busyShort+q.short.len()) - q.demand) * w
}

// Remove removes a waiting request, for example because its caller has closed
// the connection. It reports whether the request was waiting.
func (q *Queue) Remove(id uint64) bool {
	for _, l := range [...]*lane{&q.short, &q.long} {
		if n, ok := l.byID[id]; ok {
			l.take(n)
			return true
		}
	}
	return false
}

// Refused returns the requests that were dropped since the last call. The slice
// is valid until the next call to the queue.
func (q *Queue) Refused(now time.Time) []Refusal {
	q.drop(now, &q.short)
	q.drop(now, &q.long)
	out := q.refused
	q.refused = q.refused[:0]
	return out
}

// Clear drops all waiting requests with a reason.
func (q *Queue) Clear(reason sched.Reason) {
	for _, l := range [...]*lane{&q.short, &q.long} {
		for l.len() > 0 {
			q.refused = append(q.refused, Refusal{l.take(l.heap[0]).ID, reason})
		}
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.short.len() + q.long.len() }

// LongBusy returns the number of slots that long requests take.
func (q *Queue) LongBusy() int { return q.busyLong }

// drop drops the requests of a lane that can no longer finish in time.
func (q *Queue) drop(now time.Time, l *lane) {
	for l.len() > 0 && l.nodes[l.heap[0]].missesDeadline(now) {
		it := l.take(l.heap[0])
		l.lastDropAt = now
		reason := sched.ReasonDeadlineTooShort
		if !now.Before(it.Deadline) {
			reason = sched.ReasonDeadlineExceeded
		}
		q.refused = append(q.refused, Refusal{it.ID, reason})
	}
}

func (q *Queue) lane(long bool) *lane {
	if long {
		return &q.long
	}
	return &q.short
}
