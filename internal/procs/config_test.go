package procs

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/audit"
	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
)

// Bounds of the design for the time until an accepted configuration is in force
// at all entries, with a working watch and with one that sends no events.
const (
	configBound       = 2 * time.Second
	silentConfigBound = 5 * time.Second
	// configSlack is added to both bounds.
	configSlack = 2 * time.Second
)

// revisions returns the revision in force at each entry that answers.
func (s *site) revisions() map[sched.EntryName]sched.Revision {
	out := map[sched.EntryName]sched.Revision{}
	for _, e := range s.liveEntries() {
		if v, err := s.heartbeat(e); err == nil {
			out[sched.EntryName(e.name)] = v.Revision
		}
	}
	return out
}

// awaitRevision waits until a revision is in force at all entries, and returns
// how long that took.
func (s *site) awaitRevision(want sched.Revision, bound time.Duration) time.Duration {
	s.t.Helper()
	return s.await(bound+configSlack, fmt.Sprintf("revision %d is in force everywhere", want), func() bool {
		seen := s.revisions()
		for _, r := range seen {
			if r != want {
				return false
			}
		}
		return len(seen) == len(s.liveEntries())
	})
}

// recordRevisions records the revisions in force for the audit until stop is
// called.
func (s *site) recordRevisions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			for name, r := range s.revisions() {
				s.log.AddRevision(audit.RevisionInForce{Entry: name, At: time.Now(), Revision: r})
			}
			time.Sleep(poll)
		}
	})
	stop = func() { cancel(); wg.Wait() }
	s.t.Cleanup(stop)
	return stop
}

// editConcurrently sends two edits of the same revision at once, each through a
// different entry. It returns how many were accepted, and the highest revision
// that an accepted edit got.
func (s *site) editConcurrently(current sched.Revision) (accepted int, newest sched.Revision) {
	s.t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, e := range s.liveEntries()[:2] {
		wg.Go(func() {
			text := servicesWithObjective(fmt.Sprintf("%dms", 60+2*int(current)+i))
			status, revision := s.edit(e, text, current)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				accepted++
				newest = max(newest, revision)
			}
		})
	}
	wg.Wait()
	return accepted, newest
}

// Guards against two edits of one revision that are both accepted, against an
// accepted revision that is replaced by an older one, and against one that does
// not reach every entry. The second half of the rounds runs without watch events.
func TestOperatorsRace(t *testing.T) {
	s := newSite(t, 3)
	stop := s.recordRevisions()
	revision := sched.Revision(1)
	s.awaitRevision(revision, configBound)
	for round := range 12 {
		bound := configBound
		if round == 6 {
			bound = silentConfigBound
			s.setFaults(s.storeAddr, fake.StoreFaults{SilentWatch: true})
		}
		accepted, newest := s.editConcurrently(revision)
		require.Equal(t, 1, accepted, "round %d", round)
		require.Equal(t, revision+1, newest)
		revision = newest
		t.Logf("revision %d in force everywhere after %v", newest, s.awaitRevision(newest, bound))
	}
	stop()
	last := sched.Revision(0)
	for _, w := range records[fake.StoreRecords](s, s.storeAddr).ConfigWrites {
		if w.Key != config.CurrentKey {
			continue
		}
		stored, err := config.DecodeStored(w.Value)
		require.NoError(t, err)
		require.Equal(t, last+1, stored.Revision)
		last = stored.Revision
	}
	require.Equal(t, revision, last)
	s.check()
}
