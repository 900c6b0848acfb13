package leader_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// drains is the value of a worker that drains in the register.
const drains = "drains"

// pool is a fake of [sched.Orders] with several workers. A worker that is not in it
// does not answer.
type pool struct {
	mu      sync.Mutex
	workers map[sched.WorkerName]*workers
}

func (p *pool) worker(ctx context.Context, m sched.Member) (*workers, error) {
	p.mu.Lock()
	w := p.workers[m.Worker]
	p.mu.Unlock()
	if w != nil {
		return w, nil
	}
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", sched.ErrLost, ctx.Err())
}

func (p *pool) Start(ctx context.Context, m sched.Member, o sched.StartOrder) (sched.OrderReply, error) {
	w, err := p.worker(ctx, m)
	if err != nil {
		return sched.OrderReply{}, err
	}
	return w.Start(ctx, m, o)
}

func (p *pool) Stop(ctx context.Context, m sched.Member, o sched.StopOrder) (sched.OrderReply, error) {
	w, err := p.worker(ctx, m)
	if err != nil {
		return sched.OrderReply{}, err
	}
	return w.Stop(ctx, m, o)
}

func (p *pool) Throttle(ctx context.Context, m sched.Member, o sched.ThrottleOrder) (sched.OrderReply, error) {
	w, err := p.worker(ctx, m)
	if err != nil {
		return sched.OrderReply{}, err
	}
	return w.Throttle(ctx, m, o)
}

func (p *pool) Renew(ctx context.Context, m sched.Member, o sched.RenewOrder) (sched.RenewReport, error) {
	w, err := p.worker(ctx, m)
	if err != nil {
		return sched.RenewReport{}, err
	}
	return w.Renew(ctx, m, o)
}

// orders returns the workers of the cluster.
func (c *cluster) orders() sched.Orders {
	if c.pool != nil {
		return c.pool
	}
	return c.workers
}

// join adds a worker whose runs do not end by themselves.
func (c *cluster) join(name string) {
	c.pool.mu.Lock()
	c.pool.workers[sched.WorkerName(name)] = newWorkers(time.Hour)
	c.pool.mu.Unlock()
	c.store.Put(membersPrefix+name, nil)
}

// silence makes a worker not answer any more and ends its runs. It stays in the
// register.
func (c *cluster) silence(name string) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	delete(c.pool.workers, sched.WorkerName(name))
}

// leave makes a worker drain and leave a second later.
func (c *cluster) leave(name string) {
	c.store.Put(membersPrefix+name, []byte(drains))
	time.AfterFunc(time.Second, func() {
		c.store.Remove(membersPrefix + name)
		c.silence(name)
	})
}

// running returns how many runs each task has.
func (p *pool) running() map[sched.RunTask]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[sched.RunTask]int{}
	for _, w := range p.workers {
		w.mu.Lock()
		for r := range w.runs {
			out[r.Task]++
		}
		w.mu.Unlock()
	}
	return out
}

// longestWait observes the tasks of a job with one step for a time. It returns the
// longest time for which one of them did not run, and asserts that none runs twice.
func (c *cluster) longestWait(id sched.JobID, tasks int, d time.Duration) time.Duration {
	c.t.Helper()
	longest := time.Duration(0)
	ran := make([]time.Time, tasks)
	for i := range ran {
		ran[i] = time.Now()
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		running := c.pool.running()
		for i := range ran {
			n := running[sched.RunTask{Job: id, Index: i}]
			require.LessOrEqual(c.t, n, 1, "runs of task %d", i)
			if n > 0 {
				ran[i] = time.Now()
			}
			longest = max(longest, time.Since(ran[i]))
		}
	}
	return longest
}

// newPool returns a cluster of some entries and workers with a job of perpetual tasks.
func newPool(t *testing.T, entries, size, tasks int) *cluster {
	c := newCluster(t, 0, time.Hour)
	c.store.Remove(membersPrefix + "w1")
	c.pool = &pool{workers: map[sched.WorkerName]*workers{}}
	for i := range size {
		c.join(fmt.Sprint("w", i))
	}
	for i := range entries {
		c.addEntry(string(rune('a' + i)))
	}
	time.Sleep(time.Second)
	step := sched.StepSpec{Count: tasks, AntiAffinity: 1, Resources: sched.Resources{CPU: 8000}, Perpetual: true}
	w := &sched.Workflow{ID: "lasting", Queue: "Q", Steps: []sched.StepSpec{step}}
	c.store.Put(layout.JobKey("lasting"), layout.Encode(layout.Job{Workflow: w, Accepted: time.Now().UnixMilli()}))
	time.Sleep(time.Second)
	require.Len(t, c.pool.running(), tasks)
	return c
}

// waitBound is how long a perpetual task may wait for its next run.
const waitBound = 6 * time.Second

// Guards against perpetual tasks that wait from one planned stop of a leader to the next
// while workers leave as planned, because each leader begins to find out what runs.
func TestPerpetualTasksRunWhileLeadersResign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPool(t, 8, 10, 8)
		defer c.stopAll()
		c.silence("w9")
		time.Sleep(6 * time.Second)
		go func() {
			for i := range 7 {
				for _, e := range c.leading() {
					e.Resign(t.Context())
				}
				c.join(fmt.Sprint("n", i))
				c.leave(fmt.Sprint("w", i))
				time.Sleep(1500 * time.Millisecond)
			}
		}()
		longest := c.longestWait("lasting", 8, 25*time.Second)
		require.Less(t, longest, waitBound)
		require.Less(t, longest, 2*time.Second, "a task waits for the register and one exchange")
	})
}

// Guards against a leader that is stopped while it loads the stored state and drops what
// its predecessor has handed over.
func TestLeaderThatLoadsPassesOnTheHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPool(t, 4, 6, 4)
		defer c.stopAll()
		c.leading()[0].Resign(t.Context())
		for _, e := range c.entries {
			e.client.SetDelay(60 * time.Millisecond)
		}
		for len(c.loading(2)) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		c.loading(2)[0].Resign(t.Context())
		time.Sleep(3 * time.Second)
		require.Contains(t, c.log.String(), "takeover started\" term=3 workers=6 handedOver=true")
	})
}

// loading returns the entries that have begun a term and not loaded the stored state.
func (c *cluster) loading(term uint64) (out []*entry) {
	for _, e := range c.entries {
		if _, leads := e.Totals(); !leads && e.Current().Name == e.Name && e.Current().Term == term {
			out = append(out, e)
		}
	}
	return out
}

// Guards against a task that starts again although its run goes on, and against tasks
// that wait for ever, if the record of a leader that resigned is not written or its
// answer is lost.
func TestHandoverIsNotWritten(t *testing.T) {
	for name, fail := range map[string]func(c *cluster){
		"answer lost": func(c *cluster) { c.store.LoseNext(1) },
		"cut off":     func(c *cluster) { c.leading()[0].client.SetCut(true) },
		"damaged": func(c *cluster) {
			time.AfterFunc(20*time.Millisecond, func() { c.store.Put(layout.Root+flow.KeyHandover, []byte("no record")) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPool(t, 3, 6, 4)
				defer c.stopAll()
				fail(c)
				old := c.leading()[0]
				old.Resign(t.Context())
				old.client.SetCut(false)
				go func() {
					time.Sleep(2 * time.Second)
					c.join("n")
					for i := range 6 {
						c.leave(fmt.Sprint("w", i))
						c.join(fmt.Sprint("n", i))
					}
				}()
				require.Less(t, c.longestWait("lasting", 4, 20*time.Second), 4*waitBound)
				require.Len(t, c.pool.running(), 4)
				require.NotSame(t, old, c.leading()[0])
			})
		})
	}
}
