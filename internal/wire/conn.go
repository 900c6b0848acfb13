package wire

import (
	"maps"
	"net"
	"slices"
	"sync"
)

// openConns holds the open connections of a transport by dial address.
type openConns struct {
	mu     sync.Mutex
	byAddr map[string]map[*conn]struct{}
}

// add wraps a new connection to addr. It is removed when it is closed.
func (o *openConns) add(c net.Conn, addr string) *conn {
	wrapped := &conn{Conn: c, addr: addr, open: o}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddr[addr] == nil {
		o.byAddr[addr] = map[*conn]struct{}{}
	}
	o.byAddr[addr][wrapped] = struct{}{}
	return wrapped
}

func (o *openConns) remove(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byAddr[c.addr], c)
	if len(o.byAddr[c.addr]) == 0 {
		delete(o.byAddr, c.addr)
	}
}

// closeIdle closes the idle connections to addr.
func (o *openConns) closeIdle(addr string) {
	o.mu.Lock()
	conns := slices.Collect(maps.Keys(o.byAddr[addr]))
	o.mu.Unlock()
	for _, c := range conns {
		if c.sealIdle() {
			_ = c.Close()
		}
	}
}

// conn counts the bytes that were handed to the kernel. Once it is sealed, it
// rejects all writes.
type conn struct {
	net.Conn
	addr string
	open *openConns

	mu sync.Mutex
	// user is the request that uses the connection, nil while it is idle. A connection
	// that http.Transport has just assigned to a request counts as idle until acquire.
	user    *attempt
	written int64
	writing bool
	// sealed is the error of all writes to a sealed connection, nil before.
	sealed error
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed != nil {
		defer c.mu.Unlock()
		return 0, c.sealed
	}
	c.writing = true
	c.mu.Unlock()

	n, err := c.Conn.Write(p)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.open.remove(c)
	return c.Conn.Close()
}

// acquire records that a uses the connection. It reports false if the connection was
// sealed before, so that no byte of a can be written.
func (c *conn) acquire(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user = a
	return c.sealed == nil
}

// release records that a no longer uses the connection. It has no effect if the next
// request has acquired the connection before.
func (c *conn) release(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user == a {
		c.user = nil
	}
}

// sealIdle rejects all further writes if the connection is idle, and reports whether
// it is.
func (c *conn) sealIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != nil {
		return false
	}
	if c.sealed == nil {
		c.sealed = errClosedIdle
	}
	return true
}

// bytesWritten returns the bytes written so far.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal rejects all further writes with err and reports whether more than offset
// bytes were written. A write in progress counts as written.
func (c *conn) seal(offset int64, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed == nil {
		c.sealed = err
	}
	return c.written > offset || c.writing
}
