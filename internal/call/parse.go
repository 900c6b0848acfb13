package call

import (
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// DefaultTimeout is the timeout of a request whose caller sets none. The service's
// own timeout bounds each attempt.
const DefaultTimeout = 10 * time.Second

// MaxTimeout is the longest timeout of a request. Longer ones are shortened to it.
const MaxTimeout = 10 * time.Minute

// FromHTTP builds a call from a caller's request to /s/{service}/{path}. It returns
// the reason of a refusal if the request is malformed. A request without a usable
// request id gets a random one.
func FromHTTP(r *http.Request, service, path string, body []byte, now time.Time) (Call, sched.Reason) {
	if len(r.Header) > MaxHeaders {
		return Call{}, sched.ReasonHeaderTooLarge
	}
	if !isCleanPath(path) {
		return Call{}, sched.ReasonBadRequest
	}
	timeout, ok := parseTimeout(r.Header.Get(HeaderTimeout))
	if !ok {
		return Call{}, sched.ReasonBadRequest
	}
	key := r.Header.Get(HeaderKey)
	if len(key) > MaxKey || len(r.Header.Values(HeaderKey)) > 1 {
		return Call{}, sched.ReasonBadRequest
	}
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > MaxKey {
		id = rand.Text()
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return Call{
		RequestID: id,
		Service:   sched.ServiceName(service),
		Team:      sched.TeamName(r.Header.Get(HeaderTeam)),
		Method:    r.Method,
		Path:      path,
		Header:    EndToEnd(r.Header, HeaderTimeout, HeaderRequestID, HeaderTeam, "Content-Length"),
		Body:      body,
		Key:       key,
		Deadline:  now.Add(timeout),
	}, ""
}

// parseTimeout parses the value of [HeaderTimeout], and returns false if it is
// malformed.
func parseTimeout(s string) (time.Duration, bool) {
	if s == "" {
		return DefaultTimeout, true
	}
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, false
	}
	return min(d, MaxTimeout), true
}

// isCleanPath reports whether a path begins with a slash and has no dot segments,
// escaped or not. A target may resolve dot segments to a path outside the service.
func isCleanPath(p string) bool {
	if !strings.HasPrefix(p, "/") {
		return false
	}
	for _, seg := range strings.Split(p, "/") {
		seg = strings.ReplaceAll(strings.ToLower(seg), "%2e", ".")
		if seg == "." || seg == ".." {
			return false
		}
	}
	return true
}
