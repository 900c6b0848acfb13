package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/text"
)

const (
	// timeout is the maximum duration of a call; an edit may wait 5 s for the
	// store.
	timeout = 15 * time.Second
	// maxResponse is the maximum size of a response body in bytes; the longest
	// response is a list of jobs.
	maxResponse = 64 << 20
)

// Client calls one entry. The admin address of an entry serves the operators'
// calls, the callers' address serves the calls for jobs.
type Client struct {
	addr  netip.AddrPort
	token string
	http  *http.Client
}

// New returns a client for an address. The token may be empty for the callers'
// address.
func New(addr netip.AddrPort, token string) *Client {
	return &Client{addr: addr, token: token, http: &http.Client{Timeout: timeout}}
}

// Error is the entry's response to a refused or failed request.
type Error struct {
	Status int `json:"status"`
	Reason string
	Detail string `json:"detail"`
	// Revision is the current revision after a conflict.
	Revision sched.Revision
	// Difference is what the refused text would change in the current text.
	Difference *text.Difference
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("refused with status %d %s: %s", e.Status, e.Reason, e.Detail)
}

// Config returns the accepted services text and its revision.
func (c *Client) Config(ctx context.Context) (string, sched.Revision, error) {
	body, header, err := c.call(ctx, http.MethodGet, "/v1/config", nil, nil)
	if err != nil {
		return "", 0, err
	}
	r, err := strconv.ParseUint(strings.Trim(header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return "", 0, eris.Errorf("read configuration: ETag %q is no revision; check that %s is an admin address", header.Get("ETag"), c.addr)
	}
	return string(body), sched.Revision(r), nil
}

// PutConfig replaces the services text of revision base and returns the new
// revision.
func (c *Client) PutConfig(ctx context.Context, body []byte, base sched.Revision, author string) (sched.Revision, error) {
	h := http.Header{
		"If-Match":         {strconv.Quote(strconv.FormatUint(uint64(base), 10))},
		"Mangoslip-Author": {author},
	}
	var answer struct{ Revision sched.Revision }
	err := c.callJSON(ctx, &answer, http.MethodPut, "/v1/config", h, body)
	return answer.Revision, err
}

// StateChange is the result of [Client.SetState].
type StateChange struct {
	Revision sched.Revision
	// Changed lists the changed services in the order in which they change.
	Changed []sched.ServiceName
}

// SetState starts, drains or stops a service; action is "start", "drain" or
// "stop". With cascade it also changes the services that must change with it.
func (c *Client) SetState(ctx context.Context, service sched.ServiceName, action string, cascade bool, author string) (StateChange, error) {
	path := "/v1/services/" + url.PathEscape(string(service)) + "/" + action
	if cascade {
		path += "?Cascade=true"
	}
	var answer StateChange
	err := c.callJSON(ctx, &answer, http.MethodPost, path, http.Header{"Mangoslip-Author": {author}}, nil)
	return answer, err
}

// ReleaseBatch allows a shard to be served without a damaged batch of its
// journal. The records of the batch are lost; a copy of it stays in the store.
func (c *Client) ReleaseBatch(ctx context.Context, shard sched.ShardID, seq uint64, author string) error {
	path := fmt.Sprintf("/v1/shards/%s/%d/batches/%d/release", url.PathEscape(string(shard.DataCentre)), shard.Index, seq)
	_, _, err := c.call(ctx, http.MethodPost, path, http.Header{"Mangoslip-Author": {author}}, nil)
	return err
}

// Submit submits a job under an idempotency key. A repeat with the same key
// finds the same job.
func (c *Client) Submit(ctx context.Context, job Job, key string) (sched.JobStatus, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return sched.JobStatus{}, eris.Wrap(err, "encode job")
	}
	var status sched.JobStatus
	err = c.callJSON(ctx, &status, http.MethodPost, "/v1/jobs", http.Header{"Idempotency-Key": {key}}, body)
	return status, err
}

// Jobs returns the jobs of all shards, up to a limit for each shard. If an entry
// does not answer, the jobs of its shards are missing from the list of a client
// for the callers' address, and a client for an admin address returns an error.
func (c *Client) Jobs(ctx context.Context) ([]sched.JobStatus, error) {
	var jobs []sched.JobStatus
	err := c.callJSON(ctx, &jobs, http.MethodGet, "/v1/jobs", nil, nil)
	return jobs, err
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id sched.JobID) (sched.JobStatus, error) {
	var status sched.JobStatus
	err := c.callJSON(ctx, &status, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id)), nil, nil)
	return status, err
}

// Cancel cancels the tasks of a job that have not ended.
func (c *Client) Cancel(ctx context.Context, id sched.JobID) (sched.JobStatus, error) {
	var status sched.JobStatus
	err := c.callJSON(ctx, &status, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), nil, nil)
	return status, err
}

// callJSON makes a call and decodes the JSON response into a value.
func (c *Client) callJSON(ctx context.Context, into any, method, path string, h http.Header, body []byte) error {
	data, _, err := c.call(ctx, method, path, h, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s %s: answer is not as expected: %w; check that %s is the right address", method, path, err, c.addr)
	}
	return nil
}

// call makes a call and returns the body and the header of the response. A
// response with a status of 300 or above is returned as an [*Error].
func (c *Client) call(ctx context.Context, method, path string, h http.Header, body []byte) ([]byte, http.Header, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	for name, values := range h {
		r.Header[name] = values
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, nil, fmt.Errorf("%w; check the address, or try another entry", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s: answer broke off: %w; read the state before you repeat an edit", method, path, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		refusal := &Error{Status: response.StatusCode}
		_ = json.Unmarshal(data, refusal)
		return nil, nil, refusal
	}
	return data, response.Header, nil
}
