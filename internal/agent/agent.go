// Package agent holds the HTTP clients for workers: [ControlClient] sends
// commands to the tasks of a worker and implements [sched.WorkerClient];
// [TargetClient] sends a caller's request to a target.
//
// # Usage
//
//	t := agent.NewTargetClient()
//	defer t.Close()
//	resp, err := t.Do(ctx, worker.Data, agent.Request{
//		Service: "Quotes", Method: "POST", Path: "/quote?id=7",
//		Header: header, Body: body, ID: "r-1",
//	})
//	switch {
//	case errors.Is(err, sched.ErrUnavailable), errors.Is(err, sched.ErrRefused):
//		// the request did not run
//	case err != nil:
//		// the request may have run
//	default:
//		defer resp.Body.Close()
//		_, err = io.Copy(w, resp.Body) // fails if the response is truncated
//	}
//
// The context of [TargetClient.Do] needs a deadline, which is the deadline of the
// caller's request; Do sets none itself.
package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/mangoslip/mangoslip/internal/wire"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// defaultTimeout allows several calls within a lease, whose duration is
	// ten seconds.
	defaultTimeout = 2 * time.Second
	// controlConns limits the connections to one worker. It is enough for
	// concurrent renewals, starts and an inventory.
	controlConns = 4
	// outcomeHeader is the response header that says whether the request
	// ran.
	outcomeHeader = "Mangoslip-Outcome"
)

// ControlClient is the client for the workers' control of tasks. It is safe for
// concurrent use.
type ControlClient struct {
	wire    *wire.Transport
	timeout time.Duration
}

var _ sched.WorkerClient = (*ControlClient)(nil)

// ControlClientOption configures a [ControlClient].
type ControlClientOption func(*ControlClient)

// WithTimeout limits the duration of each call; the default is 2 s.
func WithTimeout(d time.Duration) ControlClientOption {
	return func(c *ControlClient) { c.timeout = d }
}

// NewControlClient returns a client for all workers.
func NewControlClient(opts ...ControlClientOption) *ControlClient {
	c := &ControlClient{wire: wire.New(wire.WithMaxConns(controlConns)), timeout: defaultTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes idle connections.
func (c *ControlClient) Close() { c.wire.Close() }

// Start implements [sched.WorkerClient].
func (c *ControlClient) Start(ctx context.Context, at netip.AddrPort, start sched.TaskStart) error {
	return c.call(ctx, at, "start task", http.MethodPost, "/tasks", start, nil)
}

// Renew implements [sched.WorkerClient].
func (c *ControlClient) Renew(
	ctx context.Context, at netip.AddrPort, leases []sched.Lease,
) (missing []sched.TaskID, err error) {
	var result struct{ Missing []sched.TaskID }
	err = c.call(ctx, at, "renew leases", http.MethodPost, "/leases", leases, &result)
	return result.Missing, err
}

// Stop implements [sched.WorkerClient].
func (c *ControlClient) Stop(
	ctx context.Context, at netip.AddrPort, lease sched.Lease, checkpoint bool,
) (sched.TaskReport, error) {
	var report sched.TaskReport
	body := struct {
		Lease      sched.Lease
		Checkpoint bool
	}{lease, checkpoint}
	err := c.call(ctx, at, "stop task", http.MethodPost, taskPath(lease, "stop"), body, &report)
	return report, err
}

// Throttle implements [sched.WorkerClient].
func (c *ControlClient) Throttle(ctx context.Context, at netip.AddrPort, lease sched.Lease, share float64) error {
	body := struct {
		Lease sched.Lease
		Share float64
	}{lease, share}
	return c.call(ctx, at, "throttle task", http.MethodPost, taskPath(lease, "throttle"), body, nil)
}

// Acknowledge implements [sched.WorkerClient].
func (c *ControlClient) Acknowledge(ctx context.Context, at netip.AddrPort, leases []sched.Lease) error {
	return c.call(ctx, at, "acknowledge reports", http.MethodPost, "/ack", leases, nil)
}

// Inventory implements [sched.WorkerClient].
func (c *ControlClient) Inventory(
	ctx context.Context, at netip.AddrPort, shard sched.ShardID, epoch sched.Epoch,
) (sched.Inventory, error) {
	q := url.Values{
		"shard": {shard.String()},
		"epoch": {strconv.FormatUint(uint64(epoch), 10)},
	}
	var inv sched.Inventory
	err := c.call(ctx, at, "read inventory", http.MethodGet, "/inventory?"+q.Encode(), nil, &inv)
	return inv, err
}

func taskPath(l sched.Lease, verb string) string {
	return "/tasks/" + url.PathEscape(l.Task.String()) + "/" + verb
}

func (c *ControlClient) call(
	ctx context.Context, at netip.AddrPort, step, method, path string, body, result any,
) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return sched.Wrap(c.send(ctx, method, "http://"+at.String()+path, body, result), step, at.String())
}

func (c *ControlClient) send(ctx context.Context, method, url string, body, result any) error {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	resp, err := c.wire.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := controlError(resp); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil && !errors.Is(err, sched.ErrLost) {
		return fmt.Errorf("%w: %w", sched.ErrLost, err)
	} else if err != nil {
		return err
	}
	return nil
}

// controlError returns the error for the status of a response, or nil.
func controlError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return sched.ErrNotFound
	case http.StatusConflict:
		return sched.ErrStaleEpoch
	case http.StatusMisdirectedRequest:
		return sched.ErrOtherIncarnation
	case http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusUnprocessableEntity:
		return fmt.Errorf("%w: status %d", sched.ErrRefused, resp.StatusCode)
	default:
		return fmt.Errorf("%w: status %d", sched.ErrLost, resp.StatusCode)
	}
}
