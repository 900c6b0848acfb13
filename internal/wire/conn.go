package wire

import (
	"net"
	"sync"
)

// conn counts the bytes that were handed to the kernel. Once it is sealed, it
// rejects all writes.
type conn struct {
	net.Conn

	mu      sync.Mutex
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
