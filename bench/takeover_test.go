package bench

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// Times of the simulated platform and of the loops that drive the ownership
// machines.
const (
	timeStep          = 5 * time.Millisecond
	storeLatency      = 10 * time.Millisecond
	listPollInterval  = 250 * time.Millisecond
	ownerTickInterval = 100 * time.Millisecond
)

// event is an action that is due at a time.
type event struct {
	at time.Time
	do func()
}

// cluster is a set of ownership machines with a simulated store and an instance
// list that lags behind.
type cluster struct {
	now         time.Time
	value       []byte
	version     sched.Version
	live        map[sched.EntryName]sched.Instance
	listHistory []listSnapshot
	events      []event
	entries     []*entry
	calls       int
}

// listSnapshot is the instance list as it was from a time on.
type listSnapshot struct {
	at   time.Time
	list []sched.Instance
}

type entry struct {
	name sched.EntryName
	m    *owner.Machine
	// phase shifts the list polls and ticks of the entry against those of the
	// others.
	phase   time.Duration
	inbox   []sched.Msg
	crashed bool
}

// newCluster starts n entries over three data centres with two shards each.
func newCluster(n int, seed uint64) *cluster {
	rng := rand.New(rand.NewPCG(seed, seed))
	c := &cluster{now: time.Unix(1_000_000, 0), live: map[sched.EntryName]sched.Instance{}}
	dcs := []sched.DataCentre{"a", "b", "c"}
	for i := range n {
		name := sched.EntryName(fmt.Sprintf("entry-%d", i))
		dc := dcs[i%len(dcs)]
		c.live[name] = sched.Instance{Name: string(name), Role: sched.RoleEntry, State: sched.StateLive, DataCentre: dc, Generation: 1}
		c.entries = append(c.entries, &entry{
			name:  name,
			m:     owner.New(name, fmt.Sprintf("p%d", i), owner.WithDataCentre(dc), owner.WithLayout(dcs, 2), owner.WithSeed(seed+uint64(i))),
			phase: time.Duration(rng.Int64N(int64(listPollInterval/timeStep))) * timeStep,
		})
	}
	c.recordList()
	return c
}

func (c *cluster) recordList() {
	var list []sched.Instance
	for _, in := range c.live {
		list = append(list, in)
	}
	c.listHistory = append(c.listHistory, listSnapshot{c.now, list})
}

func (c *cluster) after(d time.Duration, do func()) {
	c.events = append(c.events, event{c.now.Add(d), do})
}

// run advances the virtual time by d. It returns the longest time that any shard
// had no owner, and the number of time steps in which a shard had more than one.
func (c *cluster) run(d time.Duration) (gap time.Duration, doubleOwned int) {
	unowned := map[sched.ShardID]time.Duration{}
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(timeStep)
		c.deliver()
		owners := map[sched.ShardID]int{}
		for _, e := range c.entries {
			if e.crashed {
				continue
			}
			c.step(e)
			for _, id := range e.m.ServedShards(c.now) {
				owners[id]++
			}
		}
		for _, id := range c.entries[len(c.entries)-1].m.Layout() {
			switch n := owners[id]; {
			case n > 1:
				doubleOwned++
			case n == 0:
				unowned[id] += timeStep
				gap = max(gap, unowned[id])
			default:
				unowned[id] = 0
			}
		}
	}
	return gap, doubleOwned
}

func (c *cluster) deliver() {
	events := c.events
	c.events = nil
	for _, e := range events {
		if e.at.After(c.now) {
			c.events = append(c.events, e)
			continue
		}
		e.do()
	}
}

func (c *cluster) step(e *entry) {
	inbox := e.inbox
	e.inbox = nil
	for _, m := range inbox {
		c.update(e, m)
	}
	since := c.now.Sub(time.Unix(1_000_000, 0)) + e.phase
	if since%listPollInterval == 0 {
		sent := c.now
		c.after(timeStep, func() {
			e.inbox = append(e.inbox, owner.ListReadMsg{SentAt: sent, Instances: c.list()})
		})
	}
	if since%ownerTickInterval == 0 {
		c.update(e, sched.TickMsg{})
	}
}

// list returns the instance list as it is seen by a reader whose copy has the
// maximum lag.
func (c *cluster) list() []sched.Instance {
	seen := c.listHistory[0].list
	for _, v := range c.listHistory {
		if !v.at.After(c.now.Add(-owner.ListLag)) {
			seen = v.list
		}
	}
	return seen
}

func (c *cluster) update(e *entry, msg sched.Msg) {
	for _, cmd := range e.m.Update(c.now, msg) {
		sent := c.now
		switch cmd := cmd.(type) {
		case owner.ReadTableCmd:
			c.calls++
			c.after(storeLatency/2, func() {
				m := owner.TableReadMsg{SentAt: sent, Value: c.value, Version: c.version}
				c.after(storeLatency/2, func() { e.inbox = append(e.inbox, m) })
			})
		case owner.WriteTableCmd:
			c.calls++
			c.after(storeLatency/2, func() {
				m := c.put(cmd)
				c.after(storeLatency/2, func() { e.inbox = append(e.inbox, m) })
			})
		case owner.LostCmd:
			if cmd.Reason == owner.LostHandover {
				e.inbox = append(e.inbox, owner.ReleaseMsg{Shard: cmd.Shard})
			}
		}
	}
}

// put replaces the table if its version matches and sends the change to the
// watches of all entries. The SentAt of a watch message is the time at which the
// watch was opened, here 5 s ago.
func (c *cluster) put(cmd owner.WriteTableCmd) sched.Msg {
	if cmd.Prev != c.version {
		return owner.TableWriteFailedMsg{ID: cmd.ID, Err: sched.ErrConflict}
	}
	c.version++
	c.value = cmd.Value
	changed := owner.TableReadMsg{SentAt: c.now.Add(-5 * time.Second), Value: c.value, Version: c.version}
	for _, e := range c.entries {
		c.after(storeLatency/2, func() { e.inbox = append(e.inbox, changed) })
	}
	return owner.TableWrittenMsg{ID: cmd.ID, Version: c.version}
}

// crash stops an entry at once. Readers of the instance list see this after the
// lag of the list.
func (c *cluster) crash(e *entry) {
	e.crashed = true
	delete(c.live, e.name)
	c.recordList()
}

// BenchmarkTakeover crashes one of six entries. It reports the longest time that
// a shard had no owner (gap-s, target: at most 4) as the worst of five seeds, and
// the number of time steps in which a shard had two owners (double-serving,
// target: 0) as the sum over the seeds.
func BenchmarkTakeover(b *testing.B) {
	var gap time.Duration
	doubleOwned := 0
	for range b.N {
		gap, doubleOwned = 0, 0
		for seed := range uint64(5) {
			c := newCluster(6, seed+1)
			c.run(20 * time.Second)
			c.run(time.Duration(seed) * 37 * time.Millisecond)
			c.crash(c.entries[int(seed)%len(c.entries)])
			g, d := c.run(15 * time.Second)
			gap = max(gap, g)
			doubleOwned += d
		}
	}
	b.ReportMetric(gap.Seconds(), "gap-s")
	b.ReportMetric(float64(doubleOwned), "double-serving")
}
