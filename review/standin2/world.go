package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	service = "commissions"
	host    = "nony24.example"
)

// route is a route of the operator's configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"kind"`
	Timeout     int     `json:"timeout-ms"`
	Target      int     `json:"target-duration-ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
}

func newRoute(name string, priority, attempts int) route {
	return route{
		Name: name, Host: host, Prefix: "/" + name + "/", Kind: "unsafe", Timeout: 3000, Target: 1000, Priority: priority,
		Service: service, MaxAttempts: attempts, Stretch: 2,
	}
}

// start is a start of a task that a worker has begun.
type start struct {
	at     time.Time
	worker string
	run    *run
	ended  time.Time
	how    string
	// noted means that the end was taken note of, and that the worker's lease did not lapse
	// between the two.
	noted bool
}

// world is a small deployment: the store, the workers, the operator, the clients and the
// entries. It records what they send, answer and run.
type world struct {
	root, dir, net string
	store          *store
	storeAddr      string
	workers        []*worker
	entries        []*process
	began          time.Time

	mu     sync.Mutex
	record io.Writer
	// starts holds the starts of each task, by its name.
	starts map[string][]*start
	jobs   map[string]*job
	failed error
	broken []string
}

// The size of a deployment. The entries are as many as in the small site kmiw-sched, and so
// is what a worker has, in thousandths of a core.
const (
	entries    = 6
	workerCPU  = 32_000
	readyLimit = 10 * time.Second
)

// newWorld starts a deployment with workers, the first configuration and entries, and waits
// until the entries are ready.
func newWorld(root string, record io.Writer, workers int, routes ...route) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		root: root, dir: dir, record: record, began: time.Now(), store: newStore(), starts: map[string][]*start{},
		jobs: map[string]*job{},
	}
	w.storeAddr = w.listen("127.0.0.1:0", w.store)
	if err := w.findNet(); err != nil {
		return nil, err
	}
	w.configure(3, routes...)
	for i := range workers {
		w.workers = append(w.workers, newWorker(w, fmt.Sprintf("i-%08x", 0x7f3a0000+i)))
	}
	for i := range entries {
		p, err := newProcess(w, i)
		if err != nil {
			return nil, err
		}
		w.entries = append(w.entries, p)
		p.start()
	}
	if !w.awaitReady() {
		return w, fmt.Errorf("the entries are not ready")
	}
	return w, nil
}

// findNet finds loopback addresses on which the ports of all entries are free.
func (w *world) findNet() error {
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		free := true
		for n := range entries {
			free = free && portsAreFree(fmt.Sprintf("%s.%d", w.net, n+1))
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no loopback addresses with free ports")
}

// listen serves a handler and returns its address.
func (w *world) listen(addr string, h http.Handler) string {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		w.cannotRun("listen: %v", err)
		return addr
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }() // It serves until the stand-in exits.
	return l.Addr().String()
}

// configure writes a configuration as the operator does.
func (w *world) configure(version int, routes ...route) {
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false,
			"admission-check": true, "spare": false,
		}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		w.cannotRun("encode configuration: %v", err)
		return
	}
	names := make([]string, len(routes))
	for i, r := range routes {
		names[i] = r.Name
	}
	revision := w.store.put("op/config", b)
	w.note("operator: configuration %d acknowledged at revision %d, routes %v", version, revision, names)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.entries {
		p.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(format, args...)
}

func (w *world) write(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// breaks records that a rule is broken.
func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
	w.write("BROKEN "+format, args...)
}

// cannotRun records that the case could not run.
func (w *world) cannotRun(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = fmt.Errorf(format, args...)
	w.write("cannot run: "+format, args...)
}

// noteStart records a start on a worker that already used some processor time.
func (w *world) noteStart(x *worker, r *run, used int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[r.task] = append(w.starts[r.task], &start{at: time.Now(), worker: x.id, run: r})
	w.write("%s: starts %s run %d (%d of %d in use before)", x.id, r.task, r.number, used, workerCPU)
}

// noteEnd records the end of a run.
func (w *world) noteEnd(x *worker, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts[r.task] {
		if s.run == r {
			s.ended, s.how = time.Now(), how
		}
	}
	w.write("%s: ends %s run %d %s", x.id, r.task, r.number, how)
}

// noteSeen records that an end was taken note of.
func (w *world) noteSeen(x *worker, end []any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts[end[1].(string)] {
		if s.worker == x.id && s.run.number == end[2].(uint64) {
			s.noted = !x.lapsedAt.After(s.ended)
		}
	}
	w.write("%s: end of %v run %v %v is taken note of", x.id, end[1], end[2], end[3])
}

// taskState is what the workers have seen of a task.
type taskState struct {
	running      bool
	done         bool
	starts       int
	failures     int
	lastEnd      time.Time
	firstStarted time.Time
}

// task returns the state of a task.
func (w *world) task(name string) taskState {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out taskState
	for _, s := range w.starts[name] {
		out.starts++
		if out.firstStarted.IsZero() {
			out.firstStarted = s.at
		}
		switch {
		case s.ended.IsZero():
			out.running = true
		case s.how == "done":
			out.done = true
		case s.how == "failed":
			out.failures++
		}
		if s.ended.After(out.lastEnd) {
			out.lastEnd = s.ended
		}
	}
	return out
}

// inUse returns the processor time that runs take and that of all workers.
func (w *world) inUse() (used, all int) {
	for _, x := range w.workers {
		used += x.use()
		all += workerCPU
	}
	return used, all
}

// hasRoomTwice reports whether there is room for two tasks that take cpu.
func (w *world) hasRoomTwice(cpu int) bool {
	n := 0
	for _, x := range w.workers {
		n += (workerCPU - x.use()) / cpu
	}
	return n >= 2
}

// job is a job that a client submitted.
type job struct {
	id, prefix string
	body       behaviour
	steps      []step
	sent       time.Time
	// accepted is when the job was acknowledged, zero if it was not.
	accepted time.Time
}

// step is a step of a submitted job.
type step struct {
	Count     int   `json:"count"`
	CPU       int   `json:"cpu"`
	Memory    int   `json:"mem-mb"`
	Estimate  int   `json:"estimate-ms"`
	After     []int `json:"after,omitempty"`
	Perpetual bool  `json:"perpetual,omitempty"`
}

// taskNames returns the names of the tasks of a step.
func (j *job) taskNames(step int) []string {
	out := make([]string, j.steps[step].Count)
	for i := range out {
		out[i] = strings.Join([]string{j.id, "0", strconv.Itoa(step), strconv.Itoa(i)}, ".")
	}
	return out
}

func (w *world) newJob(prefix string, b behaviour, steps ...step) *job {
	b.CPU = steps[0].CPU
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, body: b, steps: steps}
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	return j
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request of a client to an entry and returns the status, 0 without an
// answer.
func (w *world) call(p *process, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, p.front()+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Timeout-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// submit submits a job, at most four times at different entries.
func (w *world) submit(j *job) bool {
	spec, err := json.Marshal(j.body)
	if err != nil {
		return false
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "steps": j.steps})
	if err != nil {
		return false
	}
	j.sent = time.Now()
	for range 4 {
		p := w.entries[rand.IntN(len(w.entries))]
		status, answer := w.call(p, http.MethodPost, j.prefix+j.id, string(body))
		w.note("client: POST %s%s (%d steps, %d bytes) at %s: %d %s", j.prefix, j.id, len(j.steps), len(body), p.name, status, answer)
		if status == http.StatusOK {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			return true
		}
		if status == http.StatusNotFound {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// ask asks for the state of a job at some entry.
func (w *world) ask(j *job) {
	p := w.entries[rand.IntN(len(w.entries))]
	status, answer := w.call(p, http.MethodGet, j.prefix+j.id, "")
	w.note("client: GET %s%s at %s: %d %s", j.prefix, j.id, p.name, status, answer)
}

// awaitReady waits until all entries are ready, for at most readyLimit.
func (w *world) awaitReady() bool {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range w.entries {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", p.ip, readyPort))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.entries) {
			return true
		}
	}
	return false
}
