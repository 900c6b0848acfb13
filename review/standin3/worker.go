//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	maxEnds     = 500
	maxHoldWait = 2 * time.Second
)

// run is a start that a worker has carried out.
type run struct {
	task     string
	number   uint64
	need     need
	began    time.Time
	takes    time.Duration // 0: it lasts
	stopping time.Time
}

// end is a row of the list of ends.
type end struct {
	n     uint64
	run   *run
	how   string
	saved string
}

// worker is a stand-in of a worker.
type worker struct {
	world  *world
	id     string
	addr   string
	kind   string
	rack   string
	server *http.Server

	mu       sync.Mutex
	gone     bool
	started  time.Time
	born     int64
	fence    uint64
	deadline time.Duration
	runs     map[string]*run
	closed   map[string]uint64
	ends     []end
	lastEnd  uint64
	used     need
	changed  chan struct{}
	seq      int64
}

// The capacity of a worker, in thousandths of a core and MB.
const (
	workerCPU    = 32000
	workerMemory = 128000
)

func newWorker(w *world, n int, kind string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	x := &worker{
		world: w, id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), addr: l.Addr().String(), kind: kind, rack: fmt.Sprintf("r1-%d", n/8),
		started: now, born: now.UnixMilli(), runs: map[string]*run{}, closed: map[string]uint64{}, changed: make(chan struct{}),
	}
	x.server = &http.Server{Handler: x}
	go func() { _ = x.server.Serve(l) }()
	go x.beat()
	go x.work()
	return x, nil
}

// beat writes the worker's entry in the register.
func (x *worker) beat() {
	for {
		x.mu.Lock()
		if x.gone {
			x.mu.Unlock()
			return
		}
		x.seq++
		b, _ := json.Marshal(map[string]any{
			"service": x.world.service, "address": x.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
			"cold-left-ms": 0, "capacity": map[string]int64{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0},
			"labels": []string{x.kind, x.rack}, "clock-ms": x.clock().Milliseconds(), "seq": x.seq, "born": x.born,
		})
		x.mu.Unlock()
		x.world.store.put("servers/"+x.id, b)
		time.Sleep(heartbeat)
	}
}

// lose loses the worker for good. Its entry is removed after three heartbeats of silence.
func (x *worker) lose() {
	x.mu.Lock()
	x.gone = true
	for _, r := range x.runs {
		x.world.note(x.id, "gone with", r.task, r.number, "")
	}
	x.runs, x.used = map[string]*run{}, need{}
	x.mu.Unlock()
	x.world.logf("worker %s is lost for good", x.id)
	_ = x.server.Close()
	time.AfterFunc(3*heartbeat, func() { x.world.store.drop("servers/" + x.id) })
}

func (x *worker) clock() time.Duration { return time.Since(x.started) }

// work ends the runs that are done, stopped or without a lease.
func (x *worker) work() {
	for {
		time.Sleep(5 * time.Millisecond)
		x.mu.Lock()
		x.advance()
		x.mu.Unlock()
	}
}

func (x *worker) advance() {
	if x.gone {
		return
	}
	lapsed := x.clock() > x.deadline
	for _, r := range x.runs {
		switch {
		case r.takes > 0 && time.Since(r.began) >= r.takes:
			x.finish(r, "done")
		case !r.stopping.IsZero() && time.Now().After(r.stopping):
			x.finish(r, "stopped")
		case lapsed:
			x.finish(r, "lapsed")
		}
	}
}

func (x *worker) finish(r *run, how string) {
	delete(x.runs, r.task)
	x.used.cpu -= r.need.cpu
	x.used.memory -= r.need.memory
	x.closed[r.task] = max(x.closed[r.task], r.number)
	x.lastEnd++
	x.ends = append(x.ends, end{n: x.lastEnd, run: r, how: how})
	x.world.note(x.id, "end", r.task, r.number, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

// order is the body of any order.
type order struct {
	Task     string  `json:"task"`
	Run      uint64  `json:"run"`
	Spec     string  `json:"spec"`
	Deadline *int64  `json:"deadline-ms"`
	Fence    uint64  `json:"fence"`
	LastSeen uint64  `json:"last-seen"`
	Wait     int64   `json:"wait-ms"`
	Percent  float64 `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (x *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		reply(w, http.StatusOK, nil)
		return
	}
	var in order
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != x.id {
		reply(w, http.StatusMisdirectedRequest, nil)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.advance()
	body := map[string]any{"clock-ms": x.clock().Milliseconds(), "born": x.born}
	if in.Fence < x.fence {
		body["reason"] = "fence"
		reply(w, http.StatusConflict, body)
		return
	}
	x.fence = in.Fence
	switch strings.TrimPrefix(r.URL.Path, "/-/") {
	case "run-start":
		if reason := x.start(&in); reason != "" {
			body["reason"] = reason
			reply(w, http.StatusConflict, body)
			return
		}
	case "run-stop":
		x.stop(&in)
	case "pace":
	case "hold":
		x.extend(&in)
		x.hold(w, r, in.LastSeen, min(time.Duration(in.Wait)*time.Millisecond, maxHoldWait), body)
		return
	default:
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, body)
}

// extend extends the lease of all runs.
func (x *worker) extend(in *order) {
	if in.Deadline != nil {
		x.deadline = max(x.deadline, min(time.Duration(*in.Deadline)*time.Millisecond, x.clock()+maxHold))
	}
}

// start carries out a start, or returns the reason of a refusal.
func (x *worker) start(in *order) string {
	if in.Deadline == nil || time.Duration(*in.Deadline)*time.Millisecond <= x.clock() {
		return "late"
	}
	x.extend(in)
	old := x.runs[in.Task]
	switch {
	case old != nil && old.number == in.Run:
		return ""
	case old != nil, in.Run <= x.closed[in.Task]:
		return "old"
	}
	want, takes, known := x.world.task(in.Task, in.Spec)
	if !known || x.used.cpu+want.cpu > workerCPU || x.used.memory+want.memory > workerMemory {
		return "room"
	}
	x.used.cpu += want.cpu
	x.used.memory += want.memory
	x.runs[in.Task] = &run{task: in.Task, number: in.Run, need: want, began: time.Now(), takes: takes}
	x.world.note(x.id, "start", in.Task, in.Run, "")
	return ""
}

// stop carries out a stop. It takes a while.
func (x *worker) stop(in *order) {
	x.closed[in.Task] = max(x.closed[in.Task], in.Run)
	if old := x.runs[in.Task]; old != nil && old.number <= in.Run && old.stopping.IsZero() {
		old.stopping = time.Now().Add(stopTime)
	}
}

// hold answers a renewal. It waits for an end.
func (x *worker) hold(w http.ResponseWriter, r *http.Request, seen uint64, wait time.Duration, body map[string]any) {
	for len(x.ends) > 0 && x.ends[0].n <= seen {
		x.ends = x.ends[1:]
	}
	until := time.Now().Add(wait)
	for len(x.ends) == 0 && time.Now().Before(until) {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		x.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
		x.advance()
	}
	running, ended := [][]any{}, [][]any{}
	for _, u := range x.runs {
		percent := 100.0
		if u.takes > 0 {
			percent = min(100*time.Since(u.began).Seconds()/u.takes.Seconds(), 99)
		}
		running = append(running, []any{u.task, u.number, "", int(percent), 0})
	}
	for _, e := range x.ends[:min(len(x.ends), maxEnds)] {
		ended = append(ended, []any{e.n, e.run.task, e.run.number, e.how, e.saved})
	}
	body["clock-ms"], body["running"], body["ended"] = x.clock().Milliseconds(), running, ended
	reply(w, http.StatusOK, body)
}
