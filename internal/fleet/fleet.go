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
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/mangoslip/mangoslip/internal/logger"
	"github.com/mangoslip/mangoslip/internal/wire"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// defaultTimeout is well below 1.25 s, the maximum age of a read of the list in
// the ownership rules (owner.ConfirmationAge), so that there is time for
// another read after a lost response.
const defaultTimeout = 500 * time.Millisecond

// maxAnswerBytes bounds an answer. A list of thousands of instances takes a few
// megabytes.
const maxAnswerBytes = 32 << 20

// Client is a client of the instance list. It is safe for concurrent use.
type Client struct {
	addr    netip.AddrPort
	wire    *wire.Transport
	timeout time.Duration
	log     *slog.Logger
	// invalid holds the invalid rows that were logged.
	invalid logger.Once
}

var _ sched.InstanceList = (*Client)(nil)

// Option changes a setting of a [Client].
type Option func(*Client)

// WithTimeout sets the maximum duration of a call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(c *Client) { c.log = l } }

// New returns a client of the list at addr.
func New(addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{addr: addr, wire: wire.New(), timeout: defaultTimeout, log: slog.New(slog.DiscardHandler)}
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
	err := c.call(ctx, http.MethodGet, "/instances", nil, func(body []byte) (err error) {
		list, err = c.decodeList(body)
		return err
	})
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
	err = c.call(ctx, http.MethodPost, "/fake/register", body, func(answer []byte) error { return json.Unmarshal(answer, &listed) })
	return listed.Generation, sched.Wrap(err, "register instance", c.addr.String())
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, decode func([]byte) error) error {
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil {
		err = decode(answer)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", sched.ErrLost, err)
	}
	return nil
}
