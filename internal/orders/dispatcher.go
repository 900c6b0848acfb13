// Package orders dispatches the orders of the leader to the workers through other
// entries.
//
// Exchanging a message with each worker costs the leader far more than deciding
// what to send. A [Pool] on the leader therefore collects orders for each of a
// few other entries, the dispatchers, and sends them in batches. The [Dispatcher]
// there sends the orders to the workers and collects their answers, which it
// returns in its answer to the same or a later batch. The orders for a worker go
// through the same dispatcher as long as that one answers and no dispatcher is
// added.
//
// An order whose answer does not come back in time counts as lost, which means that
// it may have been carried out. Orders have the leader's fencing token. A stop that
// arrives late does no harm.
//
// A start that arrives late may be one of a job that has been cancelled meanwhile. A
// lease renewal that arrives late may reach a later incarnation of the worker under the
// same name: its deadline is a reading of the earlier one's clock, and it acknowledges
// run ends by the earlier one's numbers. Both therefore expire on the clock of the
// dispatcher, whose readings are in the answers to batches. An order that was held up,
// on the way or in a process that did not run, is dropped if the dispatcher is about to
// send it more than batchTimeout after the deadline of the leader's call. Dispatchers of
// an older build do not return readings, and send orders however late they arrive.
//
// # Usage
//
//	mux.Handle(orders.Handler(orders.NewDispatcher(direct)))
//	pool := orders.NewPool(ctx, term, direct, client.Dispatch, peers, logEvent)
//	reply, err := pool.Start(ctx, member, order)
package orders

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/internal/clock"
	"github.com/mangoslip/mangoslip/internal/guard"
	"github.com/mangoslip/mangoslip/internal/wire"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// procedure is the HTTP path of the service that accepts batches. It is part of
// the format between entries.
const procedure = "/mangoslip.Relay/Carry"

// Order is an order to a worker. Exactly one of the pointers is set. Timeout counts
// from the beginning of the exchange with the worker.
type Order struct {
	ID       uint64               `cbor:"1,keyasint"`
	Worker   sched.WorkerName     `cbor:"2,keyasint"`
	Addr     netip.AddrPort       `cbor:"3,keyasint"`
	Timeout  time.Duration        `cbor:"4,keyasint"`
	Start    *sched.StartOrder    `cbor:"5,keyasint,omitempty"`
	Stop     *sched.StopOrder     `cbor:"6,keyasint,omitempty"`
	Throttle *sched.ThrottleOrder `cbor:"7,keyasint,omitempty"`
	Renew    *sched.RenewOrder    `cbor:"8,keyasint,omitempty"`
	// Expiry is the reading of the dispatcher's clock after which a start or a renewal
	// is not sent any more. It is valid only if the batch has a Process.
	Expiry time.Duration `cbor:"9,keyasint,omitempty"`
}

// Result is the outcome of an order.
type Result struct {
	ID     uint64             `cbor:"1,keyasint"`
	Reply  sched.OrderReply   `cbor:"2,keyasint"`
	Report *sched.RenewReport `cbor:"3,keyasint,omitempty"`
	// Failed is the error if the worker did not answer. NotSent means that the
	// order was certainly not carried out.
	Failed  string `cbor:"4,keyasint,omitempty"`
	NotSent bool   `cbor:"5,keyasint,omitempty"`
}

// Batch passes orders to a dispatcher and asks for results. The dispatcher waits
// up to Wait for a result before it answers.
type Batch struct {
	Term   uint64        `cbor:"1,keyasint"`
	Orders []Order       `cbor:"2,keyasint,omitempty"`
	Wait   time.Duration `cbor:"3,keyasint,omitempty"`
	// Process identifies the process of the dispatcher whose clock the Expiry of
	// the orders refers to. Without it the orders do not expire.
	Process string `cbor:"4,keyasint,omitempty"`
}

// Results answers a batch. Refused means that the dispatcher knows a newer term.
type Results struct {
	Results []Result `cbor:"1,keyasint,omitempty"`
	Refused bool     `cbor:"2,keyasint,omitempty"`
	// Stopping means that the dispatcher stops soon. It still returns outstanding
	// results but should get no further orders.
	Stopping bool `cbor:"3,keyasint,omitempty"`
	// Process identifies the process of the dispatcher. It is empty in an answer of
	// an older build. Clock is the reading of that process's clock at the receipt
	// of the batch.
	Process string        `cbor:"4,keyasint,omitempty"`
	Clock   time.Duration `cbor:"5,keyasint,omitempty"`
}

// codec encodes messages with CBOR.
type codec struct{}

func (codec) Name() string                       { return "cbor" }
func (codec) Marshal(v any) ([]byte, error)      { return cbor.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// Dispatcher sends orders to workers for a leader on another entry. It is safe
// for concurrent use.
type Dispatcher struct {
	orders sched.Orders
	log    *slog.Logger
	now    func() time.Time
	// process is a random id that distinguishes this process from an earlier one
	// with the same address. Its clock counts from started.
	process string
	started time.Time

	mu       sync.Mutex
	term     uint64
	results  []Result
	stopping bool
	wake     chan struct{}
}

// DispatcherOption changes a setting of a [Dispatcher].
type DispatcherOption func(*Dispatcher)

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) DispatcherOption { return func(d *Dispatcher) { d.log = l } }

// WithClock sets the function that returns the current time; the default is
// [clock.Now]. The time has to advance while the process does not run.
func WithClock(now func() time.Time) DispatcherOption { return func(d *Dispatcher) { d.now = now } }

// NewDispatcher returns a dispatcher that uses the given implementation of
// [sched.Orders] to reach the workers.
func NewDispatcher(orders sched.Orders, opts ...DispatcherOption) *Dispatcher {
	d := &Dispatcher{
		orders: orders, log: slog.New(slog.DiscardHandler), now: clock.Now, process: rand.Text(), wake: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(d)
	}
	d.started = d.now()
	return d
}

// Handler returns the path and the HTTP handler of the service that accepts
// batches.
func Handler(d *Dispatcher) (string, http.Handler) {
	do := func(ctx context.Context, req *connect.Request[Batch]) (*connect.Response[Results], error) {
		out := d.Dispatch(ctx, *req.Msg)
		return connect.NewResponse(&out), nil
	}
	return procedure, connect.NewUnaryHandler(procedure, do, connect.WithCodec(codec{}))
}

// PrepareStop makes the dispatcher tell leaders to send no further orders, in
// preparation for a graceful shutdown.
func (d *Dispatcher) PrepareStop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

// Dispatch accepts the orders of a batch and returns the results that have
// arrived since the last batch.
func (d *Dispatcher) Dispatch(ctx context.Context, b Batch) Results {
	received := d.clock()
	d.mu.Lock()
	if b.Term < d.term {
		d.mu.Unlock()
		return Results{Refused: true}
	}
	if b.Term > d.term {
		d.term, d.results = b.Term, nil
	}
	d.mu.Unlock()
	for i := range b.Orders {
		go d.send(b.Term, b.Process, &b.Orders[i])
	}
	d.awaitResult(ctx, b.Wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.Term != d.term {
		return Results{Refused: true}
	}
	out := Results{Results: d.results, Stopping: d.stopping, Process: d.process, Clock: received}
	d.results = nil
	return out
}

// awaitResult waits until a result has arrived, for at most wait.
func (d *Dispatcher) awaitResult(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		d.mu.Lock()
		n := len(d.results)
		d.mu.Unlock()
		if n > 0 {
			return
		}
		select {
		case <-d.wake:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// send sends an order to its worker, unless it has expired, and stores the result.
// term and process are those of its batch.
func (d *Dispatcher) send(term uint64, process string, o *Order) {
	r := Result{ID: o.ID}
	timeout, err := d.timeout(process, o)
	if err == nil {
		if panicked := guard.Run(func() { err = d.exchange(timeout, o, &r) }); panicked != nil {
			guard.Log(d.log, "dispatch order", panicked)
			err = panicked
		}
	}
	if err != nil {
		r.Failed, r.NotSent, r.Report = err.Error(), notSent(err), nil
	}
	d.mu.Lock()
	if term == d.term {
		d.results = append(d.results, r)
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// errNoOrder means that an order is of no known kind.
var errNoOrder = fmt.Errorf("%w: order is of no known kind", sched.ErrUnavailable)

// exchange sends an order and stores the worker's answer in r.
func (d *Dispatcher) exchange(timeout time.Duration, o *Order, r *Result) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	m := sched.Member{Worker: o.Worker, Addr: o.Addr}
	switch {
	case o.Start != nil:
		r.Reply, err = d.orders.Start(ctx, m, *o.Start)
	case o.Stop != nil:
		r.Reply, err = d.orders.Stop(ctx, m, *o.Stop)
	case o.Throttle != nil:
		r.Reply, err = d.orders.Throttle(ctx, m, *o.Throttle)
	case o.Renew != nil:
		var rep sched.RenewReport
		rep, err = d.orders.Renew(ctx, m, *o.Renew)
		r.Report = &rep
	default:
		err = errNoOrder
	}
	return err
}

// Client sends batches to dispatchers. It is safe for concurrent use.
type Client struct {
	wire *wire.Transport

	mu      sync.Mutex
	clients map[netip.AddrPort]*connect.Client[Batch, Results]
}

const (
	dialTimeout = 300 * time.Millisecond
	maxConns    = 4
)

// NewClient returns a client.
func NewClient() *Client {
	return &Client{
		wire:    wire.New(wire.WithMaxConns(maxConns), wire.WithDialTimeout(dialTimeout)),
		clients: map[netip.AddrPort]*connect.Client[Batch, Results]{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// Dispatch sends a batch to the dispatcher at addr.
func (c *Client) Dispatch(ctx context.Context, addr netip.AddrPort, b Batch) (Results, error) {
	c.mu.Lock()
	cl := c.clients[addr]
	if cl == nil {
		cl = connect.NewClient[Batch, Results](doer{c.wire}, "http://"+addr.String()+procedure, connect.WithCodec(codec{}))
		c.clients[addr] = cl
	}
	c.mu.Unlock()
	resp, err := cl.CallUnary(ctx, connect.NewRequest(&b))
	if err != nil {
		return Results{}, sched.Wrap(err, "dispatch", addr.String())
	}
	return *resp.Msg, nil
}

// doer adapts the transport to [connect.HTTPClient].
type doer struct{ t *wire.Transport }

func (d doer) Do(req *http.Request) (*http.Response, error) { return d.t.Do(req) }
