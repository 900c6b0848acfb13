package procs

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// outageTime is the length of an outage of the store. It is several times the
// 1.25 s for which a confirmation of ownership by the store is valid.
const outageTime = 6 * time.Second

// succeededTasks returns the number of task runs that succeeded.
func (s *site) succeededTasks() int {
	n := 0
	for _, w := range s.workerRecords() {
		for _, r := range w.Tasks {
			if r.State == sched.TaskSucceeded {
				n++
			}
		}
	}
	return n
}

// Guards against three faults around an outage of the store: requests and tasks
// that need no store fail, keyed orders run without a record in the store, or the
// answers of earlier orders are lost.
func TestStoreOutage(t *testing.T) {
	s := newSite(t, 3)
	spec := s.submitJob(6, 3*time.Second)
	first := s.order()
	requireRan(t, first, s.send(first))
	s.await(slack, "the tasks run", func() bool {
		j, ok := s.jobStatus(spec.ID)
		return ok && j.Tasks[0].Phase == sched.PhaseRunning
	})
	s.setFaults(s.storeAddr, fake.StoreFaults{Outage: true})
	var refused []request
	for began := time.Now(); time.Since(began) < outageTime; {
		for _, e := range s.liveEntries() {
			q := s.quote().through(e)
			requireRan(t, q, s.send(q))
			requireRan(t, first, s.send(first.through(e)))
		}
		unkeyed := s.order()
		unkeyed.key = ""
		requireRan(t, unkeyed, s.send(unkeyed))
		o := s.order()
		a := s.send(o)
		require.Equal(t, sched.NotRun, a.outcome, "%s", a)
		require.Equal(t, sched.ReasonStoreUnavailable, a.reason, "%s", a)
		refused = append(refused, o)
		time.Sleep(2 * poll)
	}
	s.await(slack, "tasks run to their end during the outage", func() bool { return s.succeededTasks() == len(spec.Tasks) })
	for _, o := range refused {
		require.Zero(t, s.startCount(o.key))
	}
	s.setFaults(s.storeAddr, fake.StoreFaults{})
	for i, o := range refused {
		if i%8 != 0 {
			continue
		}
		s.await(slack, "a refused order runs after the outage", func() bool { return s.send(o).complete() })
		require.Equal(t, 1, s.startCount(o.key))
	}
	s.submitJob(3, 0)
	s.awaitJobs(startBound)
	s.awaitServed(slack)
	s.check()
}

// loseEvery makes the store lose the answer of every third write.
const loseEvery = 3

// Guards against an order that runs twice, or that is reported as not run though
// it ran, when a store write took effect and its answer was lost.
func TestLostStoreAnswers(t *testing.T) {
	s := newSite(t, 3)
	s.setFaults(s.storeAddr, fake.StoreFaults{LoseEvery: loseEvery})
	var mu sync.Mutex
	var ran []request
	stop := s.load(20, func() {
		o := s.order()
		var repeat sync.WaitGroup
		repeat.Go(func() { s.send(o) })
		if s.send(o).complete() {
			mu.Lock()
			ran = append(ran, o)
			mu.Unlock()
		}
		repeat.Wait()
		s.send(o)
	})
	s.await(startBound, "orders run", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(ran) >= 60
	})
	stop()
	require.Positive(t, records[fake.StoreRecords](s, s.storeAddr).Counts.Lost)
	for _, o := range ran {
		require.Equal(t, 1, s.startCount(o.key))
	}
	s.setFaults(s.storeAddr, fake.StoreFaults{})
	o := s.order()
	s.await(slack, "an order runs without the fault", func() bool { return s.send(o).complete() })
	s.check()
}
