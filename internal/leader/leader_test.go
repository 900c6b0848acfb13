package leader_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/leader"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// workers is a fake of [sched.Orders]. It applies orders at once, and every run
// succeeds after runTime.
type workers struct {
	mu      sync.Mutex
	runTime time.Duration
	fence   uint64
	seq     uint64
	runs    map[sched.Run]time.Time
	ends    []sched.RunEnd
	// starts counts the starts of each task, and started holds the runs that
	// were started, because a repeated order starts nothing.
	starts  map[sched.RunTask]int
	started map[sched.Run]bool
	// startedAt holds when the runs were started.
	startedAt map[sched.Run]time.Time
	fenced    int
	// startsWithoutTicket counts start orders of the advised queue that lack the
	// ticket.
	startsWithoutTicket int
	// answerDelay is the delay of every answer.
	answerDelay time.Duration
}

func newWorkers(runTime time.Duration) *workers {
	return &workers{runTime: runTime, runs: map[sched.Run]time.Time{}, starts: map[sched.RunTask]int{}, started: map[sched.Run]bool{},
		startedAt: map[sched.Run]time.Time{}}
}

// delayAnswer waits for the delay of an answer.
func (w *workers) delayAnswer(ctx context.Context) error {
	w.mu.Lock()
	delay := w.answerDelay
	w.mu.Unlock()
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", sched.ErrLost, ctx.Err())
	}
}

// endFinishedRuns ends the runs that have lasted for runTime.
func (w *workers) endFinishedRuns() {
	for r, at := range w.runs {
		if time.Since(at) >= w.runTime {
			delete(w.runs, r)
			w.seq++
			w.ends = append(w.ends, sched.RunEnd{Seq: w.seq, Run: r, How: sched.EndDone})
		}
	}
}

// isFenced reports whether a newer fencing token was seen. Otherwise it records
// the token.
func (w *workers) isFenced(fence uint64) bool {
	if fence < w.fence {
		w.fenced++
		return true
	}
	w.fence = fence
	return false
}

func (w *workers) reply(refusal sched.OrderRefusal) sched.OrderReply {
	return sched.OrderReply{Refusal: refusal, Clock: time.Second, HasClock: true}
}

func (w *workers) Start(ctx context.Context, _ sched.Member, o sched.StartOrder) (sched.OrderReply, error) {
	reply := w.start(o)
	return reply, w.delayAnswer(ctx)
}

func (w *workers) start(o sched.StartOrder) sched.OrderReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endFinishedRuns()
	if w.isFenced(o.Fence) {
		return w.reply(sched.OrderFenced)
	}
	if w.started[o.Run] {
		return w.reply(sched.OrderAccepted)
	}
	if strings.HasPrefix(string(o.Run.Task.Job), "advised") && o.Ticket != "ticket" {
		w.startsWithoutTicket++
		return w.reply(sched.OrderNoTicket)
	}
	w.started[o.Run] = true
	w.startedAt[o.Run] = time.Now()
	w.starts[o.Run.Task]++
	w.runs[o.Run] = time.Now()
	return w.reply(sched.OrderAccepted)
}

func (w *workers) Stop(ctx context.Context, _ sched.Member, o sched.StopOrder) (sched.OrderReply, error) {
	reply := w.stop(o)
	return reply, w.delayAnswer(ctx)
}

func (w *workers) stop(o sched.StopOrder) sched.OrderReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isFenced(o.Fence) {
		return w.reply(sched.OrderFenced)
	}
	if _, ok := w.runs[o.Run]; ok {
		delete(w.runs, o.Run)
		w.seq++
		w.ends = append(w.ends, sched.RunEnd{Seq: w.seq, Run: o.Run, How: sched.EndStopped})
	}
	return w.reply(sched.OrderAccepted)
}

func (w *workers) Throttle(context.Context, sched.Member, sched.ThrottleOrder) (sched.OrderReply, error) {
	return w.reply(sched.OrderAccepted), nil
}

func (w *workers) Renew(ctx context.Context, _ sched.Member, o sched.RenewOrder) (sched.RenewReport, error) {
	deadline := time.Now().Add(o.Wait)
	for {
		w.mu.Lock()
		w.endFinishedRuns()
		if w.isFenced(o.Fence) {
			w.mu.Unlock()
			return sched.RenewReport{Refusal: sched.OrderFenced, Clock: time.Second}, nil
		}
		for len(w.ends) > 0 && w.ends[0].Seq <= o.Seen {
			w.ends = w.ends[1:]
		}
		if len(w.ends) > 0 || !time.Now().Before(deadline) {
			rep := sched.RenewReport{Clock: time.Second, Born: 1, Ended: append([]sched.RunEnd(nil), w.ends...)}
			for r, at := range w.runs {
				percent := int(100 * time.Since(at) / w.runTime)
				rep.Running = append(rep.Running, sched.RunReport{Run: r, Percent: percent})
			}
			w.mu.Unlock()
			return rep, w.delayAnswer(ctx)
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return sched.RenewReport{}, fmt.Errorf("%w: %w", sched.ErrLost, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// cluster is a store, a worker and the entries that take part in the election.
type cluster struct {
	t       *testing.T
	store   *memory.Store
	workers *workers
	// pool holds further workers. It is nil if there is only one.
	pool    *pool
	adviser *adviser
	entries []*entry
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
	l := leader.New(leader.Settings{
		Name: sched.EntryName(name), Processors: processors, MembersPrefix: membersPrefix, DecodeMembers: c.decodeMembers,
		MachineOptions: []flow.Option{flow.WithWallClock(c.wallMillis)},
	}, client, c.orders(), leader.WithAdviser(c.adviser), leader.WithClock(c.now), leader.WithLogger(slog.New(slog.NewTextHandler(&c.log, nil))), leader.WithReachable(c.reachable), leader.WithAskPeers(c.askPeers), leader.WithAnnouncer(func(v layout.Leader) {
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
			Worker: sched.WorkerName(strings.TrimPrefix(i.Key, membersPrefix)), Service: "S",
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
