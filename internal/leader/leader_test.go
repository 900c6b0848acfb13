package leader_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Guards against two leaders in the absence of faults, and against a job that is
// not run.
func TestOneLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		require.Len(t, c.leading(), 1)
		c.submit("1")
		c.requireDone("1", 5*time.Second)
	})
}

// Guards against starts of an advised queue without a ticket, and against a job
// that is given up because the adviser was down for a while.
func TestAdvisedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, time.Second)
		defer c.stopAll()
		c.adviser.down.Store(true)
		time.Sleep(time.Second)
		c.submitTo("A", "advised")
		time.Sleep(2 * time.Second)
		require.Equal(t, sched.JobQueued, c.state("advised"))
		c.adviser.down.Store(false)
		c.requireDone("advised", 5*time.Second)
		require.Zero(t, c.workers.startsWithoutTicket)
	})
}

// Guards against runs that end with the leader's process, or that the next leader
// starts again although they still run.
func TestLeaderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 6*time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.submit("1")
		time.Sleep(time.Second)
		c.leading()[0].stop()
		time.Sleep(2500 * time.Millisecond)
		require.Len(t, c.leading(), 1)
		c.requireDone("1", 20*time.Second)
	})
}

// Guards against a cancelled job that a new leader runs again.
func TestCancelledJobStaysCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 20*time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.submit("1")
		time.Sleep(time.Second)
		c.store.Put(layout.CancelKey("1"), layout.Encode(1))
		time.Sleep(time.Second)
		require.Equal(t, sched.JobCancelled, c.state("1"))
		first := len(c.workers.started)
		c.leading()[0].stop()
		time.Sleep(4 * time.Second)
		require.Len(t, c.leading(), 1)
		require.Equal(t, sched.JobCancelled, c.state("1"))
		require.Len(t, c.workers.started, first)
	})
}

// Guards against a leader that continues beside its successor after its key was
// removed. No call of the old leader fails because of the removal.
func TestKeyIsTakenAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		before := c.leading()[0].Current().Term
		c.store.Remove(layout.LeaderKey)
		time.Sleep(3 * time.Second)
		require.Len(t, c.leading(), 1)
		require.Greater(t, c.leading()[0].Current().Term, before)
		c.submit("1")
		c.requireDone("1", 5*time.Second)
	})
}

// Guards against runs that stop while the store is down, and against a needless
// change of leader during the outage.
func TestStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 8*time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.submit("1")
		time.Sleep(time.Second)
		c.store.SetDown(true)
		time.Sleep(6 * time.Second)
		require.Len(t, c.leading(), 1, "the leader continues because its workers answer")
		c.store.SetDown(false)
		c.requireDone("1", 30*time.Second)
	})
}

// Guards against a leader that cannot reach the store and that no entry replaces.
func TestLeaderIsCutOffFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		old := c.leading()[0]
		old.client.SetCut(true)
		time.Sleep(4 * time.Second)
		require.Len(t, c.leading(), 1)
		require.NotSame(t, old, c.leading()[0])
		c.submit("1")
		c.requireDone("1", 5*time.Second)
	})
}

// Guards against a leader whose machine was suspended and that still relies on the
// last confirmation of its term, because its monotonic clock stood still.
func TestSuspendedLeaderIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 20*time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		l := c.leading()[0]
		c.submit("1")
		time.Sleep(time.Second)
		_, known, confirmed := l.State("1")
		require.True(t, known && confirmed)
		l.client.SetCut(true)
		c.suspended.Store(int64(10 * time.Second))
		_, _, confirmed = l.State("1")
		require.False(t, confirmed)
		l.client.SetCut(false)
		time.Sleep(2 * time.Second)
		_, _, confirmed = l.State("1")
		require.True(t, confirmed)
	})
}

// Guards against an entry that stops and logs that it lost the store, which would
// mislead whoever looks for an outage.
func TestStopLosesNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, time.Second)
		time.Sleep(2 * time.Second)
		c.stopAll()
		require.Contains(t, c.log.String(), "term begins")
		require.NotContains(t, c.log.String(), "store lost")
	})
}

// Guards against a process that ends because a loop of its leader panics, and
// against an entry that does not lead any more afterwards.
func TestPanicEndsTheTermOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		before := c.leading()[0].Current().Term
		c.submit("1")
		c.decodePanics.Store(1)
		time.Sleep(4 * time.Second)
		require.Len(t, c.leading(), 1)
		require.Greater(t, c.leading()[0].Current().Term, before)
		c.requireDone("1", 5*time.Second)
	})
}

// Guards against a job that makes each leader panic and so keeps all other jobs
// from running.
func TestJobThatPanicsIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.clockPanics.Store(2)
		c.submit("bad")
		time.Sleep(6 * time.Second)
		c.submit("good")
		c.requireDone("good", 5*time.Second)
		_, known, leads := c.leading()[0].State("bad")
		require.True(t, leads)
		require.False(t, known)
	})
}

// Guards against a stored job that cannot be run and that makes a leader panic or
// hides the other jobs.
func TestDamagedJobIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		c.store.Put(layout.JobKey("text"), []byte("no job"))
		c.store.Put(layout.JobKey("none"), layout.Encode(layout.Job{}))
		for id, steps := range map[sched.JobID][]sched.StepSpec{
			"cycle":    {{Count: 1, After: []int{0}}},
			"unknown":  {{Count: 1}, {Count: 1, After: []int{7}}},
			"negative": {{Count: -1}},
			"endless":  {{Count: 1 << 40}},
			"empty":    nil,
		} {
			w := &sched.Workflow{ID: id, Queue: "Q", Steps: steps}
			c.store.Put(layout.JobKey(id), layout.Encode(layout.Job{Workflow: w}))
		}
		other := &sched.Workflow{ID: "other", Queue: "Q", Steps: []sched.StepSpec{{Count: 1}}}
		c.store.Put(layout.JobKey("renamed"), layout.Encode(layout.Job{Workflow: other}))
		c.submit("good")
		c.requireDone("good", 5*time.Second)
		require.EqualValues(t, 1, c.leading()[0].Current().Term)
		require.Len(t, c.workers.starts, 3, "the tasks of the good job")
	})
}

// Guards against a job that starts over, although it may have ended, because the store's
// answer with its progress could not be read.
func TestJobWithoutReadableProgressIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, time.Second)
		defer c.stopAll()
		c.submit("1")
		c.store.Put(layout.Root+flow.KeyProgress+"1", nil)
		c.submit("2")
		c.addEntry("a")
		c.requireDone("2", 5*time.Second)
		require.Len(t, c.workers.starts, 3, "the tasks of the other job")
		require.Contains(t, c.log.String(), "the progress could not be read")
	})
}

// Guards against invalid items in the register that hide the workers, or that are logged
// at each read.
func TestInvalidMembersAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		for i := range 1000 {
			c.store.Put(fmt.Sprintf("%sodd%d", membersPrefix, i), nil)
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, 101, strings.Count(c.log.String(), "register of workers"))
		c.submit("1")
		c.requireDone("1", 5*time.Second)
	})
}

// Guards against a graceful shutdown after which the deployment has no leader
// until the lease expires.
func TestResign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		old := c.leading()[0]
		old.Resign(t.Context())
		time.Sleep(300 * time.Millisecond)
		require.Len(t, c.leading(), 1)
		require.NotSame(t, old, c.leading()[0])
	})
}

// Guards against an entry that does not lead although it won: the store applied
// its campaign, but the answer was lost.
func TestCampaignAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.LoseNext(1)
		c := &cluster{t: t, store: store, workers: newWorkers(time.Second)}
		c.store.Put(membersPrefix+"w1", nil)
		c.addEntry("a")
		defer c.stopAll()
		time.Sleep(time.Second)
		require.Len(t, c.leading(), 1)
	})
}

// Guards against a loop of calls without a pause after the store dropped the
// history from which watches continue.
func TestHistoryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.store.Compact()
		before := c.store.Calls()
		time.Sleep(10 * time.Second)
		perSecond := (c.store.Calls() - before) / 10
		require.Less(t, perSecond, 15)
		c.submit("1")
		c.requireDone("1", 5*time.Second)
	})
}

// Guards against a job that has ended and runs again because the history was dropped.
func TestEndedJobStaysEndedWhenHistoryIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.submit("1")
		c.requireDone("1", 5*time.Second)
		time.Sleep(11 * time.Minute)
		c.leading()[0].client.SetCut(true)
		c.submit("2")
		c.store.Compact()
		c.leading()[0].client.SetCut(false)
		c.requireDone("2", 10*time.Second)
	})
}

// Guards against a leader that abandons every order because answers take longer
// than a fixed timeout, as they do when it is short of processor time. Such a
// leader repeated orders until the leases of healthy workers expired, and then
// started completed tasks again.
func TestAnswersAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		c.workers.mu.Lock()
		c.workers.answerDelay = 700 * time.Millisecond
		c.workers.mu.Unlock()
		time.Sleep(5 * time.Second)
		c.submit("1")
		c.requireDone("1", 15*time.Second)
	})
}
