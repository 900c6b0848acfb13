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
	a.startOffset = c.bytesWritten()
	if a.written {
		c.seal(a.startOffset, errResend)
		a.cancel(errResend)
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
