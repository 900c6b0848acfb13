//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// step is a step of a job as a client submits it.
type step struct {
	Count    int   `json:"count"`
	CPU      int64 `json:"cpu"`
	Memory   int64 `json:"mem-mb"`
	Estimate int64 `json:"estimate-ms,omitempty"`
	After    []int `json:"after,omitempty"`
	Lasts    bool  `json:"perpetual,omitempty"`
	Fills    bool  `json:"fills,omitempty"`
	// Requires is a label, and AntiAffinity how many tasks may run on one worker.
	Requires     string `json:"requires,omitempty"`
	Image        string `json:"image,omitempty"`
	AntiAffinity int    `json:"anti-affinity,omitempty"`
	// Takes is what a task really takes. Clients do not send it.
	Takes time.Duration `json:"-"`
}

// job is a job that a client submitted.
type job struct {
	id    string
	spec  string
	steps []step
}

// note is a line of the record of what workers did.
type note struct {
	at     time.Time
	worker string
	what   string
	task   string
	run    uint64
	how    string
}

// world holds the stand-ins and the processes of a case.
type world struct {
	store   *store
	service string
	host    string
	dir     string
	program string
	began   time.Time
	record  io.Writer

	mu      sync.Mutex
	jobs    map[string]*job
	notes   []note
	workers []*worker
	entries []*entry
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(format, args...)
}

func (w *world) line(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// note records what a worker did.
func (w *world) note(worker, what, task string, number uint64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, note{time.Now(), worker, what, task, number, how})
	w.line("worker %s: %s %s run %d %s", worker, what, task, number, how)
}

// need is what a task takes from a worker's capacity: thousandths of a core, and MB.
type need struct{ cpu, memory int64 }

// need returns what a task of the step takes. The processors of a step that fills are not
// counted.
func (s *step) need() need {
	if s.Fills {
		return need{0, s.Memory}
	}
	return need{s.CPU, s.Memory}
}

// task returns what a task needs and how long it takes, and whether a client sent it.
func (w *world) task(name, spec string) (n need, takes time.Duration, known bool) {
	parts := strings.Split(name, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[parts[0]]
	if j == nil || len(parts) != 4 || spec != j.spec {
		w.line("UNASKED start of %s", name)
		return need{}, 0, false
	}
	i, err := strconv.Atoi(parts[2])
	if err != nil || i >= len(j.steps) {
		return need{}, 0, false
	}
	s := &j.steps[i]
	if s.Lasts {
		return s.need(), 0, true
	}
	return s.need(), s.Takes, true
}

// running returns how many tasks of a job run.
func (w *world) running(id string) int {
	n := 0
	for _, x := range w.workers {
		x.mu.Lock()
		x.advance()
		for t := range x.runs {
			if strings.HasPrefix(t, id+".") {
				n++
			}
		}
		x.mu.Unlock()
	}
	return n
}

// inUse returns the share of the processors that tasks hold on the workers that are up.
func (w *world) inUse() float64 {
	used, all := int64(0), int64(0)
	for _, x := range w.workers {
		x.mu.Lock()
		if !x.gone {
			used, all = used+x.used.cpu, all+workerCPU
		}
		x.mu.Unlock()
	}
	return float64(used) / float64(all)
}

// room returns for how many tasks of a step there is capacity on the workers that are up and
// have its label.
func (w *world) room(s *step) int {
	n := 0
	for _, x := range w.workers {
		x.mu.Lock()
		free := need{workerCPU - x.used.cpu, workerMemory - x.used.memory}
		if x.gone || s.Requires != "" && s.Requires != x.kind {
			free = need{-1, -1}
		}
		x.mu.Unlock()
		for want := s.need(); want.cpu <= free.cpu && want.memory <= free.memory && n < maxRoom; n++ {
			free.cpu, free.memory = free.cpu-want.cpu, free.memory-want.memory
		}
	}
	return n
}

// maxRoom bounds what room counts.
const maxRoom = 1000

const (
	// finishTime is when jobs are asked for after the end of the traffic, and idleTime how
	// long a job may have nothing running then.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// watchTime is how long a job is watched after the end of the traffic.
	watchTime = 40 * time.Second
)

// lost watches a job of one step after the end of the traffic. It reports whether the job
// has had nothing running for idleTime later than finishTime, while there was capacity for
// it twice over and under half of the service's capacity in use; done means that the job
// is done.
func (w *world) lost(j *job) (lost, done bool) {
	s := &j.steps[0]
	began := time.Now()
	idle := began
	for time.Since(began) < watchTime {
		time.Sleep(50 * time.Millisecond)
		if w.done(j) {
			w.logf("all tasks of job %s have ended done", j.id)
			return false, true
		}
		if w.running(j.id) > 0 || w.room(s) < 2*s.Count || w.inUse() >= 0.5 {
			idle = time.Now()
		}
		if time.Since(began) > finishTime+idleTime && time.Since(idle) > idleTime {
			lost = true
		}
	}
	w.logf("job %s was accepted and nobody has cancelled it: for %.1f s it has had nothing running, with capacity for %d of its tasks and %.1f%% of the processors in use",
		j.id, time.Since(idle).Seconds(), w.room(s), 100*w.inUse())
	return lost, false
}

// entry is a process of the system.
type entry struct {
	w     *world
	name  string
	front string
	file  string
	ports [4]int
	cmd   *exec.Cmd
	done  chan struct{}
	log   *os.File
}

// The ports of the entries. They lie below those that the kernel gives to other sockets.
const (
	firstPort = 15000
	lastPort  = 30000
)

// freePorts returns free ports on the loopback interface.
func freePorts() (out [4]int, err error) {
	for i := range out {
		for range 100 {
			out[i] = firstPort + rand.IntN(lastPort-firstPort)
			var l net.Listener
			if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", out[i])); err == nil {
				_ = l.Close()
				break
			}
		}
	}
	return out, err
}

// settings returns the settings file of an entry, as for a small deployment.
func (e *entry) settings(store string) []byte {
	return fmt.Appendf(nil, `node=%s
role=entry
machine-class=front
serves=front
ip=127.0.0.1
zone=z1
region=r1
zones.z1=r1
listen.front=127.0.0.1:%d
listen.ready=127.0.0.1:%d
internal-ports=%d,%d
bootstrap=true
limits.cpu-share=0.16
limits.cores=1
limits.memory-mb=284
limits.max-fds=4100
heartbeat-ms=1500
bounds.stable-window-ms=3000
bounds.ack-ms=4000
bounds.drain-ms=2000
bounds.grace-s=6
bounds.config-apply-ms=2000
bounds.recovery-s=12
bounds.hold-max-ms=6000
bounds.stop-ms=400
bounds.gang-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.far-factor=3
bounds.restore-ms=600
bounds.pace-ms=100
bounds.harm-ms=4000
orders=invocation
platform.address=%s
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.ttl-min-ms=1000
`, e.name, e.ports[0], e.ports[1], e.ports[2], e.ports[2], store)
}

// addEntry prepares an entry that reaches the store at an address.
func (w *world) addEntry(name, store string) (*entry, error) {
	e := &entry{w: w, name: name, file: filepath.Join(w.dir, name+".conf")}
	var err error
	if e.ports, err = freePorts(); err != nil {
		return nil, err
	}
	e.front = fmt.Sprintf("http://127.0.0.1:%d", e.ports[0])
	if e.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.file, e.settings(store), 0o600); err != nil {
		return nil, err
	}
	w.entries = append(w.entries, e)
	return e, nil
}

// start starts the process.
func (e *entry) start() error {
	e.cmd = exec.Command(e.w.program, "serve", "-metrics-port", strconv.Itoa(e.ports[3]))
	e.cmd.Env = append(os.Environ(), "MANGOSLIP_NODE_FILE="+e.file)
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.done = done
	cmd := e.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	e.w.logf("entry %s started, process %d", e.name, e.cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.w.logf("entry %s gets %s", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.done
}

// alive reports whether the process runs.
func (e *entry) alive() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// ready reports whether the entry says that it is ready.
func (e *entry) ready() bool {
	resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/-/readiness", e.ports[1]))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a client's request and returns the status, 0 without an answer.
func (w *world) call(e *entry, method, path string, body []byte) int {
	req, err := http.NewRequest(method, e.front+path, bytes.NewReader(body))
	if err != nil {
		w.logf("client: %v", err)
		return 0
	}
	req.Host = w.host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Timeout-Ms", "3000")
	status, text := 0, ""
	resp, err := client.Do(req)
	if err == nil {
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, text = resp.StatusCode, strings.TrimSpace(string(b))
	} else {
		text = err.Error()
	}
	w.logf("client: %s %s at %s -> %d %s", method, path, e.name, status, text)
	return status
}

// submitTries is how often a job is handed in, each time at the next entry.
const submitTries = 4

// submit hands a job in until it is accepted, and reports whether it was.
func (w *world) submit(prefix string, j *job, first int) bool {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	b, err := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps})
	if err != nil {
		return false
	}
	for i := range submitTries {
		status := w.call(w.entries[(first+i)%len(w.entries)], http.MethodPost, prefix+j.id, b)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// await calls f until it returns true, for at most d.
func await(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// queue is a route of the configuration.
type queue struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	Timeout     int     `json:"timeout-ms"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
	Target      int     `json:"target-duration-ms"`
}

// configure writes a version of the configuration. The store's answer acknowledges it.
func (w *world) configure(version int, queues ...queue) {
	for i := range queues {
		q := &queues[i]
		q.Host, q.Service, q.Timeout, q.MaxAttempts, q.Stretch, q.Target = w.host, w.service, 3000, 3, 2, 1000
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": queues, "services": []map[string]any{{"name": w.service, "admission-check": true}},
		"limits": map[string]any{"max-body-bytes": 262144},
	})
	w.store.put("op/config", b)
	w.logf("operator: version %d with the routes %v is acknowledged", version, queues)
}

// done reports whether all tasks of a job have ended done.
func (w *world) done(j *job) bool {
	tasks := map[string]bool{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.notes {
		if n.how == "done" && n.task[:16] == j.id {
			tasks[n.task] = true
		}
	}
	want := 0
	for _, s := range j.steps {
		want += s.Count
	}
	return len(tasks) == want
}
