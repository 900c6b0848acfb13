package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
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

func TestSilentWatchStartsNoCancelledTask(t *testing.T) {
	// The first step ends after the bound, so a late cancellation starts the second one.
	const runTime = cancelBound + 400*time.Millisecond
	for name, silences := range map[string]int{"one silent connection": 1, "silent connections in a row": 60} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, runTime)
				defer c.stopAll()
				time.Sleep(time.Second)
				c.submit("1")
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, 2, c.startsOf("1", time.Time{}))
				c.leading()[0].client.SilenceWatches()
				c.cancel("1")
				cancelled := time.Now()
				for range silences - 1 {
					time.Sleep(100 * time.Millisecond)
					c.leading()[0].client.SilenceWatches()
				}
				time.Sleep(3 * runTime)
				require.Zero(t, c.startsOf("1", cancelled.Add(cancelBound)))
				require.Equal(t, sched.JobCancelled, c.state("1"))
			})
		})
	}
}

// Guards against tasks that start because a watch delivers a job before its cancellation.
func TestJobAndCancellationArriveTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		c.leading()[0].client.SilenceWatches()
		c.submit("1")
		c.cancel("1")
		time.Sleep(10 * time.Second)
		require.Zero(t, c.startsOf("1", time.Time{}))
		require.Equal(t, sched.JobCancelled, c.state("1"))
	})
}
