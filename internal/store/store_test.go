package store_test

import (
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/internal/store"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

func setup(t *testing.T, opts ...store.Option) (*fake.Store, *store.Client) {
	t.Helper()
	s := fake.NewStore()
	srv := httptest.NewServer(s)
	opts = append(opts, store.WithTimeout(time.Minute))
	c := store.New(netip.MustParseAddrPort(srv.Listener.Addr().String()), opts...)
	t.Cleanup(func() { c.Close(); srv.Close() })
	return s, c
}

func requireValue(t *testing.T, c *store.Client, key, value string, v sched.Version) {
	t.Helper()
	item, err := c.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, sched.Item{Key: key, Value: []byte(value), Version: v}, item)
}

// Guards against writes and deletes that are applied although the version of
// the key has changed, and against a key with slashes that is split into path
// segments.
func TestCompareAndSwap(t *testing.T) {
	s, c := setup(t)
	ctx := t.Context()
	v, err := c.Put(ctx, "Journal/Gasabo/0/1", []byte("a"), 0)
	require.NoError(t, err)
	requireValue(t, c, "Journal/Gasabo/0/1", "a", v)
	_, err = c.Put(ctx, "Journal/Gasabo/0/1", []byte("b"), 0)
	require.ErrorIs(t, err, sched.ErrConflict)
	require.ErrorIs(t, c.Delete(ctx, "Journal/Gasabo/0/1", v+1), sched.ErrConflict)
	_, err = c.Put(ctx, "Journal/Gasabo/0/2", nil, 0)
	require.NoError(t, err)
	items, err := c.List(ctx, "Journal/Gasabo/0/")
	require.NoError(t, err)
	require.Len(t, items, 2)
	require.NoError(t, c.Delete(ctx, "Journal/Gasabo/0/1", v))
	_, err = c.Get(ctx, "Journal/Gasabo/0/1")
	require.ErrorIs(t, err, sched.ErrNotFound)
	again, err := c.Put(ctx, "Journal/Gasabo/0/1", []byte("c"), 0)
	require.NoError(t, err)
	require.Greater(t, again, v, "a version must not repeat after a delete")
	_, err = c.Put(ctx, "big", []byte(strings.Repeat("x", 1<<20+1)), 0)
	require.ErrorIs(t, err, sched.ErrRefused)
	require.Equal(t, 2, s.Records().Counts.Conflicts)
	require.Equal(t, store.Counts{Gets: 2, Lists: 1, Puts: 5, Deletes: 2}, c.Counts())
}

// Guards against a write that is reported as not applied, or is repeated,
// although it was applied and only its response was lost.
func TestLostAnswer(t *testing.T) {
	s, c := setup(t)
	s.SetFaults(fake.StoreFaults{LoseNext: 1})
	_, err := c.Put(t.Context(), "Config/Current", []byte("a"), 0)
	require.ErrorIs(t, err, sched.ErrLost)
	require.NotErrorIs(t, err, sched.ErrUnavailable)
	requireValue(t, c, "Config/Current", "a", 1)
	require.Equal(t, 1, s.Records().Counts.Puts, "the write must not be repeated")
	require.Len(t, s.Records().ConfigWrites, 1)
	require.Equal(t, uint64(1), c.Counts().Lost)
}

// Guards against a write that is reported as possibly applied although it
// cannot have been: the store was not reached or rejected the call.
func TestUnavailable(t *testing.T) {
	t.Run("refused dial", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, ln.Close())
		c := store.New(netip.MustParseAddrPort(ln.Addr().String()))
		_, err = c.Put(t.Context(), "k", nil, 0)
		require.ErrorIs(t, err, sched.ErrUnavailable)
		require.Equal(t, uint64(1), c.Counts().Unavailable)
	})
	t.Run("outage", func(t *testing.T) {
		s, c := setup(t)
		s.SetFaults(fake.StoreFaults{Outage: true})
		_, err := c.Put(t.Context(), "k", nil, 0)
		require.ErrorIs(t, err, sched.ErrUnavailable)
		s.SetFaults(fake.StoreFaults{})
		_, err = c.Get(t.Context(), "k")
		require.ErrorIs(t, err, sched.ErrNotFound)
	})
	t.Run("rate limit of the store", func(t *testing.T) {
		s, c := setup(t)
		s.SetFaults(fake.StoreFaults{WritesPerSecond: 1e-9})
		_, err := c.Put(t.Context(), "a", nil, 0)
		require.NoError(t, err)
		_, err = c.Put(t.Context(), "b", nil, 0)
		require.ErrorIs(t, err, sched.ErrBudget)
	})
}

// Guards against journal writes that use up the calls that are reserved for
// ownership changes.
func TestReservedBudget(t *testing.T) {
	s, c := setup(t, store.WithBudget(2e-9, 2e-9), store.WithReserve(1e-9, 1e-9))
	ctx := t.Context()
	_, err := c.Put(ctx, "a", nil, 0)
	require.NoError(t, err)
	_, err = c.Put(ctx, "b", nil, 0)
	require.ErrorIs(t, err, sched.ErrBudget)
	_, err = c.Reserved().Put(ctx, "Table", nil, 0)
	require.NoError(t, err)
	_, err = c.Reserved().Put(ctx, "Table2", nil, 0)
	require.ErrorIs(t, err, sched.ErrBudget)
	require.Equal(t, 2, s.Records().Counts.Puts)
	require.Equal(t, uint64(2), c.Counts().OverBudget)
}

// Guards against a watch that misses a change, and against one that does not
// return at the end of its wait.
func TestWatch(t *testing.T) {
	s, c := setup(t)
	ctx := t.Context()
	v, err := c.Put(ctx, "k", []byte("a"), 0)
	require.NoError(t, err)
	_, err = c.Watch(ctx, "k", v, time.Millisecond)
	require.ErrorIs(t, err, sched.ErrNotFound)
	got := make(chan sched.Item, 1)
	go func() {
		item, _ := c.Watch(ctx, "k", v, time.Minute)
		got <- item
	}()
	_, err = c.Put(ctx, "k", []byte("b"), v)
	require.NoError(t, err)
	require.Equal(t, "b", string((<-got).Value))
	s.SetFaults(fake.StoreFaults{SilentWatch: true})
	_, err = c.Watch(ctx, "k", 0, time.Millisecond)
	require.ErrorIs(t, err, sched.ErrNotFound)
}
