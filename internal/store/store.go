// Package store is the HTTP client of the platform's key-value store. It
// implements [sched.Store].
//
// Every call first takes a token from the rate limit of the entry, its budget. A
// part of the budget is reserved for ownership calls, so that a burst of journal
// writes or reads cannot delay a claim or a read of the ownership table.
//
// # Usage
//
//	c := store.New(netip.MustParseAddrPort("127.0.0.1:7001"))
//	defer c.Close()
//	item, err := c.Get(ctx, "Config/Current")
//	…
//	v, err := c.Reserved().Put(ctx, "Table", table, version)
//	if errors.Is(err, sched.ErrLost) {
//		// The write may have been applied: read the key back.
//	}
//
// Values are raw bytes. The version is in the ETag header of responses and in
// the If-Match header of writes.
package store

import (
	"context"
	"net/netip"
	"net/url"
	"time"

	"github.com/mangoslip/mangoslip/internal/wire"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// defaultWrites and defaultReads are in calls per second of one entry. They
	// are a sixth of the store's limit for all entries together.
	defaultWrites = 25
	defaultReads  = 50
	// defaultReservedWrites and defaultReservedReads are the reserved parts, in
	// calls per second. An ownership change takes one write per shard and step,
	// and the ownership table is read at most every 400 ms.
	defaultReservedWrites = 3
	defaultReservedReads  = 5
	// defaultTimeout limits each call, not counting its wait for a token. A
	// healthy store answers within milliseconds.
	defaultTimeout = 2 * time.Second
	// defaultMaxWait limits the wait for a token.
	defaultMaxWait = time.Second
)

// Option changes a setting of a [Client].
type Option func(*settings)

type settings struct {
	writes, reads                 float64
	reservedWrites, reservedReads float64
	timeout, maxWait              time.Duration
}

// WithBudget sets the total calls per second, including the reserved part.
func WithBudget(writes, reads float64) Option {
	return func(s *settings) { s.writes, s.reads = writes, reads }
}

// WithReserve sets the calls per second that only [Client.Reserved] may use.
func WithReserve(writes, reads float64) Option {
	return func(s *settings) { s.reservedWrites, s.reservedReads = writes, reads }
}

// WithTimeout limits the duration of each call. A watch may take its wait in
// addition.
func WithTimeout(d time.Duration) Option { return func(s *settings) { s.timeout = d } }

// WithMaxWait limits the wait for a token of the budget.
func WithMaxWait(d time.Duration) Option { return func(s *settings) { s.maxWait = d } }

// Client is the client of one entry. It is safe for concurrent use.
type Client struct {
	*shared
	reserved bool
}

// shared is the state that a client and its reserved view share.
type shared struct {
	addr     netip.AddrPort
	wire     *wire.Transport
	budget   budget
	timeout  time.Duration
	counters counters
}

var _ sched.Store = (*Client)(nil)

// New returns a client of the store at addr.
func New(addr netip.AddrPort, opts ...Option) *Client {
	s := settings{
		writes: defaultWrites, reads: defaultReads,
		reservedWrites: defaultReservedWrites, reservedReads: defaultReservedReads,
		timeout: defaultTimeout, maxWait: defaultMaxWait,
	}
	for _, o := range opts {
		o(&s)
	}
	return &Client{shared: &shared{
		addr:    addr,
		wire:    wire.New(),
		budget:  newBudget(s),
		timeout: s.timeout,
	}}
}

// Reserved returns a view of the client for ownership calls. It uses the
// reserved part of the budget first, and the general part if the reserved part
// is used up.
func (c *Client) Reserved() *Client { return &Client{shared: c.shared, reserved: true} }

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// take takes a token or fails with [sched.ErrBudget].
func (c *Client) take(ctx context.Context, k kind) error {
	if err := c.budget.take(ctx, k.writes(), c.reserved); err != nil {
		c.counters.overBudget.Add(1)
		return err
	}
	c.counters.calls[k].Add(1)
	return nil
}

// keyURL escapes the key into one path segment, because keys contain slashes.
func (c *Client) keyURL(key string) string {
	return "http://" + c.addr.String() + "/kv/" + url.PathEscape(key)
}
