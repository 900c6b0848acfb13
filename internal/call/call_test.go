package call_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// parse builds a call from a request with the given path below the service. headers
// are pairs of names and values.
func parse(t *testing.T, path string, headers ...string) (call.Call, sched.Reason) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/s/desk/x", nil)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	return call.FromHTTP(r, "desk", path, nil, time.Unix(100, 0))
}

// Guards against paths that a target would resolve outside the service.
func TestDotSegmentsAreRefused(t *testing.T) {
	for _, p := range []string{"/../x", "/a/%2E%2e/b", "/./", "no-slash"} {
		t.Run(p, func(t *testing.T) {
			_, reason := parse(t, p)
			require.Equal(t, sched.ReasonBadRequest, reason)
		})
	}
	_, reason := parse(t, "/a..b/c.d")
	require.Empty(t, reason)
}

// Guards against header fields of a single connection that are forwarded to a
// target.
func TestHopByHopFieldsAreDropped(t *testing.T) {
	c, reason := parse(t, "/x", "Connection", "close, X-Private", "X-Private", "1", "Te", "trailers", "Accept", "a/b")
	require.Empty(t, reason)
	require.Empty(t, c.Header.Get("Connection"))
	require.Empty(t, c.Header.Get("X-Private"))
	require.Empty(t, c.Header.Get("Te"))
	require.Equal(t, "a/b", c.Header.Get("Accept"))
}

// Guards against a missing, overlong or malformed timeout that sets a wrong deadline.
func TestTimeout(t *testing.T) {
	t.Run("default", func(t *testing.T) {
		c, _ := parse(t, "/x")
		require.Equal(t, time.Unix(100, 0).Add(call.DefaultTimeout), c.Deadline)
	})
	t.Run("bounded", func(t *testing.T) {
		c, _ := parse(t, "/x", call.HeaderTimeout, "99h")
		require.Equal(t, time.Unix(100, 0).Add(call.MaxTimeout), c.Deadline)
	})
	t.Run("malformed", func(t *testing.T) {
		_, reason := parse(t, "/x", call.HeaderTimeout, "soon")
		require.Equal(t, sched.ReasonBadRequest, reason)
	})
}

// Guards against a request with two idempotency keys that runs under one of them.
func TestTwoKeysAreRefused(t *testing.T) {
	_, reason := parse(t, "/x", call.HeaderKey, "a", call.HeaderKey, "b")
	require.Equal(t, sched.ReasonBadRequest, reason)
}
