package wire

import (
	"context"
	"net/http/httptrace"
)

// attempt tracks one request across the connections that the transport assigns to
// it. The transport calls gotConn on the goroutine of the request before it writes,
// so the fields need no lock.
type attempt struct {
	cancel context.CancelCauseFunc
	conn   *conn
	// startOffset is the number of bytes that were written on conn before this
	// request.
	startOffset int64
	// written means that a byte of the request was written, or may have been.
	written bool
	// refused means that conn was sealed before the request got it and that no byte of
	// the request was written, so it can take another connection.
	refused bool
}

// gotConn records the connection that the request got. If bytes of the request were
// written on an earlier connection, this is a resend: the new connection is sealed
// and the request is cancelled. A connection that is not a *conn cannot be tracked,
// so the request counts as written.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if a.conn != nil && a.conn.seal(a.startOffset, errSealed) {
		a.written = true
	}
	c, ok := info.Conn.(*conn)
	if !ok {
		a.written = true
		return
	}
	a.conn = c
	open := c.acquire(a)
	a.startOffset = c.bytesWritten()
	a.refused = !open && !a.written
	if a.written {
		c.seal(a.startOffset, errResend)
		a.cancel(errResend)
	}
}

// putIdleConn records that the connection of the request is idle again.
func (a *attempt) putIdleConn(err error) {
	if err == nil && a.conn != nil {
		a.conn.release(a)
	}
}

// seal seals the connection of the request and reports whether any byte of the
// request was written.
func (a *attempt) seal() bool {
	if a.conn != nil && a.conn.seal(a.startOffset, errSealed) {
		a.written = true
	}
	return a.written
}
