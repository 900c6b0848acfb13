package daemon

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/late"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against late jobs that are not served beside the metrics, or that are served to
// callers.
func TestLateJobsAreServedWithMetrics(t *testing.T) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	e := New(Settings{Name: "e", Front: loopback, Ready: loopback, Peer: loopback, Metrics: loopback, ReadyPath: "/ready"}, Platform{
		Store: memory.New().Client(), NewFront: func(sched.JobService) http.Handler { return http.NotFoundHandler() },
	})
	require.NoError(t, e.listen())
	defer func() {
		e.stopping.Store(true)
		for _, s := range e.servers {
			require.NoError(t, s.Close())
		}
	}()
	get := func(h http.Handler, path string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	for _, s := range e.servers {
		want := http.StatusNotFound
		if get(s.Handler, "/metrics") == http.StatusOK {
			want = http.StatusServiceUnavailable
		}
		require.Equal(t, want, get(s.Handler, late.Path))
	}
}
