package leader_test

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/leader"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// cluster is a store, a worker and the entries that take part in the election.
type cluster struct {
	t       *testing.T
	store   *memory.Store
	workers *workers
	// pool holds further workers. It is nil if there is only one.
	pool    *pool
	adviser *adviser
	entries []*entry
	// evacuable means that the entries read which data centres are evacuated.
	evacuable bool
	// log holds what the entries logged.
	log logBuffer
	// decodePanics and clockPanics are how many more calls of decodeMembers and of
	// the wall clock panic.
	decodePanics, clockPanics atomic.Int64
	// suspended is the time for which the entries were suspended, in
	// nanoseconds. [time.Now] does not include it.
	suspended atomic.Int64
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// now returns the time including suspensions.
func (c *cluster) now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// adviser permits every worker while it is not down.
type adviser struct{ down atomic.Bool }

func (a *adviser) Advise(_ context.Context, o sched.AdviceRequest) (sched.Advice, error) {
	if a.down.Load() {
		return sched.Advice{}, sched.ErrUnavailable
	}
	out := sched.Advice{Tickets: map[sched.WorkerName]string{}, Valid: time.Second}
	for _, w := range o.Workers {
		out.Tickets[w] = "ticket"
	}
	return out, nil
}

type entry struct {
	*leader.Leader
	client *memory.Client
	stop   context.CancelFunc
	done   chan struct{}
}

const membersPrefix = "Members/"

func newCluster(t *testing.T, entries int, runTime time.Duration) *cluster {
	c := &cluster{t: t, store: memory.New(), workers: newWorkers(runTime), adviser: &adviser{}}
	c.store.Put(membersPrefix+"w1", nil)
	for i := range entries {
		c.addEntry(string(rune('a' + i)))
	}
	return c
}

// addEntry starts an entry with one core.
func (c *cluster) addEntry(name string) *entry { return c.addEntryWith(name, 1) }

// addEntryWith starts an entry with some processor time, in cores.
func (c *cluster) addEntryWith(name string, processors float64) *entry {
	client := c.store.Client()
	c.store.Put(layout.EntryPrefix+name, layout.Encode(layout.Entry{
		Name: sched.EntryName(name), Addr: netip.MustParseAddrPort("127.0.0.1:1"), Processors: processors,
	}))
	l := leader.New(c.withEvacuations(leader.Settings{
		Name: sched.EntryName(name), Processors: processors, MembersPrefix: membersPrefix, DecodeMembers: c.decodeMembers,
		MachineOptions: []flow.Option{flow.WithWallClock(c.wallMillis)},
	}), client, c.orders(), leader.WithAdviser(c.adviser), leader.WithClock(c.now), leader.WithLogger(slog.New(slog.NewTextHandler(&c.log, nil))), leader.WithReachable(c.reachable), leader.WithAskPeers(c.askPeers), leader.WithAnnouncer(func(v layout.Leader) {
		for _, e := range c.entries {
			if e.Current().Name != v.Name {
				go e.ObserveLeader(v)
			}
		}
	}))
	l.SetFleet(&sched.FleetConfig{
		Revision: 1,
		Queues: map[sched.QueueName]sched.Queue{
			"Q": {Name: "Q", Service: "S", MaxAttempts: 3},
			"A": {Name: "A", Service: "S", MaxAttempts: 3, Advised: true},
		},
		Pools: map[sched.ServiceName]sched.Pool{"S": {Name: "S", Guards: true}},
	})
	ctx, stop := context.WithCancel(c.t.Context())
	e := &entry{l, client, stop, make(chan struct{})}
	c.entries = append(c.entries, e)
	go func() {
		defer close(e.done)
		_ = l.Run(ctx) // It returns when ctx ends.
	}()
	return e
}

// reachable reports whether an entry runs.
func (c *cluster) reachable(_ context.Context, e layout.Entry) bool {
	for _, x := range c.entries {
		if x.Name == e.Name {
			select {
			case <-x.done:
			default:
				return true
			}
		}
	}
	return false
}

// askPeers reports an answer of the store just now for each entry that it answers.
func (c *cluster) askPeers(ctx context.Context, report func(since time.Duration)) bool {
	for _, e := range c.entries {
		if _, err := e.client.Get(ctx, layout.TermKey); err == nil {
			report(0)
		}
	}
	return true
}

// wallMillis is the wall clock of the state machines. They read it when they get a
// job.
func (c *cluster) wallMillis(time.Time) int64 {
	if c.clockPanics.Add(-1) >= 0 {
		panic("broken clock")
	}
	return time.Now().UnixMilli()
}

func (c *cluster) decodeMembers(items []sched.Item) ([]sched.Member, map[string]error) {
	if c.decodePanics.Add(-1) >= 0 {
		panic("broken decoder")
	}
	var out []sched.Member
	invalid := map[string]error{}
	for _, i := range items {
		if strings.HasPrefix(i.Key, membersPrefix+"odd") {
			invalid[i.Key] = errors.New("no worker")
			continue
		}
		out = append(out, sched.Member{
			Worker: sched.WorkerName(strings.TrimPrefix(i.Key, membersPrefix)), Service: "S", DataCentre: "z",
			Addr: netip.MustParseAddrPort("127.0.0.1:1"), Born: 1,
			Capacity: sched.Resources{CPU: 32000, Memory: 64 << 30},
			Draining: string(i.Value) == drains, DrainLeft: time.Second,
		})
	}
	return out, invalid
}

// stopAll stops all entries.
func (c *cluster) stopAll() {
	for _, e := range c.entries {
		e.stop()
		<-e.done
	}
}

// submit stores a job of two steps.
func (c *cluster) submit(id sched.JobID) { c.submitTo("Q", id) }

func (c *cluster) submitTo(queue sched.QueueName, id sched.JobID) {
	w := &sched.Workflow{ID: id, Queue: queue, Steps: []sched.StepSpec{
		{Count: 2, Resources: sched.Resources{CPU: 1000}}, {Count: 1, Resources: sched.Resources{CPU: 1000}, After: []int{0}},
	}}
	c.store.Put(layout.JobKey(id), layout.Encode(layout.Job{Workflow: w, Accepted: time.Now().UnixMilli()}))
}

// leading returns the entries that lead.
func (c *cluster) leading() []*entry {
	var out []*entry
	for _, e := range c.entries {
		if _, leads := e.Totals(); leads {
			out = append(out, e)
		}
	}
	return out
}

// state returns the state of a job according to the leader.
func (c *cluster) state(id sched.JobID) sched.JobState {
	for _, e := range c.leading() {
		if state, known, _ := e.State(id); known {
			return state
		}
	}
	return sched.JobQueued
}

// requireDone asserts that a job completes within a time and that each task
// started once.
func (c *cluster) requireDone(id sched.JobID, within time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c.state(id) == sched.JobCompleted {
			c.workers.mu.Lock()
			defer c.workers.mu.Unlock()
			for t, n := range c.workers.starts {
				require.Equal(c.t, 1, n, "starts of %v", t)
			}
			return
		}
	}
	c.t.Fatalf("job %s is %s after %s", id, c.state(id), within)
}
