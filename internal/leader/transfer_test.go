package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// requireLeader asserts which entry leads.
func (c *cluster) requireLeader(name string) {
	c.t.Helper()
	leading := c.leading()
	require.Len(c.t, leading, 1)
	require.Equal(c.t, name, string(leading[0].Name))
}

// Guards against the election of an entry with a seventh of the processor time
// of others, and against a deployment without a leader because only weak entries
// are left.
func TestWeakEntriesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, time.Second)
		defer c.stopAll()
		first := c.addEntryWith("strong1", 0.8)
		time.Sleep(500 * time.Millisecond)
		c.requireLeader("strong1")
		for _, name := range []string{"weak1", "weak2", "weak3"} {
			c.addEntryWith(name, 0.11)
		}
		second := c.addEntryWith("strong2", 0.8)
		time.Sleep(500 * time.Millisecond)
		second.client.SetCut(true) // It reaches the store again after the weak entries have seen that no entry leads.
		first.stop()
		time.Sleep(1800 * time.Millisecond)
		second.client.SetCut(false)
		time.Sleep(2 * time.Second)
		c.requireLeader("strong2")
		second.stop()
		time.Sleep(5 * time.Second)
		require.Len(t, c.leading(), 1, "a weak entry leads if no other can")
	})
}

// Guards against a weak entry that continues to lead although a stronger one
// answers, and against runs that are lost or started twice by the transfer.
func TestWeakLeaderTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, 3*time.Second)
		defer c.stopAll()
		c.addEntryWith("weak", 0.11)
		time.Sleep(time.Second)
		c.requireLeader("weak")
		c.submit("1")
		c.addEntryWith("strong", 0.8)
		time.Sleep(6 * time.Second)
		c.requireLeader("strong")
		c.requireDone("1", 10*time.Second)
	})
}
