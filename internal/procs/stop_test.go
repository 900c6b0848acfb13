package procs

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// stopBound is the maximum time of a graceful shutdown in these tests. It covers
// the wait for the balancer, the requests in progress and the release of the
// shards.
const stopBound = drainWait + 4*time.Second

// Guards against a graceful shutdown that cuts off a request, that leaves a caller
// without knowing whether its request ran, or that refuses requests before the
// balancer can notice that the entry is no longer ready.
func TestRollingRestartCutsNothing(t *testing.T) {
	s := newSite(t, 3)
	var mu sync.Mutex
	var cut []string
	total := 0
	recordAnswer := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		total++
		if a.err != nil || a.outcome == sched.Unknown || a.reason == sched.ReasonShuttingDown {
			cut = append(cut, a.String())
		}
	}
	quotes := s.load(40, func() { recordAnswer(s.send(s.quote())) })
	orders := s.load(20, func() { recordAnswer(s.send(s.order())) })
	long := s.load(4, func() {
		q := s.quote()
		q.sleep = 1500 * time.Millisecond
		recordAnswer(s.send(q))
	})
	for i, e := range s.liveEntries() {
		// The platform lists an instance that it stops as leaving.
		s.post(s.listAddr, "/fake/leaving/"+e.name)
		e.signal(syscall.SIGTERM)
		s.await(stopBound, "the entry is no longer ready", func() bool { return !e.ready.Load() })
		require.Zero(t, e.wait(stopBound+slack), "%s", e.logOutput())
		s.remove(e)
		s.startEntry(e.name, dataCentres[i])
		s.awaitOwners()
	}
	quotes()
	orders()
	long()
	t.Logf("%d requests, %d cut", total, len(cut))
	require.Empty(t, cut)
	s.awaitServed(slack)
	s.check()
}

// awaitOwners waits until all entries are ready and know an owner for every shard.
func (s *site) awaitOwners() {
	s.t.Helper()
	s.await(takeoverBound+slack, "every shard has an owner", func() bool {
		for _, e := range s.liveEntries() {
			if v, err := s.heartbeat(e); err != nil || !allOwned(v.Table) || !e.ready.Load() {
				return false
			}
		}
		return true
	})
}
