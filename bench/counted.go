package bench

import (
	"context"
	"net"
	"sync/atomic"

	peers "github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// countingConn adds the bytes that it reads and writes to a counter.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of all connections that it accepts.
type countingListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.n}, nil
}

// stubBackend answers each heartbeat with a fixed view and accepts all task
// events. Its other methods are not implemented.
type stubBackend struct {
	peers.Backend
	view peers.View
}

func (s *stubBackend) Heartbeat(context.Context, peers.View) peers.View { return s.view }

func (s *stubBackend) TaskEvents(context.Context, sched.ShardID, sched.ShardID, [][]byte) sched.Reason {
	return ""
}
