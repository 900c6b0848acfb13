// Package wire sends HTTP requests and reports with certainty whether any byte of a
// request was written.
//
// net/http resends a request when a reused connection turns out to be closed, for
// idempotent methods and for requests with an Idempotency-Key. This is unsafe for a
// scheduler: the request could run twice, and an error after a resend hides that
// bytes were written before. This package lets [http.Transport] pool the
// connections and checks every write to them. Once a byte of a request is written
// on one connection, no other connection accepts a byte of the same request. If a
// request fails before its first byte was written, its connection accepts no byte
// of it afterwards.
//
// Connections to one address tend to go silent together: nothing arrives on them any
// more, and nothing reports it. When a request that got a connection fails because the
// deadline of its context was exceeded, the idle connections to the same address are
// closed, so that the next request opens a new one. Connections in use and those to
// other addresses stay open.
//
// # Usage
//
//	t := wire.New(wire.WithMaxConns(64))
//	resp, err := t.Do(req)
//	switch {
//	case errors.Is(err, sched.ErrUnavailable): // not written, safe to repeat
//	case errors.Is(err, sched.ErrLost):        // written in part or whole
//	}
package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// defaultMaxConns is the connection limit that deployments set for one worker.
	defaultMaxConns = 64
	// defaultDialTimeout bounds a dial. Servers are at most a few milliseconds away,
	// so a longer dial means a lost packet or an unreachable host.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is below the idle timeouts that servers commonly use (60 s
	// and more), because a request that is written while the server closes the
	// connection has an unknown outcome.
	defaultIdleTimeout = 20 * time.Second
	// maxResponseHeader bounds the size of a response header in bytes.
	maxResponseHeader = 64 << 10
)

var (
	errResend = errors.New("request was written on another connection before")
	errSealed = errors.New("request was given up before its first byte")
	// errClosedIdle is the error of writes to an idle connection that was closed because
	// a request to the same address timed out.
	errClosedIdle = errors.New("idle connection was closed after a timeout")
	// errNoLength means that only the end of the connection marks the end of a
	// response, so a truncated response looks like a complete one.
	errNoLength = errors.New("answer has neither length nor chunks")
)

// Option changes a setting of a [Transport].
type Option func(*http.Transport, *net.Dialer)

// WithMaxConns bounds the connections to one address.
func WithMaxConns(n int) Option {
	return func(t *http.Transport, _ *net.Dialer) {
		t.MaxConnsPerHost = n
		t.MaxIdleConnsPerHost = n
	}
}

// WithDialTimeout bounds one dial.
func WithDialTimeout(d time.Duration) Option {
	return func(_ *http.Transport, n *net.Dialer) { n.Timeout = d }
}

// WithIdleTimeout closes connections that were idle for d.
func WithIdleTimeout(d time.Duration) Option {
	return func(t *http.Transport, _ *net.Dialer) { t.IdleConnTimeout = d }
}

// Transport sends requests over pooled HTTP/1.1 connections. It follows no
// redirects, uses no proxy and never resends a request of which a byte was written.
// It is safe for concurrent use.
type Transport struct {
	rt   *http.Transport
	open *openConns
}

// New returns a transport.
func New(opts ...Option) *Transport {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	rt := &http.Transport{
		MaxConnsPerHost:        defaultMaxConns,
		MaxIdleConnsPerHost:    defaultMaxConns,
		IdleConnTimeout:        defaultIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	for _, o := range opts {
		o(rt, dialer)
	}
	open := &openConns{byAddr: map[string]map[*conn]struct{}{}}
	rt.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return open.add(c, addr), nil
	}
	return &Transport{rt: rt, open: open}
}

// Close closes the idle connections. The transport can still be used.
func (t *Transport) Close() { t.rt.CloseIdleConnections() }

// Do sends one request. An error wraps [sched.ErrUnavailable] if certainly no byte
// of the request was written, and [sched.ErrLost] otherwise. It also wraps the
// cause, such as a context error. The caller closes the body of the response;
// reading it fails with [sched.ErrLost] if the response is truncated. If the deadline
// of the request's context is exceeded in Do or while the body is read, the idle
// connections to the same address are closed. A request with a body should have GetBody:
// without it, a request that gets one of these connections fails with
// [sched.ErrUnavailable] instead of taking another one.
func (t *Transport) Do(req *http.Request) (*http.Response, error) {
	for {
		a := &attempt{}
		resp, err := t.roundTrip(req, a)
		// http.Transport may assign a connection at the moment at which it is closed.
		// Each repetition uses up one such connection.
		if err == nil || !a.refused {
			return resp, err
		}
		next, ok := withNewBody(req)
		if !ok {
			return nil, err
		}
		req = next
	}
}

// withNewBody returns the request with an unread body. It reports false if the request
// has a body, but no GetBody.
func withNewBody(req *http.Request) (*http.Request, bool) {
	if req.Body == nil || req.Body == http.NoBody {
		return req, true
	}
	if req.GetBody == nil {
		return nil, false
	}
	b, err := req.GetBody()
	if err != nil {
		return nil, false
	}
	next := *req
	next.Body = b
	return &next, true
}

// roundTrip sends the request once, on the connection that a gets.
func (t *Transport) roundTrip(orig *http.Request, a *attempt) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(orig.Context())
	a.cancel = cancel
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: a.gotConn, PutIdleConn: a.putIdleConn,
	})
	req := orig.WithContext(ctx)
	// Without GetBody the transport cannot rewind the body for a resend.
	req.GetBody = nil
	resp, err := t.rt.RoundTrip(req)
	if err != nil {
		written := a.seal()
		cancel(err)
		if cause := context.Cause(ctx); errors.Is(cause, errResend) {
			err = cause
		}
		t.closeIdleAfterTimeout(orig.Context(), a, err)
		if written {
			return nil, fmt.Errorf("%w: %w", sched.ErrLost, err)
		}
		return nil, fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	resp.Body = &body{
		ReadCloser: resp.Body,
		cancel:     cancel,
		failed:     func(err error) { t.closeIdleAfterTimeout(orig.Context(), a, err) },
		undelimited: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 &&
			resp.Body != http.NoBody,
	}
	return resp, nil
}

// closeIdleAfterTimeout closes the idle connections to the address of a if err means
// that the deadline of ctx was exceeded. A request that got no connection shows nothing
// about the idle ones.
func (t *Transport) closeIdleAfterTimeout(ctx context.Context, a *attempt, err error) {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded) && errors.Is(err, context.Cause(ctx))
	if timedOut && a.conn != nil {
		t.open.closeIdle(a.conn.addr)
	}
}

// body is the body of a response. Reading it fails if the response is truncated, and
// closing it ends the context of its request.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
	// failed is called with the error of a read that failed.
	failed func(error)
	// undelimited means that the response has neither a length nor chunks.
	undelimited bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		b.failed(err)
		return n, fmt.Errorf("%w: %w", sched.ErrLost, err)
	case b.undelimited:
		return n, fmt.Errorf("%w: %w", sched.ErrLost, errNoLength)
	default:
		return n, io.EOF
	}
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(context.Canceled)
	return err
}
