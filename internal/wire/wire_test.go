package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// rawServer is a server that writes responses to raw connections, so that it can
// truncate them and close connections.
type rawServer struct {
	ln net.Listener
	// arrivals is the number of requests that were read.
	arrivals atomic.Int64
}

// newRawServer starts a server that responds to the n-th request, counted over all
// connections, with response(n). An empty response closes the connection at once.
func newRawServer(t *testing.T, response func(n int64) string) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &rawServer{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.handle(c, response)
		}
	}()
	return p
}

func (p *rawServer) handle(c net.Conn, response func(int64) string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		a := response(p.arrivals.Add(1))
		if a == "" {
			return
		}
		_, _ = io.WriteString(c, a)
		if strings.Contains(a, "Connection: close") {
			return
		}
	}
}

func (p *rawServer) request(t *testing.T, method, body string) *http.Request {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.ln.Addr().String(), strings.NewReader(body))
	require.NoError(t, err)
	return req
}

func newTransport(t *testing.T, opts ...Option) *Transport {
	tr := New(opts...)
	t.Cleanup(tr.Close)
	return tr
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// requireOK sends a request and requires that it succeeds. The connection stays idle
// in the pool.
func requireOK(t *testing.T, tr *Transport, req *http.Request) {
	t.Helper()
	resp, err := tr.Do(req)
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(b))
	require.NoError(t, resp.Body.Close())
}

// Guards against a request that runs twice because the server closed the reused
// connection after it had read the request.
func TestNoSilentResend(t *testing.T) {
	cases := []struct{ name, method, body, key string }{
		{"get", "GET", "", ""},
		{"delete with body", "DELETE", "x", ""},
		{"put", "PUT", "x", ""},
		{"post with key", "POST", "x", "k"},
		{"empty post with key", "POST", "", "k"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newRawServer(t, func(n int64) string {
				if n == 2 {
					return ""
				}
				return okResponse
			})
			tr := newTransport(t)
			requireOK(t, tr, p.request(t, "GET", ""))
			req := p.request(t, c.method, c.body)
			if c.key != "" {
				req.Header.Set("Idempotency-Key", c.key)
			}
			_, err := tr.Do(req)
			require.ErrorIs(t, err, sched.ErrLost)
			require.NotErrorIs(t, err, sched.ErrUnavailable)
			// A resend would have arrived before this request.
			requireOK(t, tr, p.request(t, "GET", ""))
			require.Equal(t, int64(3), p.arrivals.Load())
		})
	}
}

// Guards against an error that leaves the outcome unknown although no byte was
// written: after a refused dial, and after a wait for a connection.
func TestUnavailable(t *testing.T) {
	t.Run("refused dial", func(t *testing.T) {
		p := newRawServer(t, func(int64) string { return okResponse })
		require.NoError(t, p.ln.Close())
		_, err := newTransport(t).Do(p.request(t, "POST", "x"))
		require.ErrorIs(t, err, sched.ErrUnavailable)
		require.NotErrorIs(t, err, sched.ErrLost)
	})
	t.Run("context ends while all connections are in use", func(t *testing.T) {
		hold := make(chan struct{})
		defer close(hold)
		p := newRawServer(t, func(int64) string { <-hold; return okResponse })
		tr := newTransport(t, WithMaxConns(1))
		first, cancelFirst := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := tr.Do(p.request(t, "POST", "x").WithContext(first))
			done <- err
		}()
		require.Eventually(t, func() bool { return p.arrivals.Load() == 1 }, 10*time.Second, time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := tr.Do(p.request(t, "POST", "x").WithContext(ctx))
		require.ErrorIs(t, err, sched.ErrUnavailable)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		cancelFirst()
		require.ErrorIs(t, <-done, sched.ErrLost, "the first request was written")
		require.Equal(t, int64(1), p.arrivals.Load())
	})
}

// Guards against a byte that is written after the request was reported as not
// written.
func TestSealedConnTakesNoByte(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c := &conn{Conn: a}
	require.False(t, c.seal(0, errSealed))
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, errSealed)
	require.Zero(t, c.bytesWritten())
}

// Guards against a truncated response that reads like a complete one.
func TestTruncatedAnswer(t *testing.T) {
	cases := map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok",
		"aborted chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
			"2\r\nok\r\n",
		"chunk cut": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
			"9\r\nok",
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			p := newRawServer(t, func(int64) string { return response })
			resp, err := newTransport(t).Do(p.request(t, "GET", ""))
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			b, err := io.ReadAll(resp.Body)
			require.ErrorIs(t, err, sched.ErrLost)
			require.Equal(t, "ok", string(b))
		})
	}
}
