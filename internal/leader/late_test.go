package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// requireOneLists asserts that exactly one entry knows the late jobs, and that it lists
// only the given one.
func requireOneLists(t *testing.T, c *cluster, id sched.JobID) {
	t.Helper()
	lists := 0
	for _, e := range c.entries {
		list, known, leads := e.LateJobs("", 5)
		require.Equal(t, known, leads)
		if known {
			lists++
			require.Len(t, list.Jobs, 1)
			require.Equal(t, id, list.Jobs[0].Job)
		}
	}
	require.Equal(t, 1, lists)
}

// Guards against an entry that shows an empty list while it does not lead, and against a
// new leader that does not find a late job again.
func TestLateJobsAcrossLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 30*time.Second)
		defer c.stopAll()
		for _, e := range c.entries {
			e.SetFleet(&sched.FleetConfig{
				Revision: 2, Queues: map[sched.QueueName]sched.Queue{"Q": {Name: "Q", Service: "S", Target: time.Second}},
				Pools: map[sched.ServiceName]sched.Pool{"S": {Name: "S", Guards: true}},
			})
		}
		_, known, leads := c.entries[0].LateJobs("", 5)
		require.False(t, known || leads, "nobody leads yet")
		time.Sleep(time.Second)
		c.submit("1")
		time.Sleep(3 * time.Second)
		requireOneLists(t, c, "1")
		c.leading()[0].stop()
		time.Sleep(100 * time.Millisecond)
		for _, e := range c.entries {
			_, known, _ := e.LateJobs("", 5)
			require.False(t, known)
		}
		time.Sleep(4 * time.Second)
		requireOneLists(t, c, "1")
	})
}
