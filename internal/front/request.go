package front

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"goji.io/pat"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// serveRequest handles a caller's request to a service.
func (h *handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	service := pat.Param(r, "service")
	body, reason := readBody(w, r)
	if reason != "" {
		h.refuse(w, r.Header.Get(call.HeaderRequestID), reason)
		return
	}
	path := servicePath(r.URL.EscapedPath())
	c, reason := call.FromHTTP(r, service, path, body, time.Now())
	if reason != "" {
		h.refuse(w, r.Header.Get(call.HeaderRequestID), reason)
		return
	}
	began := time.Now()
	sink := &httpSink{w: w, id: c.RequestID}
	res := h.backend.Serve(r.Context(), c, sink)
	h.finish(w, c, began, res)
}

// finish ends the response to a request. It writes a refusal if nothing was written
// yet, and aborts the connection if the target's response broke off.
func (h *handler) finish(w http.ResponseWriter, c call.Call, began time.Time, res call.Result) {
	if res.Outcome != sched.Ran || res.Reason != "" {
		h.log.Info("request refused or failed", "id", c.RequestID, "service", c.Service, "method", c.Method,
			"outcome", res.Outcome, "reason", res.Reason, "started", res.Started,
			"took", time.Since(began).Round(time.Millisecond))
	}
	if !res.Started {
		h.problem(w, c.RequestID, res.Reason, "")
		return
	}
	if res.Outcome != sched.Ran {
		// Aborts the connection without the final chunk, so that the caller notices
		// that the response is truncated.
		panic(http.ErrAbortHandler)
	}
}

// servicePath returns the part of an escaped path after /s/{service}, or "/" if
// there is none.
func servicePath(p string) string {
	p = strings.TrimPrefix(p, "/s/")
	i := strings.IndexByte(p, '/')
	if i < 0 {
		return "/"
	}
	return p[i:]
}

// readBody reads a request body of at most call.MaxBody bytes, or returns the
// reason of a refusal.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, sched.Reason) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, call.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, sched.ReasonBodyTooLarge
	case err != nil:
		return nil, sched.ReasonBadRequest
	default:
		return body, ""
	}
}

// httpSink writes a target's response to a caller.
type httpSink struct {
	w  http.ResponseWriter
	id string
}

// Head implements call.Sink.
func (s *httpSink) Head(status int, hdr http.Header) error {
	out := s.w.Header()
	for k, v := range call.EndToEnd(hdr, call.HeaderOutcome) {
		out[k] = v
	}
	out.Set(call.HeaderOutcome, sched.Ran.String())
	out.Set(call.HeaderRequestID, s.id)
	s.w.WriteHeader(status)
	return nil
}

// Write implements call.Sink.
func (s *httpSink) Write(b []byte) error {
	_, err := s.w.Write(b)
	return err
}
