//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax and stopTime are the bounds hold-max-ms and stop-ms of the deployment.
	holdMax  = 6 * time.Second
	stopTime = 400 * time.Millisecond
	// endsPerAnswer is how many ends one answer lists.
	endsPerAnswer = 500
	heartbeat     = 1500 * time.Millisecond
	// clockRate is the speed of a worker's clock, which may be 2% slow.
	clockRate = 0.99
)

type taskRun struct {
	task string
	run  uint64
}

// liveRun is a run in progress. It ends with how at endsAt.
type liveRun struct {
	taskRun
	cpu     int64
	mem     int64
	began   time.Time
	endsAt  time.Time
	how     string
	forever bool
}

type endRow struct {
	n uint64
	taskRun
	how string
}

// worker is one worker of the service.
type worker struct {
	id    string
	addr  string
	fleet *fleet

	mu      sync.Mutex
	up      bool
	born    time.Time
	fence   uint64
	lease   time.Duration
	lapsed  bool
	runs    map[taskRun]*liveRun
	closed  map[string]uint64
	ends    []endRow
	n       uint64
	seq     int
	changed chan struct{}
}

// fleet holds the workers and the record of what they did.
type fleet struct {
	store   *store
	rec     *recorder
	workers []*worker
	adviser *adviser
	// advised means that a start needs a ticket.
	advised bool
	cpu     int64
	mem     int64
}

func (f *fleet) add(id string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, addr: l.Addr().String(), fleet: f}
	w.mu.Lock()
	w.begin()
	w.mu.Unlock()
	f.workers = append(f.workers, w)
	go func() { _ = http.Serve(l, w) }() // It ends with the process.
	go w.tick()
	go w.register()
	return w, nil
}

// begin starts a life of the worker; it needs w.mu.
func (w *worker) begin() {
	w.up, w.born = true, time.Now()
	w.fence, w.lease, w.lapsed, w.n, w.seq = 0, 0, true, 0, 0
	w.runs, w.closed, w.ends = map[taskRun]*liveRun{}, map[string]uint64{}, nil
	w.changed = make(chan struct{})
}

// clock returns the worker's steady clock; it needs w.mu.
func (w *worker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.born)) * clockRate)
}

func (w *worker) register() {
	for {
		w.mu.Lock()
		if w.up {
			w.seq++
			w.fleet.store.write("servers/"+w.id, map[string]any{
				"service": service, "address": w.addr, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
				"cold-left-ms": 0, "seq": w.seq, "born": w.born.UnixMilli(), "labels": []string{"a", "r1"},
				"capacity": map[string]int64{"cpu": w.fleet.cpu, "mem-mb": w.fleet.mem, "gpu": 0},
			})
		}
		w.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// tick ends runs whose time has come and lets the lease lapse.
func (w *worker) tick() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.runs {
			if !r.forever && now.After(r.endsAt) {
				w.end(r, r.how)
			}
		}
		if w.up && !w.lapsed && w.clock() > w.lease {
			w.lapsed = true
			w.fleet.rec.lapsed(w)
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end lists the end of a run; it needs w.mu.
func (w *worker) end(r *liveRun, how string) {
	delete(w.runs, r.taskRun)
	w.closed[r.task] = max(w.closed[r.task], r.run)
	w.n++
	w.ends = append(w.ends, endRow{w.n, r.taskRun, how})
	w.fleet.rec.ended(w, r.taskRun, w.n, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// extend takes a deadline; it needs w.mu.
func (w *worker) extend(ms *int64) {
	if ms == nil {
		return
	}
	until := min(time.Duration(*ms)*time.Millisecond, w.clock()+holdMax)
	if until > w.lease {
		w.lease = until
	}
	if w.lease > w.clock() {
		w.lapsed = false
	}
}

type orderBody struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline *int64 `json:"deadline-ms"`
	Fence    uint64 `json:"fence"`
	LastSeen uint64 `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
	Ticket   string `json:"ticket"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var in orderBody
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &in) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if x := r.Header.Get("X-Expected-Instance"); x != "" && x != w.id {
		w.mu.Unlock()
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if in.Fence < w.fence {
		clock := w.clock().Milliseconds()
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clock-ms": clock, "reason": "fence"})
		return
	}
	w.fence = in.Fence
	path := strings.TrimPrefix(r.URL.Path, "/-/")
	if path == "hold" {
		w.mu.Unlock()
		w.hold(rw, r, in)
		return
	}
	status, reason := w.order(path, in)
	clock := w.clock().Milliseconds()
	w.mu.Unlock()
	body := map[string]any{"clock-ms": clock}
	if reason != "" {
		body["reason"] = reason
	}
	reply(rw, status, body)
}

// order carries out an order other than a hold; it needs w.mu.
func (w *worker) order(path string, in orderBody) (int, string) {
	id := taskRun{in.Task, in.Run}
	switch path {
	case "run-start":
		return w.start(id, in)
	case "run-stop":
		w.closed[in.Task] = max(w.closed[in.Task], in.Run)
		if r := w.runs[id]; r != nil {
			r.forever, r.how = false, "stopped"
			if at := time.Now().Add(stopTime / 2); at.Before(r.endsAt) || r.endsAt.IsZero() {
				r.endsAt = at
			}
		}
	case "pace":
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// start carries out a start; it needs w.mu.
func (w *worker) start(id taskRun, in orderBody) (int, string) {
	if w.runs[id] != nil {
		return http.StatusOK, ""
	}
	if in.Deadline == nil || time.Duration(*in.Deadline)*time.Millisecond <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(in.Deadline)
	if in.Run <= w.closed[in.Task] {
		return http.StatusConflict, "old"
	}
	s, ok := w.fleet.rec.spec(in.Task, in.Spec)
	if !ok {
		w.fleet.rec.asked(w, id)
		return http.StatusBadRequest, ""
	}
	if step := in.Task[:strings.LastIndex(in.Task, ".")]; w.fleet.advised && !w.fleet.adviser.valid(step, w.id, in.Ticket) {
		return http.StatusConflict, "ticket"
	}
	var cpu, mem int64
	for _, r := range w.runs {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	if cpu+s.cpu > w.fleet.cpu || mem+s.mem > w.fleet.mem {
		return http.StatusConflict, "room"
	}
	now := time.Now()
	w.runs[id] = &liveRun{
		taskRun: id, cpu: s.cpu, mem: s.mem, began: now, endsAt: now.Add(s.takes), how: "done", forever: s.takes == 0,
	}
	w.fleet.rec.started(w, id)
	return http.StatusOK, ""
}

// hold renews the lease, forgets ends and answers with both lists.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, in orderBody) {
	over := time.After(time.Duration(in.Wait) * time.Millisecond)
	w.mu.Lock()
	w.extend(in.Deadline)
	w.forget(in.LastSeen)
	born := w.born
	for waiting := in.Wait > 0; waiting && len(w.ends) == 0 && w.up && w.born.Equal(born); {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	if !w.up || !w.born.Equal(born) {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for _, x := range w.runs {
		percent := 100
		if !x.forever {
			percent = int(min(99, 100*now.Sub(x.began)/max(x.endsAt.Sub(x.began), 1)))
		}
		running = append(running, []any{x.task, x.run, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), endsPerAnswer)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	body := map[string]any{
		"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ended,
	}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// forget drops the ends up to n; it needs w.mu.
func (w *worker) forget(n uint64) {
	for len(w.ends) > 0 && w.ends[0].n <= n {
		w.fleet.rec.noted(w, w.ends[0].taskRun)
		w.ends = w.ends[1:]
	}
}

// taskSpec is what the tasks of a step need and how long they take; 0 means that they
// last.
type taskSpec struct {
	cpu, mem int64
	takes    time.Duration
}

// stepOf splits the name of a task into its job and its step.
func stepOf(task string) (job string, step int, err error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, fmt.Errorf("bad name %q", task)
	}
	step, err = strconv.Atoi(parts[2])
	return parts[0], step, err
}
