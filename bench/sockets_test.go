package bench

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/site"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// startSite starts a site on loopback and closes it at the end of the benchmark.
func startSite(b *testing.B, opts ...site.Option) *site.Site {
	s, err := site.New(opts...)
	require.NoError(b, err)
	b.Cleanup(s.Close)
	require.NoError(b, s.Start(context.Background()))
	return s
}

// cpuTime returns the processor time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// newClient returns an HTTP client for callers that keeps its connections open.
func newClient(b *testing.B) *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	b.Cleanup(t.CloseIdleConnections)
	return &http.Client{Transport: t, Timeout: 10 * time.Second}
}

// awaitAnswers waits until answersInRow sends in a row succeed. A shard grants
// the slots of a worker only after the worker has answered its first inventory.
func awaitAnswers(b *testing.B, send func() error) {
	var err error
	for deadline, streak := time.Now().Add(answersTimeout), 0; streak < answersInRow; streak++ {
		if err = send(); err == nil {
			continue
		}
		require.True(b, time.Now().Before(deadline), "%v", err)
		time.Sleep(answersPause)
		streak = -1
	}
}

const (
	answersTimeout = 10 * time.Second
	answersPause   = 20 * time.Millisecond
	answersInRow   = 20
)

// entryWith returns an entry that serves shards, or one that serves none.
func entryWith(b *testing.B, s *site.Site, serves bool) *site.Entry {
	for _, e := range s.Live() {
		if (len(e.Serving()) > 0) == serves {
			return e
		}
	}
	require.Fail(b, "no such entry", "serves: %v", serves)
	return nil
}

// dataAddress returns the data address of a worker that runs a service.
func dataAddress(b *testing.B, s *site.Site, name sched.ServiceName) string {
	for _, in := range s.List.Instances() {
		if in.Role == sched.RoleWorker && slices.Contains(in.Services, name) {
			return in.Data.String()
		}
	}
	require.Fail(b, "no worker", "service %s", name)
	return ""
}
