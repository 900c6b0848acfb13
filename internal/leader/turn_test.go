package leader_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// requireTerm asserts the number of the term of the only leader.
func (c *cluster) requireTerm(n uint64) {
	c.t.Helper()
	leading := c.leading()
	require.Len(c.t, leading, 1)
	require.Equal(c.t, n, leading[0].Current().Term)
}

// Guards against a campaign of every entry after each change of the leader, although a
// leader is long known. Each of them costs a write.
func TestEntriesThatKnowTheNextLeaderDoNotCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, time.Second)
		defer c.stopAll()
		first := c.addEntry("first")
		time.Sleep(time.Second)
		for i := range 10 {
			c.addEntryWith(fmt.Sprintf("weak%d", i), 0.3)
		}
		c.addEntry("strong")
		time.Sleep(time.Second)
		first.Resign(t.Context())
		time.Sleep(10 * time.Second)
		require.Zero(t, strings.Count(c.log.String(), "campaign failed"))
		c.requireTerm(2)
		c.requireLeader("strong")
	})
}

// Guards against a stopping entry that begins a term because its turn to campaign comes
// after its planned stop has begun.
func TestStoppingEntryDoesNotCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, time.Second)
		defer c.stopAll()
		first := c.addEntry("first")
		time.Sleep(time.Second)
		weak := c.addEntryWith("weak", 0.3)
		time.Sleep(time.Second)
		first.stop()
		<-first.done
		time.Sleep(2 * time.Second) // The key of the leader is gone, and the weak entry waits.
		weak.Resign(context.WithoutCancel(t.Context()))
		time.Sleep(5 * time.Second)
		require.Empty(t, c.leading())
	})
}
