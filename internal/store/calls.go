package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// maxResponseBytes is the most that is read of one response. A list may hold many
// values of up to 1 MB: the 64 ring slots of a journal and the parts of a
// snapshot.
const maxResponseBytes = 256 << 20

// Get implements [sched.Store].
func (c *Client) Get(ctx context.Context, key string) (sched.Item, error) {
	a, err := c.call(ctx, call{kind: kindGet, method: http.MethodGet, url: c.keyURL(key)})
	if err != nil {
		return sched.Item{}, c.wrapError(err, "get "+key)
	}
	return sched.Item{Key: key, Value: a.body, Version: a.version}, nil
}

// List implements [sched.Store].
func (c *Client) List(ctx context.Context, prefix string) ([]sched.Item, error) {
	u := "http://" + c.addr.String() + "/kv?prefix=" + url.QueryEscape(prefix)
	a, err := c.call(ctx, call{kind: kindList, method: http.MethodGet, url: u})
	if err != nil {
		return nil, c.wrapError(err, "list "+prefix)
	}
	var items []sched.Item
	if err := json.Unmarshal(a.body, &items); err != nil {
		return nil, c.wrapError(fmt.Errorf("%w: %w", sched.ErrLost, err), "list "+prefix)
	}
	return items, nil
}

// Put implements [sched.Store].
func (c *Client) Put(ctx context.Context, key string, value []byte, prev sched.Version) (sched.Version, error) {
	a, err := c.call(ctx, call{
		kind: kindPut, method: http.MethodPut, url: c.keyURL(key), body: value, ifMatch: prev,
	})
	return a.version, c.wrapError(err, "put "+key)
}

// Delete implements [sched.Store].
func (c *Client) Delete(ctx context.Context, key string, prev sched.Version) error {
	_, err := c.call(ctx, call{
		kind: kindDelete, method: http.MethodDelete, url: c.keyURL(key), ifMatch: prev,
	})
	return c.wrapError(err, "delete "+key)
}

// Watch implements [sched.Store].
func (c *Client) Watch(
	ctx context.Context, key string, after sched.Version, wait time.Duration,
) (sched.Item, error) {
	q := url.Values{
		"key":   {key},
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {wait.String()},
	}
	u := "http://" + c.addr.String() + "/watch?" + q.Encode()
	a, err := c.call(ctx, call{kind: kindWatch, method: http.MethodGet, url: u, wait: wait})
	if err != nil {
		return sched.Item{}, c.wrapError(err, "watch "+key)
	}
	return sched.Item{Key: key, Value: a.body, Version: a.version}, nil
}

type call struct {
	kind    kind
	method  string
	url     string
	body    []byte
	ifMatch sched.Version
	wait    time.Duration
}

type response struct {
	body    []byte
	version sched.Version
}

// call takes a token, makes one call and counts its failures.
func (c *Client) call(ctx context.Context, cl call) (response, error) {
	if err := c.take(ctx, cl.kind); err != nil {
		return response{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+cl.wait)
	defer cancel()
	a, err := c.send(ctx, cl)
	switch {
	case errors.Is(err, sched.ErrUnavailable):
		c.counters.unavailable.Add(1)
	case errors.Is(err, sched.ErrLost):
		c.counters.lost.Add(1)
	}
	return a, err
}

func (c *Client) send(ctx context.Context, cl call) (response, error) {
	req, err := http.NewRequestWithContext(ctx, cl.method, cl.url, bytes.NewReader(cl.body))
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	if cl.kind.writes() {
		req.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(cl.ifMatch), 10)))
	}
	resp, err := c.wire.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return response{}, err
	}
	return readResponse(resp, cl.kind)
}

func readResponse(resp *http.Response, k kind) (response, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, err
	}
	if k == kindList || k == kindDelete {
		return response{body: b}, nil
	}
	v, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return response{}, fmt.Errorf("%w: answer without a version: %w", sched.ErrLost, err)
	}
	return response{body: b, version: sched.Version(v)}, nil
}

// statusError maps the status of a complete response to an error. It returns
// ErrLost, which leaves open whether a write was applied, for every status that
// does not rule that out.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound, http.StatusNoContent:
		return sched.ErrNotFound
	case http.StatusPreconditionFailed:
		return sched.ErrConflict
	case http.StatusServiceUnavailable:
		return sched.ErrUnavailable
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: refused by the store", sched.ErrBudget)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: status %d", sched.ErrRefused, status)
	default:
		return fmt.Errorf("%w: status %d", sched.ErrLost, status)
	}
}

func (c *Client) wrapError(err error, step string) error {
	return sched.Wrap(err, step, c.addr.String())
}
