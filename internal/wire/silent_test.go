package wire

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// idleConns is the number of idle connections that the tests open to one server.
const idleConns = 4

// connNumber is the key of a connection's number in the context of its requests.
type connNumber struct{}

// connServer numbers its connections and counts the requests by their bodies.
type connServer struct {
	*httptest.Server
	conns atomic.Int64
	// silent means that nothing more is answered on the first idleConns connections.
	silent atomic.Bool
	// held is closed to answer the requests to /held.
	held chan struct{}

	mu       sync.Mutex
	arrivals map[string]int
	// together is closed when idleConns requests to /together have arrived, which are
	// answered then.
	together chan struct{}
	missing  int
}

func newConnServer(t *testing.T) *connServer {
	t.Helper()
	s := &connServer{held: make(chan struct{}), arrivals: map[string]int{}}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(s.answer))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumber{}, s.conns.Add(1))
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// answer answers with the number of the connection. A request to /silent is never
// answered, and the answer to one to /half stops in its body.
func (s *connServer) answer(w http.ResponseWriter, r *http.Request) {
	number := r.Context().Value(connNumber{}).(int64)
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.arrivals[string(body)]++
	proceed := s.held
	if r.URL.Path == "/together" {
		proceed = s.together
		if s.missing--; s.missing == 0 {
			close(s.together)
		}
	}
	s.mu.Unlock()
	if r.URL.Path == "/half" {
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "1")
		_ = http.NewResponseController(w).Flush()
	}
	switch {
	case r.URL.Path == "/half", r.URL.Path == "/silent", s.silent.Load() && number <= idleConns:
		<-r.Context().Done()
		return
	case r.URL.Path == "/held", r.URL.Path == "/together":
		select {
		case <-proceed:
		case <-r.Context().Done():
			return
		}
	}
	_, _ = fmt.Fprint(w, number)
}

func (s *connServer) arrived(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[body]
}

// post sends a request and returns the number of its connection.
func (s *connServer) post(ctx context.Context, tr *Transport, path, body string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := tr.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	var number int64
	_, err = fmt.Sscan(string(b), &number)
	return number, err
}

// requireTogether sends idleConns requests at the same time, each on a connection of its
// own, and returns the sorted numbers of these. The connections stay idle in the pool.
func (s *connServer) requireTogether(t *testing.T, tr *Transport) []int64 {
	t.Helper()
	s.mu.Lock()
	s.together, s.missing = make(chan struct{}), idleConns
	s.mu.Unlock()
	numbers, errs := make([]int64, idleConns), make([]error, idleConns)
	var wg sync.WaitGroup
	for i := range idleConns {
		wg.Go(func() { numbers[i], errs[i] = s.post(t.Context(), tr, "/together", "x") })
	}
	wg.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	slices.Sort(numbers)
	return numbers
}

// requireTimeout sends a request that fails because its deadline is exceeded.
func (s *connServer) requireTimeout(t *testing.T, tr *Transport, path string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := s.post(ctx, tr, path, "x")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.ErrorIs(t, err, sched.ErrLost)
}

// Guards against requests that time out one after the other on connections that have gone silent.
func TestSilentConnsAreNotUsedAgain(t *testing.T) {
	for name, path := range map[string]string{"no answer": "/", "answer stops in its body": "/half"} {
		t.Run(name, func(t *testing.T) {
			s, tr := newConnServer(t), newTransport(t)
			s.requireTogether(t, tr)
			s.silent.Store(true)
			s.requireTimeout(t, tr, path)
			number, err := s.post(t.Context(), tr, "/", "next")
			require.NoError(t, err)
			require.Greater(t, number, int64(idleConns))
			require.Equal(t, 1, s.arrived("next"))
		})
	}
}

// Guards against a timeout that closes connections in use or those to other addresses.
func TestTimeoutKeepsOtherConns(t *testing.T) {
	s, other, tr := newConnServer(t), newConnServer(t), newTransport(t)
	s.requireTogether(t, tr)
	kept := other.requireTogether(t, tr)
	type result struct {
		number int64
		err    error
	}
	held := make(chan result, 1)
	go func() {
		number, err := s.post(t.Context(), tr, "/held", "held")
		held <- result{number, err}
	}()
	require.Eventually(t, func() bool { return s.arrived("held") == 1 }, 10*time.Second, time.Millisecond)

	s.requireTimeout(t, tr, "/silent")
	require.Equal(t, kept, other.requireTogether(t, tr))
	number, err := s.post(t.Context(), tr, "/", "x")
	require.NoError(t, err)
	require.Greater(t, number, int64(idleConns), "the idle connections were closed")
	close(s.held)
	r := <-held
	require.NoError(t, r.err)
	require.Contains(t, s.requireTogether(t, tr), r.number, "the connection that was in use is used again")
}

// Guards against idle connections that are closed although no request on a connection timed out.
func TestCancelledRequestClosesNoIdleConn(t *testing.T) {
	cases := map[string]struct {
		path string
		err  error
		// lost is the number of connections that are closed with their request.
		lost int
	}{
		"waits for an answer":          {"/silent", sched.ErrLost, 1},
		"reads the answer":             {"/half", sched.ErrLost, 1},
		"deadline exceeded before use": {"/", sched.ErrUnavailable, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, tr := newConnServer(t), newTransport(t)
			before := s.requireTogether(t, tr)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.lost == 0 {
				ctx, cancel = context.WithDeadline(ctx, time.Unix(0, 0))
				defer cancel()
			}
			done := make(chan error, 1)
			go func() {
				_, err := s.post(ctx, tr, c.path, "cancelled")
				done <- err
			}()
			if c.lost > 0 {
				require.Eventually(t, func() bool { return s.arrived("cancelled") == 1 },
					10*time.Second, time.Millisecond)
				cancel()
			}
			err := <-done
			require.ErrorIs(t, err, c.err)
			require.ErrorIs(t, err, ctx.Err())

			after := s.requireTogether(t, tr)
			kept := slices.DeleteFunc(after, func(n int64) bool { return !slices.Contains(before, n) })
			require.Len(t, kept, idleConns-c.lost)
		})
	}
}

// Guards against a request that fails, or is written twice, because its connection was
// closed as idle at the moment at which it was assigned.
func TestConnClosedWhenAssigned(t *testing.T) {
	s, tr := newConnServer(t), newTransport(t)
	before := s.requireTogether(t, tr)
	for c := range maps.Keys(tr.open.byAddr[s.Listener.Addr().String()]) {
		require.True(t, c.sealIdle())
	}
	number, err := s.post(t.Context(), tr, "/", "next")
	require.NoError(t, err)
	require.NotContains(t, before, number)
	require.Equal(t, 1, s.arrived("next"))
}

// Guards against a connection that is closed as idle after the next request acquired it.
func TestLateReleaseKeepsConnInUse(t *testing.T) {
	first, next := &attempt{}, &attempt{}
	c := &conn{}
	require.True(t, c.acquire(first))
	require.True(t, c.acquire(next))
	c.release(first)
	require.False(t, c.sealIdle())
	c.release(next)
	require.True(t, c.sealIdle())
	require.False(t, c.acquire(next), "a sealed connection refuses a request")
}

// Guards against a repetition of a request that was written on an earlier connection.
func TestWrittenRequestIsNotRepeatedAfterSealedConn(t *testing.T) {
	a := &attempt{written: true, cancel: func(error) {}}
	c := &conn{}
	require.True(t, c.sealIdle())
	a.gotConn(httptrace.GotConnInfo{Conn: c})
	require.False(t, a.refused)
	require.True(t, a.seal())
}

// Guards against records of closed connections that stay for ever.
func TestClosedConnsAreRemoved(t *testing.T) {
	s, tr := newConnServer(t), newTransport(t)
	s.requireTogether(t, tr)
	tr.Close()
	tr.open.mu.Lock()
	defer tr.open.mu.Unlock()
	require.Empty(t, tr.open.byAddr)
}

// Guards against a request that fails, runs twice, or ran and is reported as not written,
// while other requests to the same address time out.
func TestConcurrentTimeouts(t *testing.T) {
	const clients, requests = 16, 40
	s, tr := newConnServer(t), newTransport(t, WithMaxConns(clients/2))
	var errs [clients][requests]error
	timesOut := func(client, request int) bool { return (client+request)%4 == 0 }
	body := func(client, request int) string { return fmt.Sprintf("%d/%d", client, request) }
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			for j := range requests {
				ctx, cancel, path := t.Context(), context.CancelFunc(func() {}), "/"
				if timesOut(i, j) {
					ctx, cancel = context.WithTimeout(ctx, time.Millisecond)
					path = "/silent"
				}
				_, errs[i][j] = s.post(ctx, tr, path, body(i, j))
				cancel()
			}
		})
	}
	wg.Wait()
	// Close waits for the requests that are on the way.
	tr.Close()
	s.Close()
	for i := range clients {
		for j := range requests {
			err, arrived := errs[i][j], s.arrived(body(i, j))
			if !timesOut(i, j) {
				require.NoError(t, err)
				require.Equal(t, 1, arrived)
				continue
			}
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.LessOrEqual(t, arrived, 1)
			if arrived > 0 {
				require.ErrorIs(t, err, sched.ErrLost)
				require.NotErrorIs(t, err, sched.ErrUnavailable)
			}
		}
	}
}
