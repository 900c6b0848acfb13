package site_test

import (
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/site"
	"github.com/mangoslip/mangoslip/internal/store"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
)

// waitTimeout is much longer than the few seconds that a restarted entry needs
// to recover its shards or to serve a shard after the release of a batch.
const waitTimeout = 30 * time.Second

// Guards against a damaged batch that is skipped without an operator releasing
// it, and against a shard that cannot be served again after the release. The
// test damages a batch in the store while the only entry is down.
func TestDamagedBatchWaitsForItsRelease(t *testing.T) {
	s, err := site.New(site.WithEntries(1), site.WithDataCentres(1), site.WithWorkers(1))
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.Start(t.Context()))
	srv := httptest.NewServer(s.Store)
	t.Cleanup(srv.Close)
	kv := store.New(netip.MustParseAddrPort(srv.Listener.Addr().String()))
	e := s.Live()[0]
	shard := e.Serving()[0]
	job := sched.JobSpec{ID: "job-1", Team: "Billing", Tasks: []sched.TaskSpec{{Class: "Carve"}}}
	_, reason := e.SubmitJob(t.Context(), job)
	require.Empty(t, reason)

	s.Crash(string(e.Name))
	items, err := kv.List(t.Context(), commit.RingPrefix(shard))
	require.NoError(t, err)
	require.NotEmpty(t, items)
	last := items[len(items)-1]
	_, err = kv.Put(t.Context(), last.Key, append([]byte("x"), last.Value...), last.Version)
	require.NoError(t, err)
	require.NoError(t, s.Restart(string(e.Name)))

	var damaged []client.DamagedBatch
	require.Eventually(t, func() bool {
		for _, e := range s.Entries() {
			damaged = e.Status().Damaged
		}
		return len(damaged) == 1
	}, waitTimeout, 50*time.Millisecond)
	require.Equal(t, shard, damaged[0].Shard)
	require.NotContains(t, s.Entries()[0].Serving(), shard)

	admin := client.New(s.Entries()[0].AdminAddr, s.Token())
	require.NoError(t, admin.ReleaseBatch(t.Context(), shard, damaged[0].Seq, "operator"))
	require.Eventually(t, func() bool { return slices.Contains(s.Entries()[0].Serving(), shard) }, waitTimeout, 50*time.Millisecond)
	kept, err := kv.Get(t.Context(), commit.DamagedKey(shard, damaged[0].Seq))
	require.NoError(t, err)
	require.Equal(t, byte('x'), kept.Value[0])
}
