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
type Transport struct{ rt *http.Transport }

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
	rt.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{rt: rt}
}

// Close closes the idle connections. The transport can still be used.
func (t *Transport) Close() { t.rt.CloseIdleConnections() }

// Do sends one request. An error wraps [sched.ErrUnavailable] if certainly no byte
// of the request was written, and [sched.ErrLost] otherwise. It also wraps the
// cause, such as a context error. The caller closes the body of the response;
// reading it fails with [sched.ErrLost] if the response is truncated.
func (t *Transport) Do(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	a := &attempt{cancel: cancel}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	req = req.WithContext(ctx)
	// Without GetBody the transport cannot rewind the body for a resend.
	req.GetBody = nil
	resp, err := t.rt.RoundTrip(req)
	if err != nil {
		written := a.seal()
		cancel(err)
		if cause := context.Cause(ctx); errors.Is(cause, errResend) {
			err = cause
		}
		if written {
			return nil, fmt.Errorf("%w: %w", sched.ErrLost, err)
		}
		return nil, fmt.Errorf("%w: %w", sched.ErrUnavailable, err)
	}
	resp.Body = &body{
		ReadCloser: resp.Body,
		cancel:     cancel,
		undelimited: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 &&
			resp.Body != http.NoBody,
	}
	return resp, nil
}

// body is the body of a response. Reading it fails if the response is truncated, and
// closing it ends the context of its request.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
	// undelimited means that the response has neither a length nor chunks.
	undelimited bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
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
