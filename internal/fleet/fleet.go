// Package fleet is the HTTP client of the platform's instance list. It
// implements [sched.InstanceList].
//
// # Usage
//
//	c := fleet.New(netip.MustParseAddrPort("127.0.0.1:7002"))
//	defer c.Close()
//	instances, err := c.Instances(ctx)
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/mangoslip/mangoslip/internal/wire"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// defaultTimeout is well below 1.25 s, the maximum age of a read of the list in
// the ownership rules (owner.ConfirmationAge), so that there is time for
// another read after a lost response.
const defaultTimeout = 500 * time.Millisecond

// Client is a client of the instance list. It is safe for concurrent use.
type Client struct {
	addr    netip.AddrPort
	wire    *wire.Transport
	timeout time.Duration
}

var _ sched.InstanceList = (*Client)(nil)

// Option changes a setting of a [Client].
type Option func(*Client)

// WithTimeout sets the maximum duration of a call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the list at addr.
func New(addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{addr: addr, wire: wire.New(), timeout: defaultTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// Instances implements [sched.InstanceList].
func (c *Client) Instances(ctx context.Context) ([]sched.Instance, error) {
	var list []sched.Instance
	err := c.call(ctx, http.MethodGet, "/instances", nil, &list)
	return list, sched.Wrap(err, "read instance list", c.addr.String())
}

// Register adds an instance to the list and returns its generation. An instance
// that is still listed keeps its generation. Only the stand-in of the list
// supports this call; a real platform lists the instances that it starts.
func (c *Client) Register(ctx context.Context, in sched.Instance) (uint64, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, sched.Wrap(err, "register instance", in.Name)
	}
	var listed sched.Instance
	err = c.call(ctx, http.MethodPost, "/fake/register", body, &listed)
	return listed.Generation, sched.Wrap(err, "register instance", c.addr.String())
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.wire.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", sched.ErrUnavailable, resp.StatusCode)
	default:
		return fmt.Errorf("%w: status %d", sched.ErrRefused, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("%w: %w", sched.ErrLost, err)
	}
	return nil
}
