package entry

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// listInterval is the interval at which the instance list is read. A confirmation
// of ownership is valid for 1.25 s, so four reads in a row may fail before it
// expires.
const listInterval = 250 * time.Millisecond

// workerHistory is how long a worker is remembered after it left the list. It is
// the duration of a task lease, during which the worker may still run a task.
const workerHistory = 10 * time.Second

// seenWorker is a worker and the time at which the list last contained it.
type seenWorker struct {
	sched.Instance
	at time.Time
}

// listView is the content of the instance list as last read. It is immutable.
type listView struct {
	// at is the time at which the read was sent.
	at time.Time
	// since is the time of the first successful read.
	since time.Time
	// entries holds the listed entries by name, including this one.
	entries map[sched.EntryName]sched.Instance
	// workers holds the listed workers by shard, sorted by name.
	workers map[sched.ShardID][]sched.Instance
	byName  map[sched.WorkerName]sched.Instance
	// recent holds the listed workers and those that left the list less than
	// workerHistory ago.
	recent map[sched.WorkerName]seenWorker
	// fleet holds, for each service, how many workers of the whole deployment
	// run it.
	fleet map[sched.ServiceName]int
}

// pollList reads the instance list every listInterval until the entry ends.
func (e *Entry) pollList(ctx context.Context) {
	for {
		e.readList(ctx)
		if !pause(ctx, listInterval) {
			return
		}
	}
}

func (e *Entry) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, owner.ConfirmationAge/2)
	defer cancel()
	sent := e.now()
	instances, err := e.List.Instances(ctx)
	if err != nil {
		e.stats.Count("List", "Failed")
		e.postOwner(owner.ListReadFailedMsg{Err: err})
		return
	}
	e.applyList(sent, instances)
	e.postOwner(owner.ListReadMsg{SentAt: sent, Instances: instances})
}

// applyList replaces the view. It notifies a shard if its workers or the numbers
// of workers per service changed.
func (e *Entry) applyList(at time.Time, instances []sched.Instance) {
	old, set := e.listView.Load(), e.shards.Load()
	v := newListView(at, old, set.layout, instances)
	e.listView.Store(v)
	for id, s := range set.byID {
		if !reflect.DeepEqual(old.workers[id], v.workers[id]) || !maps.Equal(old.fleet, v.fleet) {
			s.workersChanged(v)
		}
	}
}

// newListView returns the view of a list that was requested at the given time.
func newListView(at time.Time, old *listView, layout sched.Layout, instances []sched.Instance) *listView {
	v := &listView{
		at: at, since: old.since,
		entries: map[sched.EntryName]sched.Instance{},
		workers: map[sched.ShardID][]sched.Instance{},
		byName:  map[sched.WorkerName]sched.Instance{},
		recent:  map[sched.WorkerName]seenWorker{},
		fleet:   map[sched.ServiceName]int{},
	}
	if v.since.IsZero() {
		v.since = at
	}
	for name, w := range old.recent {
		if at.Sub(w.at) < workerHistory {
			v.recent[name] = w
		}
	}
	for _, in := range instances {
		v.add(at, layout, in)
	}
	for _, ws := range v.workers {
		slices.SortFunc(ws, func(a, b sched.Instance) int { return compareNames(a.Name, b.Name) })
	}
	return v
}

func (v *listView) add(at time.Time, layout sched.Layout, in sched.Instance) {
	if in.Role == sched.RoleEntry {
		v.entries[sched.EntryName(in.Name)] = in
		return
	}
	name := sched.WorkerName(in.Name)
	v.byName[name] = in
	v.recent[name] = seenWorker{in, at}
	for _, s := range in.Services {
		v.fleet[s]++
	}
	if id, ok := layout.ShardOfWorker(name, in.DataCentre); ok {
		v.workers[id] = append(v.workers[id], in)
	}
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// recentWorkers returns the workers of a shard that the list contained at any time
// within workerHistory. It also reports whether this entry has read the list for
// that long.
func (v *listView) recentWorkers(layout sched.Layout, id sched.ShardID, now time.Time) ([]sched.Instance, bool) {
	var out []sched.Instance
	for name, w := range v.recent {
		if s, ok := layout.ShardOfWorker(name, w.DataCentre); ok && s == id {
			out = append(out, w.Instance)
		}
	}
	return out, !v.since.IsZero() && now.Sub(v.since) >= workerHistory
}

// worker returns a worker that is listed or has left the list less than
// workerHistory ago.
func (v *listView) worker(name sched.WorkerName) (sched.Instance, bool) {
	w, ok := v.recent[name]
	return w.Instance, ok
}
