package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/internal/wire"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// The headers that a request to a target has in addition to the caller's.
const (
	ServiceHeader   = "Mangoslip-Service"
	RequestIDHeader = "Mangoslip-Request-Id"
)

// maxDrain limits how many bytes of a rejected response are read so that its
// connection can be reused.
const maxDrain = 4 << 10

// errWrongRequestID means that the response belongs to another request.
var errWrongRequestID = errors.New("response has the ID of another request")

// Request is one caller request in the form sent to a target.
type Request struct {
	Service sched.ServiceName
	Method  string
	// Path is the escaped path with the query; it starts with a slash.
	Path string
	// Header holds the caller's headers. Hop-by-hop headers are not sent.
	Header http.Header
	// Body belongs to the caller of Do and is not modified, so that the
	// request can be sent again.
	Body []byte
	// ID identifies the attempt; it is sent as [RequestIDHeader]. If the
	// response has this header, its value must be the same.
	ID string
}

// Response is the response of a target, with the body still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Body streams the response body. Reading a truncated response fails
	// with [sched.ErrLost]; io.EOF means that the body is complete. The
	// caller closes it.
	Body io.ReadCloser
}

// TargetClient is the client for the targets of all workers. It is safe for
// concurrent use.
type TargetClient struct{ wire *wire.Transport }

// TargetClientOption configures a [TargetClient].
type TargetClientOption func(*targetSettings)

type targetSettings struct {
	conns      int
	dial, idle time.Duration
}

// WithConnections limits the connections to one worker; the default is 64.
func WithConnections(n int) TargetClientOption { return func(s *targetSettings) { s.conns = n } }

// WithDialTimeout limits the duration of a dial; the default is 1 s.
func WithDialTimeout(d time.Duration) TargetClientOption {
	return func(s *targetSettings) { s.dial = d }
}

// WithIdleTimeout closes connections that have been idle for d; the default is
// 20 s. It should be shorter than the idle timeout of the targets: if a request
// is sent while the target closes the connection, the outcome of the request is
// unknown.
func WithIdleTimeout(d time.Duration) TargetClientOption {
	return func(s *targetSettings) { s.idle = d }
}

// NewTargetClient returns a client for the targets of all workers.
func NewTargetClient(opts ...TargetClientOption) *TargetClient {
	s := targetSettings{conns: 64, dial: time.Second, idle: 20 * time.Second}
	for _, o := range opts {
		o(&s)
	}
	return &TargetClient{wire: wire.New(
		wire.WithMaxConns(s.conns), wire.WithDialTimeout(s.dial), wire.WithIdleTimeout(s.idle),
	)}
}

// Close closes idle connections.
func (t *TargetClient) Close() { t.wire.Close() }

// Do sends one request once. The error is [sched.ErrUnavailable] if no byte of
// the request was written, [sched.ErrRefused] if the target refused it
// explicitly, and [sched.ErrLost] if it may have run. The context applies to
// the whole exchange, including the reading of the body.
func (t *TargetClient) Do(ctx context.Context, at netip.AddrPort, r Request) (*Response, error) {
	resp, err := t.send(ctx, at, r)
	return resp, sched.Wrap(err, "send request", at.String())
}

func (t *TargetClient) send(ctx context.Context, at netip.AddrPort, r Request) (*Response, error) {
	req, err := newRequest(ctx, at, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	resp, err := t.wire.Do(req)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(resp, r.ID); err != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, maxDrain)
		resp.Body.Close()
		return nil, err
	}
	removeHopHeaders(resp.Header)
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body,
	}, nil
}

func newRequest(ctx context.Context, at netip.AddrPort, r Request) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host = "http", at.String()
	req, err := http.NewRequestWithContext(ctx, r.Method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		// With GetBody, wire can replace a connection on which nothing was written.
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(r.Body)), nil }
		req.ContentLength = int64(len(r.Body))
	}
	for k, v := range r.Header {
		req.Header[textproto.CanonicalMIMEHeaderKey(k)] = v
	}
	removeHopHeaders(req.Header)
	req.Header.Set(ServiceHeader, string(r.Service))
	req.Header.Set(RequestIDHeader, r.ID)
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "")
	}
	return req, nil
}

func checkResponse(resp *http.Response, id string) error {
	if got := resp.Header.Get(RequestIDHeader); got != "" && got != id {
		return fmt.Errorf("%w: %w", sched.ErrLost, errWrongRequestID)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: the target switched protocols", sched.ErrLost)
	}
	if resp.StatusCode == http.StatusServiceUnavailable &&
		sched.ParseOutcome(resp.Header.Get(outcomeHeader)) == sched.NotRun {
		return sched.ErrRefused
	}
	return nil
}

// hopHeaders are the headers that belong to one connection and are not
// forwarded (RFC 9110, 7.6.1). Expect is not forwarded because the body is
// already buffered. Content-Length is set from the body.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

func removeHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
