package leader

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// countingStore counts the renewals of leases.
type countingStore struct {
	sched.MetadataStore
	renewals atomic.Int64
}

func (s *countingStore) Renew(ctx context.Context, id sched.LeaseID) error {
	s.renewals.Add(1)
	return s.MetadataStore.Renew(ctx, id)
}

// Guards against a leader that loses its lease because updates of the state machine
// take long: the renewal must not wait for their lock.
func TestLeaseIsRenewedDuringLongUpdate(t *testing.T) {
	for name, loop := range map[string]func(*term){
		"leading": (*term).maintainLease,
		"loading": (*term).renewWhileLoading,
	} {
		t.Run(name, func(t *testing.T) {
			var update sync.Mutex
			var held atomic.Pointer[sync.Mutex]
			held.Store(&update)
			update.Lock()
			// In a bubble, time stands still while a goroutine waits for a lock.
			watchdog := time.AfterFunc(10*time.Second, func() { held.Load().Unlock() })
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{MetadataStore: memory.New().Client()}
				x := newTestTerm(t, store)
				x.mu.Lock()
				held.Store(&x.mu)
				go loop(x)
				time.Sleep(4 * defaultTTL)
				require.Greater(t, store.renewals.Load(), int64(4*defaultTTL/renewInterval-2))
				require.NoError(t, x.ctx.Err(), "the term goes on")
				x.cancel(nil)
				synctest.Wait()
			})
			require.True(t, watchdog.Stop(), "the renewal waited for the state machine")
		})
	}
}

// newTestTerm returns a term whose loops do not run.
func newTestTerm(t *testing.T, store sched.MetadataStore) *term {
	l := New(Settings{Name: "a"}, store, nil, WithClock(time.Now), WithLogger(slog.New(slog.DiscardHandler)))
	lease, _, err := store.Grant(t.Context(), l.ttl)
	require.NoError(t, err)
	return newTerm(t.Context(), l, layout.Term{Number: 1, Name: "a"}, 0, lease)
}
