// Package call defines a caller's request, as an entry handles it and forwards it
// to other entries, and the sink that the response is written to.
//
// # Usage
//
//	c, reason := call.FromHTTP(r, service, path, body, now)
//	if reason != "" {
//		// write a refusal with reason
//	}
//	res := backend.Serve(ctx, c, sink)
//	if !res.Started {
//		// write a refusal with res.Reason
//	}
package call

import (
	"net/http"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Names of the header fields that callers, entries and targets exchange.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderTimeout   = "Mangoslip-Timeout"
	HeaderTeam      = "Mangoslip-Team"
	HeaderRequestID = "Mangoslip-Request-Id"
	HeaderOutcome   = "Mangoslip-Outcome"
)

// Limits of a request.
const (
	// MaxBody bounds the size of a request body in bytes. The body is buffered so
	// that an attempt can be repeated.
	MaxBody = 1 << 20
	// MaxHeaders bounds the number of header fields with different names.
	MaxHeaders = 100
	// MaxHeaderBytes bounds the size of the request header in bytes.
	MaxHeaderBytes = 32 << 10
	// MaxKey bounds the length of an idempotency key and of a request id in bytes.
	MaxKey = 256
)

// Call is one request of a caller.
type Call struct {
	RequestID string
	Service   sched.ServiceName
	Team      sched.TeamName
	Method    string
	// Path is the escaped path below the service, with the query. It begins with a
	// slash.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key, empty if the caller sent none.
	Key      string
	Deadline time.Time
}

// Sink receives the response to a request. Head is called at most once, before any
// Write. An error means that the receiver has disconnected.
type Sink interface {
	Head(status int, h http.Header) error
	Write(chunk []byte) error
}

// Result is how a request ended. If Started is true, Head was called on the sink.
// The outcome Ran then means that the whole response was written. Any other outcome
// means that the response broke off and must not be taken for a complete one.
type Result struct {
	Outcome sched.Outcome
	Reason  sched.Reason
	Started bool
}

// Refused returns the result of a request that ends without a response of a target.
func Refused(r sched.Reason) Result { return Result{Outcome: r.Outcome(), Reason: r} }
