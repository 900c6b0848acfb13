package trace_test

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/trace"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/commit"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// maxLines limits the length of a transcript, so that it can be reviewed.
const maxLines = 80

var shard = sched.ShardID{DataCentre: "a"}

// requireGolden runs a session twice, requires equal transcripts, and compares
// them with the golden file of the test.
func requireGolden(t *testing.T, session func(*testing.T) *trace.Trace) {
	t.Helper()
	first, second := session(t).Bytes(), session(t).Bytes()
	require.Equal(t, string(first), string(second), "the session is not deterministic")
	require.LessOrEqual(t, strings.Count(string(first), "\n"), maxLines)
	goldie.New(t).Assert(t, t.Name(), first)
}

// newPool returns the pool machine of a shard, with a queue of one request.
func newPool() *pool.Machine { return pool.New(pool.WithSeed(1), pool.WithQueue(1)) }

// servePool gives a pool one worker with one slot and makes it serve.
func servePool(p *trace.Node) {
	p.Send(pool.ConfigMsg{Config: &sched.Config{Revision: 1, Services: []sched.Service{{
		Name: "Quote", State: sched.ServiceStarted, Timeout: time.Second, Slots: 1, Connections: 1,
		SlotResources: sched.Resources{CPU: 1000},
	}}}})
	p.Send(pool.WorkersMsg{Workers: workers("w1")})
	p.Send(pool.AcquiredMsg{Epoch: 1})
}

func workers(names ...string) []sched.Instance {
	var in []sched.Instance
	for _, name := range names {
		in = append(in, sched.Instance{
			Name: name, Role: sched.RoleWorker, State: sched.StateLive, DataCentre: "a", Rack: "r1",
			Data: trace.Address(sched.EntryName(name)), Services: []sched.ServiceName{"Quote"},
			Capacity: sched.Resources{CPU: 4000, Memory: 1000},
		})
	}
	return in
}

// Guards against a run that has no grant of a slot, more than one grant, or no
// release of the slot. It also guards against a request that got no slot and
// whose outcome is not NotRun. The requests have no key.
func TestRequest(t *testing.T) {
	requireGolden(t, func(*testing.T) *trace.Trace {
		tr := trace.New()
		r := tr.Requests("e1", shard, newPool(), dedup.New(), nil)
		servePool(r.Pool())
		tr.Run(time.Second)
		r.Send(trace.Request{ID: "Answered", Timeout: time.Second, Takes: 30 * time.Millisecond})
		tr.Run(100 * time.Millisecond)
		r.Send(trace.Request{ID: "Long", Timeout: time.Second, Takes: 400 * time.Millisecond})
		tr.Run(10 * time.Millisecond)
		r.Send(trace.Request{ID: "Late", Timeout: 300 * time.Millisecond, Takes: 30 * time.Millisecond})
		tr.Run(10 * time.Millisecond)
		r.Send(trace.Request{ID: "TooMany", Timeout: time.Second, Takes: 30 * time.Millisecond})
		tr.Run(10 * time.Millisecond)
		r.Send(trace.Request{ID: "Expired"})
		tr.Run(time.Second)
		return tr
	})
}

// Guards against a second run for the same idempotency key. A repeated request
// gets the answer of the first one, a refusal, or the outcome Unknown.
func TestKeyedRequest(t *testing.T) {
	requireGolden(t, func(t *testing.T) *trace.Trace {
		tr := trace.New()
		s := newShardFixture(t, tr, trace.NewStore(tr), "e1", 1)
		servePool(s.requests.Pool())
		tr.Run(time.Second)
		s.requests.Send(trace.Request{ID: "First", Key: "k1", Body: 7, Timeout: time.Second, Takes: 50 * time.Millisecond})
		tr.Run(30 * time.Millisecond)
		s.requests.Send(trace.Request{ID: "InFlight", Key: "k1", Body: 7, Timeout: time.Second})
		tr.Run(time.Second)
		s.requests.Send(trace.Request{ID: "Later", Key: "k1", Body: 7, Timeout: time.Second})
		tr.Run(100 * time.Millisecond)
		s.requests.Send(trace.Request{ID: "OtherBody", Key: "k1", Body: 8, Timeout: time.Second})
		tr.Run(100 * time.Millisecond)
		s.requests.Send(trace.Request{ID: "Broken", Key: "k2", Body: 7, Timeout: time.Second, Takes: 20 * time.Millisecond, Reason: sched.ReasonTargetBroken})
		tr.Run(100 * time.Millisecond)
		s.requests.Send(trace.Request{ID: "RepeatBroken", Key: "k2", Body: 7, Timeout: time.Second})
		tr.Run(100 * time.Millisecond)
		return tr
	})
}

// shardFixture is the requests and the journal of the shard at one entry.
type shardFixture struct {
	requests *trace.Requests
	journal  *trace.Node
}

// newShardFixture recovers the shard's journal from the store for an entry.
func newShardFixture(t *testing.T, tr *trace.Trace, store *trace.Store, entry sched.EntryName, epoch sched.Epoch) *shardFixture {
	t.Helper()
	rec, err := commit.Recover(shard, store.List(commit.SnapshotPrefix(shard)), store.List(commit.RingPrefix(shard)))
	require.NoError(t, err)
	keys := dedup.New()
	for _, r := range rec.Records {
		require.NoError(t, keys.Restore(r))
	}
	s := &shardFixture{}
	s.requests = tr.Requests(entry, shard, newPool(), keys, func(c sched.Cmd) {
		s.journal.Append(sched.RecordDedup, c.(sched.AppendCmd))
	})
	appenders := map[sched.RecordKind]*trace.Node{sched.RecordDedup: s.requests.Keys()}
	s.journal = tr.Journal(string(entry)+".Journal", store, commit.New(rec, epoch, string(entry)), appenders, func(c sched.Cmd) {
		switch c.(type) {
		case commit.ReadyCmd:
			s.requests.Keys().Send(dedup.AcquiredMsg{})
		case commit.FencedCmd:
			s.requests.Keys().Send(dedup.LostMsg{})
		}
	}).Hide(commit.AppendMsg{}, commit.WriteDoneMsg{}, commit.DoneCmd{})
	return s
}

// Guards against two owners that write to one journal. The new owner waits
// until the old owner's confirmation by the store has expired, and the journal
// refuses the write of the old owner when it resumes after a pause. The session
// does not tell the other machines of the old owner that its ownership has
// expired, so only the journal prevents a second run of the request with the
// same key.
func TestTakeover(t *testing.T) {
	requireGolden(t, func(t *testing.T) *trace.Trace {
		tr := trace.New()
		store, list := trace.NewStore(tr), trace.NewList(tr)
		list.Add("e1", 1)
		list.Add("e2", 1)
		fixtures := map[string]*shardFixture{}
		start := func(name sched.EntryName) {
			m := owner.New(name, "Process"+string(name), owner.WithDataCentre("a"), owner.WithAddress(trace.Address(name)),
				owner.WithLayout([]sched.DataCentre{"a"}, 1), owner.WithSeed(1))
			tr.Owner(string(name)+".Owner", store, list, m, func(c sched.Cmd) {
				if c, ok := c.(owner.AcquiredCmd); ok {
					fixtures[string(name)] = newShardFixture(t, tr, store, name, c.Epoch)
				}
			})
		}
		start("e1")
		start("e2")
		tr.Run(3 * time.Second)
		servePool(fixtures["e1"].requests.Pool())
		tr.Run(100 * time.Millisecond)
		fixtures["e1"].requests.Send(trace.Request{ID: "Before", Key: "k1", Body: 7, Timeout: 9 * time.Second, Takes: time.Second})
		tr.Run(100 * time.Millisecond)
		tr.Pause("e1")
		list.Drop("e1")
		tr.Run(5 * time.Second)
		fixtures["e2"].requests.Send(trace.Request{ID: "RepeatAtE2", Key: "k1", Body: 7, Timeout: 200 * time.Millisecond})
		tr.Run(300 * time.Millisecond)
		fixtures["e1"].requests.Send(trace.Request{ID: "AtE1", Key: "k2", Body: 7, Timeout: time.Second})
		tr.Resume("e1")
		tr.Run(time.Second)
		return tr
	})
}

// Guards against a task that runs twice, a task that resumes from a checkpoint
// that is not durable, and a report that is acknowledged before it is durable.
func TestJob(t *testing.T) {
	requireGolden(t, func(t *testing.T) *trace.Trace {
		tr := trace.New()
		rec, err := commit.Recover(shard, nil, nil)
		require.NoError(t, err)
		workerPool := newPool()
		r := tr.Requests("e1", shard, workerPool, dedup.New(), nil)
		servePool(r.Pool())
		r.Pool().Send(pool.WorkersMsg{Workers: workers("w1", "w2")})
		w1, w2 := trace.NewWorker(tr, "w1"), trace.NewWorker(tr, "w2")
		var journal, jobs *trace.Node
		jobs = tr.Add("Jobs", tasks.New(shard, workerPool, place.NewPack()), func(c sched.Cmd) {
			switch c := c.(type) {
			case sched.AppendCmd:
				journal.Append(sched.RecordTask, c)
			case tasks.EventCmd:
				jobs.Reply(tasks.EventMsg{From: shard, Event: c.Event})
			default:
				_ = w1.Execute(c) || w2.Execute(c)
			}
		}).Hide(tasks.EventMsg{}, tasks.InventoryCmd{}, tasks.InventoryMsg{}, tasks.RenewCmd{}, tasks.RenewResultMsg{})
		w1.SetNode(jobs)
		w2.SetNode(jobs)
		appenders := map[sched.RecordKind]*trace.Node{sched.RecordTask: jobs}
		journal = tr.Journal("Journal", trace.NewStore(tr), commit.New(rec, 1, "e1"), appenders, func(sched.Cmd) {}).
			Hide(commit.AppendMsg{}, commit.WriteDoneMsg{}, commit.WriteCmd{}, commit.DoneCmd{})
		tr.Run(time.Second)
		jobs.Send(tasks.AcquiredMsg{Epoch: 1, Workers: workers("w1", "w2"), HistoryLongEnough: true})
		tr.Run(time.Second)

		submit := func(id sched.JobID) sched.TaskID {
			jobs.Send(tasks.SubmitMsg{Waiter: 1, Spec: sched.JobSpec{ID: id, Tasks: []sched.TaskSpec{{Resources: sched.Resources{CPU: 1000}}}},
				Targets: []tasks.HostingShard{{Shard: shard, Biggest: sched.Resources{CPU: 4000}}}})
			tr.Run(500 * time.Millisecond)
			return sched.TaskID{Job: id}
		}
		task := submit("j1")
		jobs.Send(tasks.EvictMsg{Task: task, Why: "interference"})
		tr.Run(time.Second)
		require.True(t, w1.Finish(task) != w2.Finish(task))
		tr.Run(3 * time.Second)
		submit("j2")
		jobs.Send(tasks.CancelMsg{Waiter: 2, Job: "j2"})
		tr.Run(time.Second)
		return tr
	})
}

// Guards against an edit that another entry overwrites, and against one that is
// applied twice or reported wrongly after the store's response is lost.
func TestConflictingEdits(t *testing.T) {
	requireGolden(t, func(*testing.T) *trace.Trace {
		tr := trace.New()
		store := trace.NewStore(tr)
		text := func(team string) string { return "DataCentres = [\"a\"]\n[[Teams]]\nName = \"" + team + "\"\n" }
		e1 := tr.Config("e1.Config", store, config.New("e1"))
		e2 := tr.Config("e2.Config", store, config.New("e2"))
		tr.Run(200 * time.Millisecond)
		e1.Send(config.EditMsg{Waiter: 1, Text: text("First"), Author: "ada"})
		tr.Run(5 * time.Second)
		e1.Send(config.EditMsg{Waiter: 2, Text: text("Second"), IfMatch: 1, Author: "ada"})
		e2.Send(config.EditMsg{Waiter: 3, Text: text("Rival"), IfMatch: 1, Author: "bea"})
		tr.Run(500 * time.Millisecond)
		store.LoseNextResponse()
		e2.Send(config.EditMsg{Waiter: 4, Text: text("Third"), IfMatch: 2, Author: "bea"})
		tr.Run(100 * time.Millisecond)
		return tr
	})
}

// Guards against a shard with two owners, and against a shard that waits for a
// new owner, when the entries release their shards and restart one after the
// other. The platform lists each entry as leaving before it stops.
func TestRollingRestart(t *testing.T) {
	requireGolden(t, func(*testing.T) *trace.Trace {
		tr := trace.New()
		store, list := trace.NewStore(tr), trace.NewList(tr)
		names := []sched.EntryName{"e1", "e2", "e3"}
		nodes := map[sched.EntryName]*trace.Node{}
		start := func(name sched.EntryName, process string) {
			m := owner.New(name, process, owner.WithDataCentre("a"), owner.WithAddress(trace.Address(name)),
				owner.WithLayout([]sched.DataCentre{"a"}, 3), owner.WithSeed(1))
			nodes[name] = tr.Owner(string(name)+".Owner", store, list, m, func(c sched.Cmd) {
				if c, ok := c.(owner.LostCmd); ok && c.Reason == owner.LostHandover {
					nodes[name].Reply(owner.ReleaseMsg{Shard: c.Shard})
				}
			})
		}
		for _, name := range names {
			list.Add(name, 1)
			start(name, "Process"+string(name))
		}
		tr.Run(8 * time.Second)
		for i, name := range names {
			list.Leave(name)
			nodes[name].Send(owner.DrainMsg{})
			tr.Run(3 * time.Second)
			for index := range 3 {
				nodes[name].Send(owner.ReleaseMsg{Shard: sched.ShardID{DataCentre: "a", Index: index}})
			}
			tr.Run(time.Second)
			tr.Remove(nodes[name])
			list.Drop(name)
			tr.Run(2 * time.Second)
			tr.Record(string(name), "Restarted", nil)
			list.Add(name, uint64(i)+2)
			start(name, "Process"+string(name)+"New")
			tr.Run(35 * time.Second)
		}
		return tr
	})
}
