package procs

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against an entry's crash during an outage of the store that keeps the
// other entries from serving requests, and against shards that have no owner
// after the outage.
func TestCrashDuringOutage(t *testing.T) {
	s := newSite(t, 3)
	for range 2 {
		s.submitJob(6, 3*time.Second)
	}
	victim := s.liveEntries()[0]
	lost := s.owned(victim)
	s.setFaults(s.storeAddr, fake.StoreFaults{Outage: true})
	s.kill(victim)
	for began := time.Now(); time.Since(began) < outageTime; time.Sleep(2 * poll) {
		for _, e := range s.liveEntries() {
			q := s.quote().through(e)
			requireRan(t, q, s.send(q))
		}
	}
	s.setFaults(s.storeAddr, fake.StoreFaults{})
	t.Logf("shards of the killed entry are served %v after the outage", s.awaitTakeover(lost))
	s.awaitJobs(taskLease + startBound)
	s.awaitServed(taskLease + slack)
	s.check()
}

// crashWorkers kills a worker process and keeps its records for the audit.
// The workers are frozen first, so that nothing starts after the records were
// read. Tasks and requests that still run are recorded as ended with the process.
func (s *site) crashWorkers(w *workerProc) {
	s.t.Helper()
	var finalRecords []fake.WorkerRecords
	for _, addr := range w.control {
		s.setFaults(addr, fake.WorkerFaults{Freeze: true})
	}
	for _, addr := range w.control {
		finalRecords = append(finalRecords, records[fake.WorkerRecords](s, addr))
	}
	w.signal(syscall.SIGKILL)
	w.wait(exitTimeout)
	now := time.Now()
	for _, r := range finalRecords {
		for i := range r.Tasks {
			if r.Tasks[i].End.IsZero() {
				r.Tasks[i].End, r.Tasks[i].State = now, sched.TaskLeaseExpired
			}
		}
		for i := range r.Requests {
			if r.Requests[i].End.IsZero() {
				r.Requests[i].End = now
			}
		}
	}
	s.crashed = append(s.crashed, finalRecords...)
	for i := range s.workers {
		if s.workers[i] == w {
			s.workers = append(s.workers[:i:i], s.workers[i+1:]...)
			break
		}
	}
	for name := range w.control {
		s.post(s.listAddr, "/fake/drop/"+name)
	}
}

// Guards against tasks that are lost or run twice when the workers that run them
// crash while their shard is handed over to another entry.
func TestRackCrashDuringHandover(t *testing.T) {
	s := newSite(t, 3)
	s.startRack(dataCentres[0], "spare")
	s.awaitServed(startBound)
	for range 3 {
		s.submitJob(6, 3*time.Second)
	}
	leaving := s.liveEntries()[0]
	s.owned(leaving)
	rack := s.workers[0]
	s.await(slack, "tasks run on the rack", func() bool {
		for _, addr := range rack.control {
			if len(records[fake.WorkerRecords](s, addr).Tasks) > 0 {
				return true
			}
		}
		return false
	})
	stop := s.steadyLoad()
	s.post(s.listAddr, "/fake/leaving/"+leaving.name)
	leaving.signal(syscall.SIGTERM)
	s.await(stopBound, "the entry is no longer ready", func() bool { return !leaving.ready.Load() })
	s.crashWorkers(rack)
	require.Zero(t, leaving.wait(stopBound+slack), "%s", leaving.logOutput())
	s.remove(leaving)
	s.awaitJobs(2*taskLease + startBound)
	stop()
	s.awaitServed(taskLease + slack)
	s.check()
}
