package intake_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/intake"
)

// pipes is a listener for connections in memory, whose deadlines follow the clock of
// testing/synctest.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// server runs a gate in front of a handler that reads the body, waits for work and
// answers 200, or 503 with the reason of a refusal.
type server struct {
	t    *testing.T
	gate *intake.Gate
	l    *pipes
	work chan struct{}
	// cancelled means that the context of a request ended before its work.
	cancelled atomic.Bool
}

// run calls f with a server that has the given limits.
func run(t *testing.T, limits intake.Limits, f func(s *server)) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{t: t, gate: intake.New("Test", limits), l: &pipes{make(chan net.Conn), make(chan struct{})}, work: make(chan struct{})}
		h := s.gate.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var refusal *intake.Refusal
			if _, err := intake.Read(r.Body); errors.As(err, &refusal) {
				w.Header().Set("Connection", "close")
				http.Error(w, string(refusal.Reason), http.StatusServiceUnavailable)
				return
			}
			select {
			case <-s.work:
			case <-r.Context().Done():
				s.cancelled.Store(true)
			}
		}))
		served := make(chan struct{})
		go func() { defer close(served); _ = h.Serve(s.l) }()
		f(s)
		close(s.l.done)
		_ = h.Shutdown(context.Background())
		<-served
	})
}

// client is a client whose answer, status and text, is delivered to answer.
type client struct {
	net.Conn
	answer chan string
}

// post sends the header of a request with a body of n bytes, and the given part.
func (s *server) post(n, part int) *client {
	ours, theirs := net.Pipe()
	s.l.conns <- theirs
	c := &client{ours, make(chan string, 1)}
	go func() {
		defer func() { _ = ours.Close() }()
		resp, err := http.ReadResponse(bufio.NewReader(ours), nil)
		if err != nil {
			c.answer <- err.Error()
			return
		}
		text, _ := bufio.NewReader(resp.Body).ReadString('\n')
		c.answer <- fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(text))
	}()
	_, err := fmt.Fprintf(ours, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
	require.NoError(s.t, err)
	c.send(part)
	return c
}

// send sends n bytes of the body, unless the server has closed the connection.
func (c *client) send(n int) {
	_, _ = c.Write(make([]byte, n))
	synctest.Wait()
}

func (s *server) requireAnswer(want string, c *client) {
	s.t.Helper()
	require.Equal(s.t, want, <-c.answer)
}

// requireWaits checks that no answer has come.
func (s *server) requireWaits(c *client) {
	s.t.Helper()
	synctest.Wait()
	require.Empty(s.t, c.answer)
}

// Guards against bodies that together hold more than the budget, against a refusal of
// an ordinary request in favour of one that is incomplete for longer, and against a
// budget that is never released.
func TestBudget(t *testing.T) {
	run(t, intake.Limits{Bytes: 1000}, func(s *server) {
		small, large := s.post(900, 100), s.post(900, 600)
		time.Sleep(time.Second)
		ordinary := s.post(400, 400)
		s.requireAnswer("503 OverBudget", large)
		s.requireWaits(small)
		s.requireWaits(ordinary)
		s.work <- struct{}{}
		s.requireAnswer("200 ", ordinary)
		next := s.post(900, 900)
		s.requireWaits(small)
		s.work <- struct{}{}
		s.requireAnswer("200 ", next)
		small.send(800)
		s.work <- struct{}{}
		s.requireAnswer("200 ", small)
	})
}

// Guards against a refusal, which says that the request has not run, of a body that
// was whole: its job may have been accepted.
func TestWholeBodyIsNotGivenUp(t *testing.T) {
	run(t, intake.Limits{Bytes: 1000}, func(s *server) {
		whole := s.post(900, 900)
		time.Sleep(time.Second)
		late := s.post(400, 200)
		s.requireAnswer("503 OverBudget", late)
		s.gate.GiveUp()
		s.requireWaits(whole)
		s.work <- struct{}{}
		s.requireAnswer("200 ", whole)
	})
}

// Guards against bodies that never end, and against a bound that an ordinary caller
// meets who is slow within its deadline.
func TestTimes(t *testing.T) {
	trickle := func(c *client, n int, pause time.Duration) {
		for range 40 {
			time.Sleep(pause)
			c.send(n)
		}
	}
	for _, c := range []struct {
		name  string
		size  int
		part  int
		pause time.Duration
		want  string
		took  time.Duration
	}{
		{"SlowButInTime", 40, 1, 70 * time.Millisecond, "200 ", 2800 * time.Millisecond},
		{"Stalls", 4000, 0, time.Second, "503 TooSlow", 4 * time.Second},
		{"TooFewBytes", 4000, 1, 200 * time.Millisecond, "503 TooSlow", 4 * time.Second},
		{"TooLong", 200_000, 4096, 500 * time.Millisecond, "503 TooSlow", 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, intake.Limits{}, func(s *server) {
				close(s.work)
				began := time.Now()
				x := s.post(c.size, 0)
				go trickle(x, c.part, c.pause)
				s.requireAnswer(c.want, x)
				require.InDelta(t, c.took, time.Since(began), float64(20*time.Millisecond))
				time.Sleep(time.Minute) // The trickle ends.
			})
		})
	}
}

// Guards against a shutdown that waits for bodies that never end, and whose callers
// do not learn that their requests have not run.
func TestGiveUp(t *testing.T) {
	run(t, intake.Limits{}, func(s *server) {
		c := s.post(900, 600)
		s.gate.GiveUp()
		s.requireAnswer("503 Stopping", c)
	})
}

// Guards against the time of one request's body applying to the next one on the same
// connection, or to the handler of a whole body.
func TestDeadlineEndsWithBody(t *testing.T) {
	run(t, intake.Limits{}, func(s *server) {
		c := s.post(10, 10)
		time.Sleep(25 * time.Second)
		require.False(t, s.cancelled.Load())
		s.requireWaits(c)
		s.work <- struct{}{}
		s.requireAnswer("200 ", c)
	})
}
