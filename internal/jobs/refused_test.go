package jobs_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/jobs"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// refusingStore refuses every transaction.
type refusingStore struct {
	*memory.Client
	commits int
}

// Commit implements sched.MetadataStore.
func (s *refusingStore) Commit(context.Context, sched.Txn) (sched.Version, error) {
	s.commits++
	return 0, sched.ErrRefused
}

// Guards against a record that the store refuses, for example because it is too large,
// and that is written again until the caller's timeout.
func TestRefusedRecordIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &refusingStore{Client: memory.New().Client()}
		began := time.Now()
		err := jobs.New(store, noLeader{}, fakePeers{}).Submit(requestContext(t), job("1"))
		requireRefused(t, err, sched.ReasonStoreUnavailable, sched.NotRun)
		require.Equal(t, 1, store.commits)
		require.Less(t, time.Since(began), 100*time.Millisecond)
	})
}
