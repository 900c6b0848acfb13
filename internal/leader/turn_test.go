package leader_test

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
)

// restart stops an entry as planned and starts it again after a while.
func (c *cluster) restart(name string, away time.Duration) {
	c.t.Helper()
	for _, e := range c.entries {
		if string(e.Name) == name {
			e.Resign(c.t.Context())
			e.stop()
			<-e.done
		}
	}
	c.store.Remove(layout.EntryPrefix + name)
	time.Sleep(away)
	c.addEntry(name)
}

// requireTerm asserts the number of the term of the only leader.
func (c *cluster) requireTerm(n uint64) {
	c.t.Helper()
	leading := c.leading()
	require.Len(c.t, leading, 1)
	require.Equal(c.t, n, leading[0].Current().Term)
}

// Guards against a planned restart of all entries in which each next leader is the next
// to be restarted, so that the leader changes again and again.
func TestRestartedEntryLeadsNext(t *testing.T) {
	for _, order := range []string{"fabcde", "fedcba", "fcadbe", "fbedac"} {
		t.Run(order, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 0, time.Second)
				defer c.stopAll()
				c.addEntry("f")
				time.Sleep(time.Second)
				c.requireLeader("f")
				for _, name := range "abcde" {
					c.addEntry(string(name))
				}
				time.Sleep(time.Second)
				for _, name := range order[1:3] {
					c.restart(string(name), time.Second)
					time.Sleep(time.Second)
				}
				c.restart(order[:1], time.Second)
				time.Sleep(time.Second)
				c.requireLeader(order[2:3])
				for _, name := range order[3:] {
					c.restart(string(name), time.Second)
					time.Sleep(time.Second)
				}
				c.requireTerm(2)
			})
		})
	}
}

// Guards against a longer time without a leader because the entry that should campaign
// first, and those after it, do not run any more.
func TestEntriesThatAreGoneDelayNoCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, time.Second)
		defer c.stopAll()
		first := c.addEntry("a")
		time.Sleep(time.Second)
		c.addEntry("b")
		for i := range 20 {
			e := c.addEntry(fmt.Sprintf("gone%d", i))
			e.stop()
			<-e.done
		}
		time.Sleep(time.Second)
		first.Resign(t.Context())
		time.Sleep(250 * time.Millisecond)
		c.requireLeader("b")
	})
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

// Guards against entries that all wait as weak ones because a record in the list claims
// more processor time than any machine has.
func TestImpossibleEntryDelaysNoCampaign(t *testing.T) {
	for name, processors := range map[string]float64{"infinite": math.Inf(1), "too large": 1e300, "no number": math.NaN()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 0, time.Second)
				defer c.stopAll()
				first := c.addEntry("a")
				time.Sleep(time.Second)
				c.addEntry("b")
				c.store.Put(layout.EntryPrefix+"odd", layout.Encode(layout.Entry{
					Name: "odd", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Processors: processors,
				}))
				time.Sleep(time.Second)
				first.Resign(t.Context())
				time.Sleep(250 * time.Millisecond)
				c.requireLeader("b")
			})
		})
	}
}
