package intake

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// minIncomplete is the age from which a connection whose request is not whole may be
// closed for a new one. Ordinary requests are whole much sooner.
const minIncomplete = time.Second

// connKey is the key of a request's connection in its context.
type connKey struct{}

// phase is what a connection is doing.
type phase uint8

const (
	// receiving means that the current request is not whole, or none has begun.
	receiving phase = iota
	// handling means that the request was whole.
	handling
	// idle means that the last request was answered.
	idle
)

// conn is an open connection. The fields are protected by the lock of conns.
type conn struct {
	*net.TCPConn
	conns *conns
	phase phase
	since time.Time
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.conns.remove(c)
	return c.TCPConn.Close()
}

// conns is the set of the open connections of a listener.
type conns struct {
	bound int
	count func(Reason)

	mu   sync.Mutex
	open map[*conn]struct{}
}

// listener admits connections to a set.
type listener struct {
	net.Listener
	conns *conns
}

// Accept implements [net.Listener]. Connections beyond the bound are accepted and
// closed, because those that wait to be accepted hold memory of the kernel.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.conns.admit(c.(*net.TCPConn), time.Now()); admitted != nil {
			return admitted, nil
		}
	}
}

// admit adds a connection. At the bound it closes one to make room, or the new one,
// and then returns nil.
func (s *conns) admit(tcp *net.TCPConn, now time.Time) *conn {
	added, excess, reason := s.add(tcp, now)
	if excess != nil {
		abort(excess)
		s.count(reason)
	}
	return added
}

// add adds a connection. At the bound it removes another one, or adds none. excess is
// the connection that the caller has to close then, and reason says why.
func (s *conns) add(tcp *net.TCPConn, now time.Time) (added *conn, excess *net.TCPConn, reason Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.bound {
		old := s.victim(now)
		if old == nil {
			return nil, tcp, ConnRefused
		}
		delete(s.open, old)
		excess, reason = old.TCPConn, IncompleteClosed
		if old.phase == idle {
			reason = IdleClosed
		}
	}
	added = &conn{TCPConn: tcp, conns: s, since: now}
	s.open[added] = struct{}{}
	return added, excess, reason
}

// victim returns the connection that has been idle longest, or else the one whose
// request has been incomplete longest, or nil.
func (s *conns) victim(now time.Time) *conn {
	var best *conn
	for c := range s.open {
		if c.phase == handling || c.phase == receiving && now.Sub(c.since) < minIncomplete {
			continue
		}
		if best == nil || c.phase > best.phase || c.phase == best.phase && c.since.Before(best.since) {
			best = c
		}
	}
	return best
}

// abort closes a connection and drops what the kernel has received for it.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0) // Fails only on a closed connection.
	_ = c.Close()
}

func (s *conns) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *conns) number() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// changed follows the state of a connection in its server.
func (s *conns) changed(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		s.set(c, receiving)
	case http.StateIdle:
		s.set(c, idle)
	}
}

// whole records that the request of a connection was received in full.
func (s *conns) whole(c *conn) {
	if c != nil {
		s.set(c, handling)
	}
}

func (s *conns) set(c *conn, p phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.phase, c.since = p, time.Now()
}
