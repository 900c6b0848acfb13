package procs

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// leaseMargin is the maximum time from the expiry of a lease to the next attempt of
// its task.
const leaseMargin = 2 * time.Second

// workerRunning returns the control address of a worker that runs a task of a job,
// and the tasks that it runs.
func (s *site) workerRunning(job sched.JobID) (control string, on []sched.TaskID) {
	s.t.Helper()
	for _, w := range s.workers {
		for _, addr := range w.control {
			for _, r := range records[fake.WorkerRecords](s, addr).Tasks {
				if r.Task.Job == job && r.State == sched.TaskRunning {
					on = append(on, r.Task)
				}
			}
			if len(on) > 0 {
				return addr, on
			}
		}
	}
	return "", nil
}

// attempts returns the runs of a task on all workers, ordered by their start.
func (s *site) attempts(id sched.TaskID) []fake.TaskRun {
	var out []fake.TaskRun
	for _, w := range s.workerRecords() {
		for _, r := range w.Tasks {
			if r.Task == id {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b fake.TaskRun) int { return a.Start.Compare(b.Start) })
	return out
}

// retriedTasks counts the tasks whose first attempt was given up before it ran and
// that have run once as a later attempt.
func (s *site) retriedTasks() int {
	n := 0
	for _, spec := range s.accepted {
		for i := range spec.Tasks {
			runs := s.attempts(sched.TaskID{Job: spec.ID, Index: i})
			if len(runs) == 1 && runs[0].Attempt%attemptsPerEpoch > 1 {
				n++
			}
		}
	}
	return n
}

// attemptsPerEpoch is the step between the attempt numbers of two epochs.
const attemptsPerEpoch = 1 << 20

// Guards against tasks that are lost or run on two workers at the same time when a
// worker is frozen for longer than its leases and then continues. This concerns
// tasks that ran there and tasks whose start request waits in its sockets.
func TestFrozenWorkerReturns(t *testing.T) {
	s := newSite(t, 3)
	// The run time exceeds the lease, so that no attempt ends on the frozen
	// worker.
	spec := s.submitJob(4, taskLease+2*time.Second)
	var control string
	var on []sched.TaskID
	s.await(slack, "a task runs", func() bool { control, on = s.workerRunning(spec.ID); return len(on) > 0 })
	s.setFaults(control, fake.WorkerFaults{Freeze: true})
	for range 8 {
		s.submitJob(8, taskLease+2*time.Second)
	}
	stop := s.load(20, func() { s.send(s.quote()) })
	s.await(taskLease+leaseMargin+slack, "the tasks run again elsewhere", func() bool {
		return s.retriedTasks() > 0 && !slices.ContainsFunc(on, func(id sched.TaskID) bool { return len(s.attempts(id)) < 2 })
	})
	s.setFaults(control, fake.WorkerFaults{})
	s.awaitJobs(2*taskLease + startBound)
	stop()
	for _, id := range on {
		runs := s.attempts(id)
		require.Equal(t, sched.TaskLeaseExpired, runs[0].State, "%+v", runs)
		require.NotEqual(t, runs[0].Worker, runs[1].Worker, "%+v", runs)
	}
	s.awaitServed(taskLease + slack)
	s.check()
}

// refuseTime is how long a worker refuses connections. It is less than the
// duration of a task lease.
const refuseTime = 4 * time.Second

// refuseConnections makes a worker refuse connections for some time. The call may
// end without an answer, because the worker closes its connection too.
func (s *site) refuseConnections(control string, d time.Duration) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/fake/faults",
		strings.NewReader(fmt.Sprintf(`{"RefuseFor":%d}`, d)))
	require.NoError(s.t, err)
	if resp, err := s.http.Do(req); err == nil {
		resp.Body.Close()
	}
	s.await(d, "the worker refuses connections", func() bool { return !acceptsConnections(control) })
}

// acceptsConnections reports whether a TCP connection to addr can be opened.
func acceptsConnections(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Guards against a worker that fails everything or refuses connections and thereby
// keeps tasks from succeeding, and against requests that run twice because of it.
func TestBrokenWorkersAreAvoided(t *testing.T) {
	s := newSite(t, 3)
	var failing, refusing string
	for _, addr := range s.workers[0].control {
		failing = addr
	}
	for _, addr := range s.workers[1].control {
		refusing = addr
	}
	s.setFaults(failing, fake.WorkerFaults{FailEverything: true})
	stop := s.steadyLoad()
	for range 4 {
		s.submitJob(6, 500*time.Millisecond)
	}
	s.refuseConnections(refusing, refuseTime)
	for range 4 {
		s.submitJob(6, 500*time.Millisecond)
	}
	s.awaitJobs(taskLease + startBound)
	stop()
	s.await(refuseTime+slack, "the worker accepts connections again", func() bool { return acceptsConnections(refusing) })
	s.check()
}

// Guards against an answer that was cut off and is passed on as complete, and
// against an order that runs again after such an answer.
func TestBrokenAnswers(t *testing.T) {
	s := newSite(t, 3)
	for _, fail := range []string{fake.FailBreak, fake.FailDrop} {
		for _, size := range []int{0, 300_000} {
			for _, e := range s.liveEntries() {
				q := s.quote().through(e)
				q.fail, q.size = fail, size
				a := s.send(q)
				require.False(t, a.complete(), "%s", a)
				require.NotEqual(t, sched.NotRun, a.outcome, "%s", a)
				o := s.order()
				o.fail, o.size = fail, size
				a = s.send(o.through(e))
				require.False(t, a.complete(), "%s", a)
				require.NotEqual(t, sched.NotRun, a.outcome, "%s", a)
				s.await(slack, "the first call of the order is reported as unknown", func() bool {
					a = s.send(o)
					require.Equal(t, sched.Unknown, a.outcome, "%s", a)
					return a.reason == sched.ReasonFirstCallUnknown
				})
				require.Equal(t, 1, s.startCount(o.key))
			}
		}
	}
	s.check()
}

// Guards against a request that a target refused and that is not reported as
// NotRun, and against its key staying in use.
func TestRefusalsOfTargets(t *testing.T) {
	s := newSite(t, 3)
	for _, e := range s.liveEntries() {
		o := s.order().through(e)
		refused := o
		refused.fail = fake.FailRefuse
		a := s.send(refused)
		require.Equal(t, sched.NotRun, a.outcome, "%s", a)
		require.Zero(t, s.startCount(o.key))
		s.await(slack, "the order runs with the same key", func() bool { return s.send(o).complete() })
		requireRan(t, o, s.send(o))
		require.Equal(t, 1, s.startCount(o.key))
	}
	s.awaitServed(slack)
	s.check()
}
