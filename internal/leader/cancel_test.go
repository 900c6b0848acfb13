package leader_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// cancelUnknown records the cancellation of a job that is not in the store.
func (c *cluster) cancelUnknown(id sched.JobID) {
	c.store.Put(layout.CancelKey(id), layout.Encode(time.Now().UnixMilli()))
}

// cancelRecords returns how many cancellations are in the store.
func (c *cluster) cancelRecords() int {
	items, _, err := c.store.Client().Range(c.t.Context(), layout.WorkPrefix+"Cancels/", false)
	require.NoError(c.t, err)
	return len(items)
}

// Guards against a job that starts because its write took effect after its cancellation:
// under the same leader, and after all entries were killed between the two.
func TestJobAfterItsCancellationNeverStarts(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("killed %t", killed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2, time.Second)
				defer c.stopAll()
				time.Sleep(time.Second)
				c.cancelUnknown("1")
				time.Sleep(time.Second)
				if killed {
					c.stopAll()
					c.addEntry("y")
					c.addEntry("z")
				}
				time.Sleep(4 * time.Second)
				c.submit("1")
				time.Sleep(4 * time.Second)
				require.Equal(t, sched.JobCancelled, c.state("1"))
				require.Empty(t, c.workers.started)
			})
		})
	}
}

// Guards against a cancellation that is removed although its job is stored. The leader
// does not know that job, because its record is damaged, but a later build may read it.
func TestCancellationOfAStoredJobIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		c.store.Put(layout.JobKey("damaged"), []byte("damaged"))
		time.Sleep(time.Second)
		c.cancelUnknown("damaged")
		c.cancelUnknown("unknown")
		time.Sleep(150 * time.Second)
		require.Equal(t, 1, c.cancelRecords())
		_, err := c.store.Client().Get(t.Context(), layout.CancelKey("damaged"))
		require.NoError(t, err)
	})
}

// Guards against cancellations of unknown jobs that stay in the store and in memory for
// ever, and against one that is removed although its job is there.
func TestCancellationsOfUnknownJobsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, time.Second)
		defer c.stopAll()
		time.Sleep(time.Second)
		for i := range 100 {
			c.cancelUnknown(sched.JobID(fmt.Sprint("unknown", i)))
		}
		c.cancelUnknown("known")
		c.submit("known")
		time.Sleep(time.Minute)
		require.Equal(t, 101, c.cancelRecords())
		time.Sleep(70 * time.Second)
		require.Equal(t, 1, c.cancelRecords())
		require.Equal(t, sched.JobCancelled, c.state("known"))
		c.submit("unknown1")
		c.requireDone("unknown1", 5*time.Second)
	})
}
