//go:build review

// Command standin plays the platform, its workers, the operator and the clients for the
// cases under review. It starts the entries as separate processes on loopback, plays one
// case and checks the rules on what the clients and the workers saw. The exit status is
// 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
//
// # Usage
//
//	target/review/standin -case ends -root . -record review/1/record.txt
//
// With -trouble=0 the case runs without its disruption.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

// trouble means that the case has its disruption.
var trouble bool

// scene is a deployment with its record.
type scene struct {
	store   *store
	fleet   *fleet
	rec     *recorder
	entries []*entry
	dir     string
	root    string
	trouble bool
	nextJob int
	// advised means that the queues have advice.
	advised bool
}

// workerCPU and workerMemory are the capacity of a worker, in thousandths of a core and
// in MB.
const (
	workerCPU    = 32000
	workerMemory = 128000
)

// newScene starts a deployment and waits until all entries are ready.
func newScene(root, record string, entries, workers int, advised bool) (*scene, error) {
	dir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, err
	}
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	s := newStore()
	x := &scene{store: s, rec: rec, dir: dir, root: root, trouble: trouble, advised: advised}
	x.fleet = &fleet{store: s, rec: rec, cpu: workerCPU, mem: workerMemory, advised: advised, adviser: &adviser{rec: rec, tickets: map[string]time.Time{}}}
	x.configure(1, true)
	for i := range workers {
		if _, err := x.fleet.add(fmt.Sprintf("i-%04x", 0x7f30+i)); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		name := fmt.Sprintf("front-%d", i+1)
		desk, err := x.fleet.adviser.open(name)
		if err != nil {
			return x, err
		}
		e, err := newEntry(name, dir, root, desk, s, rec)
		if e != nil {
			x.entries = append(x.entries, e)
		}
		if err != nil {
			return x, err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range x.entries {
			if e.isReady() {
				ready++
			}
		}
		if _, led := s.get("Mangoslip/Leader"); led && ready == len(x.entries) {
			break
		}
		if time.Now().After(deadline) {
			return x, errors.New("the entries are not ready")
		}
	}
	time.Sleep(time.Second)
	rec.line("%d entries are ready, %d workers", entries, workers)
	return x, nil
}

// configure writes the operator's configuration, with two routes or only the second.
func (x *scene) configure(version int, both bool) {
	routes := []map[string]any{}
	for _, prefix := range []string{plans, quotes} {
		if both || prefix != plans {
			priority := 0
			if prefix == plans {
				priority = 2
			}
			row := map[string]any{
				"name": strings.Trim(prefix, "/"), "host": host, "prefix": prefix, "service": service, "timeout-ms": 3000, "priority": priority,
				"max-attempts": 3, "stretch": 2, "target-duration-ms": 1000,
			}
			if x.advised {
				row["advice"] = map[string]int64{
					"decide-ms": adviceDecide.Milliseconds(), "each-ms": adviceEach.Milliseconds(), "valid-ms": adviceValid.Milliseconds(),
				}
			}
			routes = append(routes, row)
		}
	}
	x.store.write("op/config", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": service, "admission-check": true}},
		"limits":   map[string]any{"max-body-bytes": 262144},
	})
}

// end ends all processes.
func (x *scene) end() {
	for _, e := range x.entries {
		e.end()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(x.dir)
	} else {
		fmt.Println("logs in", x.dir)
	}
}

// step is a step of a job as a client submits it.
type step struct {
	count    int
	cpu, mem int64
	takes    time.Duration
	after    []int
	lasts    bool
	gang     bool
	apart    int
}

// newJob registers a job of the queue plans with the record and returns its id and body.
func (x *scene) newJob(steps ...step) (id, body string) { return x.newJobAt(plans, steps...) }

// newJobAt does the same for a queue.
func (x *scene) newJobAt(prefix string, steps ...step) (id, body string) {
	x.nextJob++
	id = fmt.Sprintf("5c0e7a21%08x", x.nextJob)
	j := &jobRecord{spec: fmt.Sprintf("plan %d", x.nextJob), prefix: prefix}
	var rows []map[string]any
	for _, s := range steps {
		row := map[string]any{"count": s.count, "cpu": s.cpu, "mem-mb": s.mem, "estimate-ms": s.takes.Milliseconds()}
		if len(s.after) > 0 {
			row["after"] = s.after
		}
		if s.gang {
			row["gang"] = true
		}
		if s.apart > 0 {
			row["anti-affinity"] = s.apart
		}
		takes := s.takes
		if s.lasts {
			row["perpetual"] = true
			takes = 0
		}
		rows = append(rows, row)
		j.steps = append(j.steps, taskSpec{s.cpu, s.mem, takes})
	}
	b, err := json.Marshal(map[string]any{"spec": j.spec, "steps": rows})
	if err != nil {
		panic(err)
	}
	x.rec.mu.Lock()
	x.rec.jobs[id] = j
	x.rec.mu.Unlock()
	return id, string(b)
}

// submit hands a job in until it is accepted.
func (x *scene) submit(first int, id, body string) bool {
	x.rec.mu.Lock()
	j := x.rec.jobs[id]
	x.rec.mu.Unlock()
	for try := range 5 {
		status, _ := x.entries[(first+try)%len(x.entries)].call("POST", j.prefix+id, body)
		x.rec.mu.Lock()
		j.answers = append(j.answers, status)
		if status == 200 {
			j.accepted = time.Now()
		}
		x.rec.mu.Unlock()
		if status == 200 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks an entry for the state of a job.
func (x *scene) state(n int, id string) string {
	x.rec.mu.Lock()
	prefix := x.rec.jobs[id].prefix
	x.rec.mu.Unlock()
	_, body := x.entries[n%len(x.entries)].call("GET", prefix+id, "")
	var in struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &in) // Without a state it is empty.
	return in.State
}

// running counts the runs in progress on all workers.
func (x *scene) running() int {
	n := 0
	for _, w := range x.fleet.workers {
		w.mu.Lock()
		n += len(w.runs)
		w.mu.Unlock()
	}
	return n
}

// wait waits until f holds, for at most d.
func wait(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// finish and idle are finish_s, and how long nothing may be left waiting then.
const (
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// starved waits until finish after the end of the traffic, and reports whether for 3 s on
// end nothing of a job runs although tasks of its step, whose turn it is, have not ended,
// there is capacity for twice as many on the permitted workers, and under half of the
// service's processors are in use.
func (x *scene) starved(job string, n int, s step, permitted func(*worker) bool) bool {
	time.Sleep(finish)
	for end := time.Now().Add(idle); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		places, share := x.room(s, permitted)
		if x.rec.live(job) > 0 || x.rec.done(job, n) == s.count || places < 2*s.count || share >= 0.5 {
			return false
		}
	}
	places, share := x.room(s, permitted)
	x.rec.line("nothing of %s runs; %d of its %d tasks are done; there is room for %d more, and %.2f of the service are in use",
		job, x.rec.done(job, n), s.count, places, share)
	return true
}

// room returns how many tasks of a step fit, and the share of the processors in use.
func (x *scene) room(s step, permitted func(*worker) bool) (places int, share float64) {
	var total int64
	for _, w := range x.fleet.workers {
		w.mu.Lock()
		var cpu, mem int64
		for _, r := range w.runs {
			cpu, mem = cpu+r.cpu, mem+r.mem
		}
		w.mu.Unlock()
		total += cpu
		if permitted(w) {
			places += int(min((workerCPU-cpu)/s.cpu, (workerMemory-mem)/s.mem))
		}
	}
	return places, float64(total) / float64(workerCPU*len(x.fleet.workers))
}

// anyWorker permits each worker.
func anyWorker(*worker) bool { return true }

// setAll sets the fault of the store for all entries.
func (x *scene) setAll(f fault) {
	for _, e := range x.entries {
		e.door.set(f)
	}
}

// play is a case. An error means that it could not run.
type play func(root, record string) (*scene, error)

var cases = map[string]play{"ends": playEnds, "route": playRoute, "advice": playAdvice, "gangs": playGangs, "steps": playSteps, "cancel": playCancel}

// limit is the longest that a case may take.
const limit = 115 * time.Second

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the root of the repository")
	record := flag.String("record", "record.txt", "the file of the record")
	flag.BoolVar(&trouble, "trouble", true, "play the disruption: 1 or 0")
	flag.Parse()
	f := cases[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	time.AfterFunc(limit, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(2) // The entries are killed with this process.
	})
	x, err := f(*root, *record)
	if x != nil {
		x.end()
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case len(x.rec.broken) > 0:
		fmt.Println("broken:", x.rec.broken[0], "and", len(x.rec.broken)-1, "more")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
