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
)

// cancelBound is how long after the acknowledgement of a cancellation tasks of the
// job may still be started.
const cancelBound = 3 * time.Second

// cancel records the cancellation of a job.
func (c *cluster) cancel(id sched.JobID) {
	c.store.Put(layout.CancelKey(id), layout.Encode(time.Now().UnixMilli()))
}

// startsOf returns how many tasks of a job were started after a time.
func (c *cluster) startsOf(id sched.JobID, after time.Time) int {
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	n := 0
	for run, at := range c.workers.startedAt {
		if run.Task.Job == id && at.After(after) {
			n++
		}
	}
	return n
}

// Guards against tasks that are started although a silent watch hides their cancellation.
func TestSilentWatchStartsNoCancelledTask(t *testing.T) {
	// The first step ends after the bound, so a late cancellation starts the second one.
	const runTime = cancelBound + 400*time.Millisecond
	for name, silence := range map[string]time.Duration{
		"one silent connection": time.Millisecond, "silent connections in a row": 2 * runTime,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, runTime)
				defer c.stopAll()
				time.Sleep(time.Second)
				c.submit("1")
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, 2, c.startsOf("1", time.Time{}))
				store := c.leading()[0].client
				store.SetWatchesSilent(true)
				c.cancel("1")
				cancelled := time.Now()
				time.Sleep(silence)
				store.SetWatchesSilent(false)
				time.Sleep(3 * runTime)
				require.Zero(t, c.startsOf("1", cancelled.Add(cancelBound)))
				require.Equal(t, sched.JobCancelled, c.state("1"))
			})
		})
	}
}

// Guards against tasks that start because a watch delivers a job before its cancellation.
func TestJobAndCancellationArriveTogether(t *testing.T) {
	faults := map[string]func(c *memory.Client, active bool){
		"silent connection": (*memory.Client).SetWatchesSilent, "cut off from the store": (*memory.Client).SetCut,
	}
	for name, setFault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, time.Second)
				defer c.stopAll()
				time.Sleep(time.Second)
				setFault(c.leading()[0].client, true)
				c.submit("1")
				c.cancel("1")
				time.Sleep(500 * time.Millisecond)
				setFault(c.leading()[0].client, false)
				time.Sleep(10 * time.Second)
				require.NotContains(t, c.log.String(), "start ordered")
				require.Equal(t, sched.JobCancelled, c.state("1"))
			})
		})
	}
}

// Guards against the same with an answer that is recent.
func TestRecentAnswerBringsJobAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.leading()[0].client.SetDelay(100 * time.Millisecond)
		time.Sleep(time.Second)
		c.submit("1")
		c.cancel("1")
		time.Sleep(2 * time.Second)
		require.NotContains(t, c.log.String(), "start ordered")
		require.Equal(t, sched.JobCancelled, c.state("1"))
	})
}

// Guards against tasks that a leader without the store starts while others record cancellations.
func TestCutOffLeaderStartsNoCancelledTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The first steps end after the bound, before the weak entry leads.
		const runTime = cancelBound + 200*time.Millisecond
		c := newCluster(t, 0, runTime)
		defer c.stopAll()
		strong := c.addEntryWith("strong", 1)
		time.Sleep(time.Second)
		c.addEntryWith("weak", 0.2)
		time.Sleep(time.Second)
		require.Equal(t, strong, c.leading()[0])
		jobs := []sched.JobID{"1", "2", "3", "4", "5"}
		for _, id := range jobs {
			c.submit(id)
			time.Sleep(50 * time.Millisecond)
		}
		strong.client.SetCut(true)
		cancelled := time.Now()
		for _, id := range jobs {
			c.cancel(id)
		}
		time.Sleep(3 * runTime)
		for _, id := range jobs {
			require.Zero(t, c.startsOf(id, cancelled.Add(cancelBound)))
		}
	})
}

// Guards against start orders that wait for a slot until long after their job was cancelled.
func TestStartWaitsUntilItsJobIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Minute)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.workers.mu.Lock()
		c.workers.answerDelay = 1200 * time.Millisecond
		c.workers.mu.Unlock()
		w := &sched.Workflow{ID: "1", Queue: "Q", Steps: []sched.StepSpec{{Count: 100, Resources: sched.Resources{CPU: 10}}}}
		c.store.Put(layout.JobKey("1"), layout.Encode(layout.Job{Workflow: w, Accepted: time.Now().UnixMilli()}))
		time.Sleep(200 * time.Millisecond)
		c.cancel("1")
		cancelled := time.Now()
		time.Sleep(20 * time.Second)
		require.Zero(t, c.startsOf("1", cancelled.Add(cancelBound)))
	})
}

// Guards against tasks that a leader starts on old work as it resumes after a suspension.
func TestSuspendedLeaderStartsNoCancelledTask(t *testing.T) {
	const suspension = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2*time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.submit("1")
		time.Sleep(1900 * time.Millisecond)
		store := c.leading()[0].client
		// The workers answer before the store does.
		store.SetDelay(250 * time.Millisecond)
		store.SetWatchesSilent(true)
		c.cancel("1")
		c.suspended.Store(int64(suspension))
		resumed := time.Now()
		store.SetWatchesSilent(false)
		time.Sleep(5 * time.Second)
		require.Zero(t, c.startsOf("1", resumed))
		require.Equal(t, sched.JobCancelled, c.state("1"))
	})
}

// Guards against tasks that wait for the end of an outage of the store.
func TestTasksStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime = 3 * time.Second
		c := newCluster(t, 2, runTime)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.submit("1")
		time.Sleep(100 * time.Millisecond)
		c.store.SetDown(true)
		down := time.Now()
		time.Sleep(runTime + 500*time.Millisecond)
		require.Positive(t, c.startsOf("1", down.Add(cancelBound/2)))
	})
}

// Guards against an answer that was sent before a suspension and counts as recent afterwards.
func TestOldAnswerOfAWatchIsNotRecent(t *testing.T) {
	for phase := range 12 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1, 2*time.Second)
			defer c.stopAll()
			time.Sleep(time.Second)
			c.submit("1")
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, 2, c.startsOf("1", time.Time{}))
			// The register of workers is read again before the old answer arrives.
			c.leading()[0].client.SetAnswerDelay(layout.WorkPrefix, time.Second)
			time.Sleep(1400*time.Millisecond + time.Duration(phase)*50*time.Millisecond)
			c.cancel("1")
			c.suspended.Store(int64(5 * time.Second))
			resumed := time.Now()
			time.Sleep(5 * time.Second)
			require.Zero(t, c.startsOf("1", resumed))
		})
	}
}

// Guards against a new leader that takes a slow read of the work for a recent one.
func TestSlowLoadStartsNoCancelledTask(t *testing.T) {
	const answerDelay = 4 * time.Second
	for phase := range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 0, time.Minute)
			defer c.stopAll()
			c.submit("1")
			c.addEntry("a").client.SetAnswerDelay(layout.WorkPrefix, answerDelay)
			// The answer of the read of the work is formed within the phases.
			time.Sleep(time.Duration(phase) * 50 * time.Millisecond)
			c.cancel("1")
			cancelled := time.Now()
			time.Sleep(30 * time.Second)
			require.Zero(t, c.startsOf("1", cancelled.Add(cancelBound)))
		})
	}
}

// Guards against waits of the watch that add to the delay of its answers.
func TestOverdueWatchDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.leading()[0].client.SetAnswerDelay(layout.WorkPrefix, 500*time.Millisecond)
		time.Sleep(10 * time.Second)
		require.NotContains(t, c.log.String(), "current=false")
	})
}

// Guards against a slow store that keeps the leader from starting tasks.
func TestSlowStoreDoesNotHoldStarts(t *testing.T) {
	for _, delay := range []time.Duration{250 * time.Millisecond, 380 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, 300*time.Millisecond)
				defer c.stopAll()
				time.Sleep(time.Second)
				c.leading()[0].client.SetDelay(delay)
				for i := range 10 {
					c.submit(sched.JobID(fmt.Sprint(i)))
					time.Sleep(time.Second)
				}
				time.Sleep(10 * time.Second)
				require.NotContains(t, c.log.String(), "current=false")
			})
		})
	}
}

// Guards against a leader that keeps its lease and starts nothing because its reads get no answer.
func TestLeaderThatCannotReadResigns(t *testing.T) {
	silence := map[string]func(c *memory.Client){
		"watches":  func(c *memory.Client) { c.SetWatchesSilent(true) },
		"register": func(c *memory.Client) { c.SetReadsSilent(membersPrefix) },
		"work": func(c *memory.Client) {
			c.SetWatchesSilent(true)
			c.SetReadsSilent(layout.WorkPrefix)
		},
	}
	for name, silence := range silence {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, time.Second)
				defer c.stopAll()
				time.Sleep(time.Second)
				silence(c.leading()[0].client)
				time.Sleep(3 * time.Second)
				c.submit("1")
				c.requireDone("1", 30*time.Second)
			})
		})
	}
}

// Guards against an entry that gives up its term because it cannot read, and wins the next one.
func TestEntryThatCannotReadDoesNotLeadNext(t *testing.T) {
	for range 8 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 3, time.Second)
			defer c.stopAll()
			time.Sleep(time.Second)
			store := c.leading()[0].client
			store.SetWatchesSilent(true)
			store.SetReadsSilent(layout.WorkPrefix)
			time.Sleep(3 * time.Second)
			c.submit("1")
			c.requireDone("1", 12*time.Second)
		})
	}
}

// Guards against a new leader that keeps its lease although it cannot load the stored state.
func TestLeaderThatCannotLoadResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, time.Second)
		defer c.stopAll()
		c.addEntry("a").client.SetReadsSilent(membersPrefix)
		time.Sleep(time.Second)
		c.addEntry("b")
		c.submit("1")
		c.requireDone("1", time.Minute)
	})
}

// Guards against leaders that give up loading a long list, one after the other, although
// each of its pages arrives.
func TestLongLoadIsNotGivenUp(t *testing.T) {
	for _, load := range []time.Duration{14 * time.Second, 16 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 0, time.Second)
			defer c.stopAll()
			c.submit("1")
			client := c.addEntry("a").client
			client.SetAnswerDelay(layout.WorkPrefix, load)
			time.Sleep(time.Second)
			client.SetAnswerDelay("", 0) // Only the read in progress is long.
			c.requireDone("1", load+5*time.Second)
			require.False(t, strings.Contains(c.log.String(), "term is given up"), "load of %s", load)
		})
	}
}

// Guards against a leader that resigns after an outage because it reads later than it renews its lease.
func TestLeaderStaysAfterOutage(t *testing.T) {
	for step := range 40 {
		outage := 4*time.Second + time.Duration(step)*113*time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1, time.Second)
			defer c.stopAll()
			time.Sleep(time.Second)
			c.store.SetDown(true)
			time.Sleep(outage)
			c.store.SetDown(false)
			time.Sleep(10 * time.Second)
			require.False(t, strings.Contains(c.log.String(), "term is given up"), "outage of %s", outage)
		})
	}
}

// Guards against tasks that are started on workers that may drain since the register was read.
func TestOldRegisterStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		store := c.leading()[0].client
		store.SetReadsSilent(membersPrefix)
		time.Sleep(2 * time.Second)
		c.submit("1")
		time.Sleep(2 * time.Second)
		require.Zero(t, c.startsOf("1", time.Time{}))
		store.SetReadsSilent("")
		c.requireDone("1", 6*time.Second)
	})
}
