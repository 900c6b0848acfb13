package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// stopTime is how long a worker takes to stop a run, and maxLease the longest lease
	// that it grants. Both are those of the settings.
	stopTime = 400 * time.Millisecond
	maxLease = 6 * time.Second
	// heartbeat is how often a worker writes its entry.
	heartbeat = 1500 * time.Millisecond
	// maxHoldWait bounds how long the answer to a hold waits for an end.
	maxHoldWait = 2 * time.Second
)

// run is a run of a task on a worker. Its spec says how it behaves, see behaviour.
type run struct {
	task    string
	number  uint64
	cpu     int
	began   time.Time
	ends    time.Time
	how     string
	stopped bool
}

func runKey(task string, number uint64) string { return fmt.Sprintf("%s/%d", task, number) }

// behaviour is what a task does, as the spec of its job describes it to the stand-in.
type behaviour struct {
	// For is how long a run lasts, 0 if it lasts until it is stopped.
	For int `json:"for-ms"`
	// Fails means that each run ends as failed.
	Fails bool `json:"fails"`
	// CPU is what a task takes, in thousandths of a core.
	CPU int `json:"cpu"`
}

// worker is a stand-in of a worker. It carries out orders at once, answers each, refuses what
// does not fit, and follows the pages on leases, fencing tokens and ends.
type worker struct {
	id, addr string
	world    *world
	born     time.Time

	mu    sync.Mutex
	fence uint64
	lease time.Time
	// lapsedAt is when the lease was last seen to have ended.
	lapsedAt time.Time
	runs     map[string]*run
	closed   map[string]uint64
	ended    [][]any
	seq      uint64
	changed  chan struct{}
}

func newWorker(w *world, id string) *worker {
	x := &worker{
		id: id, world: w, born: time.Now(), runs: map[string]*run{}, closed: map[string]uint64{},
		changed: make(chan struct{}),
	}
	x.addr = w.listen("127.0.0.1:0", x)
	go x.loop()
	return x
}

// clock returns the worker's clock in milliseconds.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) loop() {
	var registered time.Time
	for {
		if time.Since(registered) > heartbeat {
			registered = time.Now()
			w.register()
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *worker) register() {
	b, err := json.Marshal(map[string]any{
		"service": service, "address": w.addr, "zone": "nyarugenge", "version": "v1", "slots": 8, "state": "ready",
		"cold-left-ms": 0, "capacity": map[string]int{"cpu": workerCPU, "mem-mb": 125_000, "gpu": 0},
		"labels": []string{"a", "r1-1"}, "clock-ms": w.clock(), "seq": w.clock(), "born": w.born.UnixMilli(),
	})
	if err == nil {
		w.world.store.put("servers/"+w.id, b)
	}
}

// advance ends the runs whose time is over, and all runs when the lease has ended.
func (w *worker) advance() {
	now := time.Now()
	if now.After(w.lease) {
		w.lapsedAt = now
	}
	for _, r := range w.runs {
		switch {
		case now.After(w.lease):
			w.end(r, "lapsed")
		case !r.ends.IsZero() && now.After(r.ends):
			w.end(r, r.how)
		}
	}
}

// end lists the end of a run.
func (w *worker) end(r *run, how string) {
	delete(w.runs, runKey(r.task, r.number))
	w.closed[r.task] = max(w.closed[r.task], r.number)
	w.seq++
	w.ended = append(w.ended, []any{w.seq, r.task, r.number, how, ""})
	w.world.noteEnd(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// order has the fields of all orders.
type order struct {
	Task     string `json:"task"`
	Run      uint64 `json:"run"`
	Spec     string `json:"spec"`
	Deadline *int64 `json:"deadline-ms"`
	Fence    uint64 `json:"fence"`
	Seen     uint64 `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	var o order
	if decodeBody(r, &o) != nil {
		writeJSON(rw, http.StatusBadRequest, nil)
		return
	}
	call := strings.TrimPrefix(r.URL.Path, "/-/")
	w.mu.Lock()
	w.advance()
	status, reason := w.execute(call, &o)
	changed, listed := w.changed, len(w.ended) > 0
	w.mu.Unlock()
	if call == "hold" && status == http.StatusOK {
		if !listed && o.Wait > 0 {
			waitFor(r, changed, min(time.Duration(o.Wait)*time.Millisecond, maxHoldWait))
		}
		writeJSON(rw, status, w.lists())
		return
	}
	body := map[string]any{"clock-ms": w.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

// waitFor waits until changed is closed, for at most d.
func waitFor(r *http.Request, changed chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-r.Context().Done():
	}
}

// execute carries out an order and returns the status and the reason of a refusal.
func (w *worker) execute(call string, o *order) (int, string) {
	if o.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.Fence
	switch call {
	case "run-start":
		return w.start(o)
	case "run-stop":
		w.closed[o.Task] = max(w.closed[o.Task], o.Run)
		if r := w.runs[runKey(o.Task, o.Run)]; r != nil && !r.stopped {
			r.stopped, r.how, r.ends = true, "stopped", time.Now().Add(stopTime)
		}
	case "hold":
		w.extend(o.Deadline)
		n := 0
		for n < len(w.ended) && w.ended[n][0].(uint64) <= o.Seen {
			w.world.noteSeen(w, w.ended[n])
			n++
		}
		w.ended = w.ended[n:]
	case "pace":
	default:
		return http.StatusBadRequest, ""
	}
	return http.StatusOK, ""
}

// extend extends the lease to a time of the worker's clock.
func (w *worker) extend(deadline *int64) {
	if deadline == nil {
		return
	}
	until := w.born.Add(time.Duration(*deadline) * time.Millisecond)
	if limit := time.Now().Add(maxLease); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) start(o *order) (int, string) {
	if o.Deadline == nil || *o.Deadline < w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(o.Deadline)
	if w.runs[runKey(o.Task, o.Run)] != nil {
		return http.StatusOK, ""
	}
	if o.Run <= w.closed[o.Task] {
		return http.StatusConflict, "old"
	}
	var b behaviour
	if json.Unmarshal([]byte(o.Spec), &b) != nil {
		return http.StatusBadRequest, ""
	}
	used := 0
	for _, r := range w.runs {
		used += r.cpu
	}
	if used+b.CPU > workerCPU {
		return http.StatusConflict, "room"
	}
	r := &run{task: o.Task, number: o.Run, cpu: b.CPU, began: time.Now(), how: "done"}
	if b.Fails {
		r.how = "failed"
	}
	if b.For > 0 {
		r.ends = r.began.Add(time.Duration(b.For) * time.Millisecond)
	}
	w.runs[runKey(o.Task, o.Run)] = r
	w.world.noteStart(w, r, used)
	return http.StatusOK, ""
}

// lists returns the lists of runs and of ends.
func (w *worker) lists() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	running := [][]any{}
	for _, r := range w.runs {
		percent := 100
		if whole := r.ends.Sub(r.began); !r.ends.IsZero() && whole > 0 {
			percent = int(min(99, 100*time.Since(r.began)/whole))
		}
		running = append(running, []any{r.task, r.number, "", percent, r.cpu})
	}
	ended := append([][]any{}, w.ended[:min(len(w.ended), 500)]...)
	return map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
}

// use returns what the runs of the worker take, in thousandths of a core.
func (w *worker) use() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := 0
	for _, r := range w.runs {
		used += r.cpu
	}
	return used
}
