package orders

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net/netip"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/clock"
	"github.com/mangoslip/mangoslip/internal/guard"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// batchInterval is the shortest interval between batches to one dispatcher.
	// Orders are collected meanwhile.
	batchInterval = 15 * time.Millisecond
	// batchWait is how long a dispatcher waits for a result before it answers a
	// batch, and batchTimeout is the timeout of the whole call.
	batchWait    = 25 * time.Millisecond
	batchTimeout = 400 * time.Millisecond
	// maxBatchOrders bounds the orders of one batch.
	maxBatchOrders = 256
	// dispatchAllowance is the time that a dispatcher may add to the exchange of
	// an order and its answer.
	dispatchAllowance = 150 * time.Millisecond
	// pauseDuration is how long a dispatcher gets no orders after it failed or
	// announced that it stops.
	pauseDuration = 3 * time.Second
)

// SendBatch sends a batch to the dispatcher at addr.
type SendBatch func(ctx context.Context, addr netip.AddrPort, b Batch) (Results, error)

// Pool sends orders through dispatchers, or directly if there is none. It
// implements [sched.Orders] for one term of a leader.
type Pool struct {
	term      uint64
	direct    sched.Orders
	sendBatch SendBatch
	// dispatchers returns the addresses of the entries that may dispatch orders.
	dispatchers func() []netip.AddrPort
	logEvent    func(event string, attrs ...any)
	// seed is the seed of the hash that assigns workers to dispatchers.
	seed maphash.Seed
	now  func() time.Time
	ctx  context.Context

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	lastID uint64
}

var _ sched.Orders = (*Pool)(nil)

// link holds the orders that go through one dispatcher, and the calls that wait
// for their results.
type link struct {
	addr netip.AddrPort

	mu    sync.Mutex
	queue []queuedOrder
	// pending holds the channels of the calls that wait for a result, by the ID
	// of the order.
	pending map[uint64]chan Result
	// pausedUntil is when the dispatcher may get new orders again.
	pausedUntil time.Time
	// stopping means that the dispatcher announced that it stops soon.
	stopping bool
	// reading is the last reading of the dispatcher's clock.
	reading reading
	// running means that a goroutine sends batches to the dispatcher.
	running bool
}

// PoolOption changes a setting of a [Pool].
type PoolOption func(*Pool)

// WithPoolClock sets the function that returns the current time; the default is
// [clock.Now]. The time has to advance while the process does not run.
func WithPoolClock(now func() time.Time) PoolOption { return func(p *Pool) { p.now = now } }

// NewPool returns a pool for a term. It works until ctx ends.
func NewPool(
	ctx context.Context, term uint64, direct sched.Orders, sendBatch SendBatch,
	dispatchers func() []netip.AddrPort, logEvent func(event string, attrs ...any), opts ...PoolOption,
) *Pool {
	p := &Pool{
		term: term, direct: direct, sendBatch: sendBatch, dispatchers: dispatchers, logEvent: logEvent, seed: maphash.MakeSeed(),
		now: clock.Now, ctx: ctx, links: map[netip.AddrPort]*link{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Start implements [sched.Orders].
func (p *Pool) Start(ctx context.Context, m sched.Member, o sched.StartOrder) (sched.OrderReply, error) {
	l := p.link(m)
	if l == nil {
		return p.direct.Start(ctx, m, o)
	}
	r, err := p.dispatch(ctx, l, m, Order{Start: &o})
	return r.Reply, err
}

// Stop implements [sched.Orders].
func (p *Pool) Stop(ctx context.Context, m sched.Member, o sched.StopOrder) (sched.OrderReply, error) {
	l := p.link(m)
	if l == nil {
		return p.direct.Stop(ctx, m, o)
	}
	r, err := p.dispatch(ctx, l, m, Order{Stop: &o})
	return r.Reply, err
}

// Throttle implements [sched.Orders].
func (p *Pool) Throttle(ctx context.Context, m sched.Member, o sched.ThrottleOrder) (sched.OrderReply, error) {
	l := p.link(m)
	if l == nil {
		return p.direct.Throttle(ctx, m, o)
	}
	r, err := p.dispatch(ctx, l, m, Order{Throttle: &o})
	return r.Reply, err
}

// Renew implements [sched.Orders].
func (p *Pool) Renew(ctx context.Context, m sched.Member, o sched.RenewOrder) (sched.RenewReport, error) {
	l := p.link(m)
	if l == nil {
		return p.direct.Renew(ctx, m, o)
	}
	r, err := p.dispatch(ctx, l, m, Order{Renew: &o})
	if err != nil || r.Report == nil {
		return sched.RenewReport{}, err
	}
	return *r.Report, nil
}

// link returns the link for the orders to a worker, or nil if no dispatcher is
// available. Rendezvous hashing assigns workers to dispatchers, so that a pause of
// one dispatcher moves only the workers that it served.
func (p *Pool) link(m sched.Member) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var best *link
	var bestHash uint64
	for _, addr := range p.dispatchers() {
		l := p.links[addr]
		if l == nil {
			l = &link{addr: addr, pending: map[uint64]chan Result{}}
			p.links[addr] = l
		}
		l.mu.Lock()
		paused := now.Before(l.pausedUntil)
		l.mu.Unlock()
		if paused {
			continue
		}
		if h := maphash.String(p.seed, string(m.Worker)+addr.String()); best == nil || h > bestHash {
			best, bestHash = l, h
		}
	}
	return best
}

// dispatch sends an order through a dispatcher and waits for its result.
func (p *Pool) dispatch(ctx context.Context, l *link, m sched.Member, o Order) (Result, error) {
	now, left := p.now(), batchTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	p.mu.Lock()
	p.lastID++
	o.ID = p.lastID
	p.mu.Unlock()
	o.Worker, o.Addr = m.Worker, m.Addr
	o.Timeout = left
	result := make(chan Result, 1)
	l.mu.Lock()
	l.pending[o.ID] = result
	l.queue = append(l.queue, queuedOrder{Order: o, deadline: now.Add(left)})
	if !l.running {
		l.running = true
		go func() {
			if err := guard.Run(func() { p.run(l) }); err != nil {
				p.pauseLink(l, err, false)
			}
		}()
	}
	l.mu.Unlock()
	t := time.NewTimer(left + dispatchAllowance)
	defer t.Stop()
	select {
	case r := <-result:
		return r, r.err(m)
	case <-t.C:
	case <-p.ctx.Done():
	}
	return Result{}, l.abandon(o.ID, m)
}

// err returns the error of a result, or nil if the worker answered.
func (r *Result) err(m sched.Member) error {
	switch {
	case r.Failed == "":
		return nil
	case r.NotSent:
		return sched.Wrap(fmt.Errorf("%w: %s", sched.ErrUnavailable, r.Failed), "dispatched order", string(m.Worker))
	default:
		return sched.Wrap(fmt.Errorf("%w: %s", sched.ErrLost, r.Failed), "dispatched order", string(m.Worker))
	}
}

// errNoResult means that a dispatcher did not return a result in time.
var errNoResult = errors.New("no result from the dispatcher")

// abandon stops waiting for the result of an order and returns the error for its
// caller. An order that is still queued is removed and not carried out.
func (l *link) abandon(id uint64, m sched.Member) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
	for i := range l.queue {
		if l.queue[i].ID == id {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return sched.Wrap(fmt.Errorf("%w: %w", sched.ErrUnavailable, errNoResult), "dispatched order", string(m.Worker))
		}
	}
	return sched.Wrap(fmt.Errorf("%w: %w", sched.ErrLost, errNoResult), "dispatched order", string(m.Worker))
}

// run sends batches to a dispatcher while orders or results are outstanding.
func (p *Pool) run(l *link) {
	for p.ctx.Err() == nil {
		began := p.now()
		batch, ok := l.nextBatch(p.term, began)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
		out, err := p.sendBatch(ctx, l.addr, batch)
		cancel()
		if err != nil || out.Refused {
			p.pauseLink(l, err, out.Refused)
			return
		}
		l.recordReading(&out, began, p.now())
		l.deliver(out.Results)
		if out.Stopping {
			p.markStopping(l)
		}
		if batch.Wait == 0 {
			continue // Orders that expire wait for the reading that this answer has.
		}
		if remaining := batchInterval - p.now().Sub(began); remaining > 0 {
			time.Sleep(remaining)
		}
	}
}

// deliver passes results to the calls that wait for them.
func (l *link) deliver(results []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range results {
		if c := l.pending[r.ID]; c != nil {
			delete(l.pending, r.ID)
			c <- r
		}
	}
}

// markStopping stops sending new orders to a dispatcher that is about to stop.
// Outstanding results are still collected.
func (p *Pool) markStopping(l *link) {
	l.mu.Lock()
	known := l.stopping
	l.stopping = true
	l.pausedUntil = p.now().Add(pauseDuration)
	outstanding := len(l.pending)
	l.mu.Unlock()
	if !known {
		p.logEvent("dispatcher is about to stop", "peer", l.addr, "outstanding", outstanding)
	}
}

// pauseLink stops sending orders to a dispatcher for a while after a failure. The
// orders that it already has may still be carried out; their callers get an
// error when their time is up.
func (p *Pool) pauseLink(l *link, err error, refused bool) {
	l.mu.Lock()
	l.pausedUntil, l.running, l.stopping = p.now().Add(pauseDuration), false, false
	l.reading = reading{}
	queued := l.queue
	l.queue = nil
	unsent := make([]chan Result, 0, len(queued))
	for _, o := range queued {
		unsent = append(unsent, l.pending[o.ID])
		delete(l.pending, o.ID)
	}
	outstanding := len(l.pending)
	l.mu.Unlock()
	for i, c := range unsent {
		if c != nil {
			c <- Result{ID: queued[i].ID, Failed: "dispatcher failed", NotSent: true}
		}
	}
	p.logEvent("dispatcher paused after a failure", "peer", l.addr, "outstanding", outstanding, "refused", refused, "for", pauseDuration, "error", err)
}

func notSent(err error) bool { return errors.Is(err, sched.ErrUnavailable) }
