package fake

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// ListFaults are the faults that the instance list injects.
type ListFaults struct {
	// Lag is the age of the state that readers see.
	Lag time.Duration
	// Delay is added to every read.
	Delay time.Duration
	// Outage makes every read fail with status 503. Registration still
	// works.
	Outage bool
}

// ListRecords is what the instance list has recorded.
type ListRecords struct {
	Reads int
	// Listed is the current state, without lag.
	Listed []sched.Instance
}

// listState is the content of the list from a point in time on.
type listState struct {
	since     time.Time
	instances []sched.Instance
}

// List is the stand-in for the instance list.
type List struct {
	mux *goji.Mux
	now Clock

	mu         sync.Mutex
	faults     ListFaults
	history    []listState
	generation uint64
	reads      int
}

// ListOption configures a [List].
type ListOption func(*List)

// WithListClock sets the clock; the default is [time.Now].
func WithListClock(c Clock) ListOption { return func(l *List) { l.now = c } }

// NewList returns an empty list without lag.
func NewList(opts ...ListOption) *List {
	l := &List{mux: goji.NewMux(), now: time.Now, history: []listState{{}}}
	for _, o := range opts {
		o(l)
	}
	l.mux.HandleFunc(pat.Get("/instances"), l.getInstances)
	l.mux.HandleFunc(pat.Put("/fake/faults"), l.putFaults)
	l.mux.HandleFunc(pat.Get("/fake/records"), l.getRecords)
	l.mux.HandleFunc(pat.Post("/fake/register"), l.postRegister)
	l.mux.HandleFunc(pat.Post("/fake/drop/:name"), l.postDrop)
	l.mux.HandleFunc(pat.Post("/fake/leaving/:name"), l.postLeaving)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Serve serves the list on ln until ctx ends.
func (l *List) Serve(ctx context.Context, ln net.Listener) error {
	return serve(ctx, ln, &http.Server{Handler: l})
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f ListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Register lists an instance as live and returns it with its generation. An
// instance that is still listed keeps its generation; one that was dropped gets
// a new one.
func (l *List) Register(in sched.Instance) sched.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, i := l.cloneCurrent(in.Name)
	if i < 0 {
		l.generation++
		in.Generation = l.generation
	} else {
		in.Generation = next[i].Generation
		next = slices.Delete(next, i, i+1)
	}
	in.State = sched.StateLive
	next = append(next, in)
	slices.SortFunc(next, func(a, b sched.Instance) int { return strings.Compare(a.Name, b.Name) })
	l.appendState(next)
	return in
}

// Drop removes an instance and reports whether it was listed.
func (l *List) Drop(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, i := l.cloneCurrent(name)
	if i < 0 {
		return false
	}
	l.appendState(slices.Delete(next, i, i+1))
	return true
}

// Leave marks an instance as leaving and reports whether it was listed.
func (l *List) Leave(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, i := l.cloneCurrent(name)
	if i < 0 {
		return false
	}
	next[i].State = sched.StateLeaving
	l.appendState(next)
	return true
}

// cloneCurrent returns a copy of the current state, and the index of the named
// instance or -1.
func (l *List) cloneCurrent(name string) ([]sched.Instance, int) {
	next := slices.Clone(l.history[len(l.history)-1].instances)
	return next, slices.IndexFunc(next, func(in sched.Instance) bool { return in.Name == name })
}

// appendState adds a state to the history and deletes states that are too old
// to be read.
func (l *List) appendState(next []sched.Instance) {
	now := l.now()
	l.history = append(l.history, listState{since: now, instances: next})
	if i := l.visibleIndex(now); i > 0 {
		l.history = slices.Delete(l.history, 0, i)
	}
}

// visibleIndex returns the index in the history of the state that readers see:
// the latest one that is at least Lag old.
func (l *List) visibleIndex(now time.Time) int {
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].since.After(now.Add(-l.faults.Lag)) {
			return i
		}
	}
	return 0
}

// Instances returns the instances that readers see now.
func (l *List) Instances() []sched.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sched.Instance{}, l.history[l.visibleIndex(l.now())].instances...)
}

// Records returns what the list has recorded so far.
func (l *List) Records() ListRecords {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ListRecords{Reads: l.reads, Listed: slices.Clone(l.history[len(l.history)-1].instances)}
}

func (l *List) getInstances(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.reads++
	f := l.faults
	l.mu.Unlock()
	sleepContext(r.Context(), f.Delay)
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, l.Instances())
}

func (l *List) putFaults(w http.ResponseWriter, r *http.Request) {
	var f ListFaults
	if readJSON(w, r, &f) {
		l.SetFaults(f)
	}
}

func (l *List) getRecords(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Records()) }

func (l *List) postRegister(w http.ResponseWriter, r *http.Request) {
	var in sched.Instance
	if readJSON(w, r, &in) {
		writeJSON(w, l.Register(in))
	}
}

func (l *List) postDrop(w http.ResponseWriter, r *http.Request) {
	if !l.Drop(pat.Param(r, "name")) {
		http.Error(w, "not listed", http.StatusNotFound)
	}
}

func (l *List) postLeaving(w http.ResponseWriter, r *http.Request) {
	if !l.Leave(pat.Param(r, "name")) {
		http.Error(w, "not listed", http.StatusNotFound)
	}
}
