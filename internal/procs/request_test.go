package procs

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// startCount returns how often targets started requests with a key.
func (s *site) startCount(key string) int {
	n := 0
	for _, w := range s.workerRecords() {
		for _, r := range w.Requests {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// requireRan asserts that a caller got the complete answer to its own request.
func requireRan(t *testing.T, r request, a answer) {
	t.Helper()
	require.True(t, a.complete(), "%s", a)
	require.Equal(t, http.StatusOK, a.status)
	require.Equal(t, r.token, a.token)
}

// Guards against a request path between the processes that does not work,
// against an order that runs again when it is repeated through another entry, and
// against a key that is accepted for a request with other content.
func TestRequestsRunEndToEnd(t *testing.T) {
	s := newSite(t, 3)
	for _, e := range s.liveEntries() {
		q := s.quote().through(e)
		requireRan(t, q, s.send(q))
	}
	o := s.order()
	for range 2 {
		for _, e := range s.liveEntries() {
			requireRan(t, o, s.send(o.through(e)))
		}
	}
	require.Equal(t, 1, s.startCount(o.key))
	otherContent := o
	otherContent.token = s.newID("other")
	refused := s.send(otherContent)
	require.Equal(t, sched.ReasonKeyReused, refused.reason, "%s", refused)
	s.submitJob(3, 0)
	s.awaitJobs(startBound)
	s.check()
}

// Guards against a repeat that times out while the first call runs and thereby
// releases the key, or is answered as if the order had not run. The repeats have
// the request ID of the first call, so the ID does not tell the calls apart.
func TestRepeatTimesOut(t *testing.T) {
	s := newSite(t, 3)
	first, other := s.liveEntries()[0], s.liveEntries()[1]
	o := s.orderForShard(s.owned(first)[0].ID).through(other)
	o.sleep, o.timeout = 3*time.Second, 10*time.Second
	done := make(chan answer, 1)
	go func() {
		a := answer{id: "same"}
		s.exchange(o, &a)
		done <- a
	}()
	s.await(startBound, "the order is started", func() bool { return s.startCount(o.key) == 1 })
	for _, e := range s.liveEntries() {
		repeat, a := o.through(e), answer{id: "same"}
		repeat.timeout = 300 * time.Millisecond
		s.exchange(repeat, &a)
		require.Equal(t, sched.Unknown, a.outcome, "%s", a)
	}
	last := answer{id: "same"}
	s.exchange(o.through(s.liveEntries()[2]), &last)
	requireRan(t, o, last)
	requireRan(t, o, <-done)
	require.Equal(t, 1, s.startCount(o.key))
	s.check()
}
