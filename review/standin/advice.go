//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// adviceDecide, adviceEach and adviceValid are the times of the queue's advice.
	adviceDecide = 200 * time.Millisecond
	adviceEach   = 100 * time.Millisecond
	adviceValid  = 3 * time.Second
	// adviceQueue is how many calls of one machine may wait.
	adviceQueue = 32
)

// adviser knows which workers may run a step: about half of them.
type adviser struct {
	rec *recorder

	mu      sync.Mutex
	tickets map[string]time.Time
}

func permits(step, worker string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + " " + worker)) // It never fails.
	return h.Sum32()>>7%2 == 0
}

func ticketKey(step, worker, ticket string) string { return step + " " + worker + " " + ticket }

// desk serves the calls of one machine, one at a time.
type desk struct {
	a     *adviser
	entry string
	turn  chan struct{}
	mu    sync.Mutex
	calls int
}

// open returns the address of a new desk.
func (a *adviser) open(entry string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d := &desk{a: a, entry: entry, turn: make(chan struct{}, 1)}
	go func() { _ = http.Serve(l, d) }() // It ends with the process.
	return l.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	d.mu.Lock()
	full := d.calls >= adviceQueue
	if !full {
		d.calls++
	}
	d.mu.Unlock()
	if full {
		reply(rw, http.StatusTooManyRequests, map[string]any{})
		return
	}
	d.turn <- struct{}{}
	asked := time.Now()
	time.Sleep(adviceDecide + time.Duration(len(in.Workers))*adviceEach)
	good := [][2]string{}
	d.a.mu.Lock()
	for _, w := range in.Workers {
		if permits(in.Step, w) {
			ticket := fmt.Sprintf("t%08x", len(d.a.tickets))
			d.a.tickets[ticketKey(in.Step, w, ticket)] = time.Now().Add(adviceValid)
			good = append(good, [2]string{w, ticket})
		}
	}
	d.a.mu.Unlock()
	<-d.turn
	d.mu.Lock()
	d.calls--
	d.mu.Unlock()
	d.a.rec.line("advice for %s on %s: %d workers asked, %d permitted, after %.3f s", d.entry, in.Step, len(in.Workers), len(good),
		time.Since(asked).Seconds())
	reply(rw, http.StatusOK, map[string]any{"good": good, "valid-ms": adviceValid.Milliseconds()})
}

// valid reports whether a ticket is valid for a step on a worker.
func (a *adviser) valid(step, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.tickets[ticketKey(step, worker, ticket)]
	return ok && time.Now().Before(until)
}

// playAdvice hands in a job whose step is as wide as the widest of the deployment, on a
// queue with advice.
func playAdvice(root, record string) (*scene, error) {
	const wide, narrow = 32, 3
	x, err := newScene(root, record, 6, 48, true)
	if err != nil {
		return x, err
	}
	count := narrow
	if x.trouble {
		count = wide
	}
	wanted := step{count: count, cpu: 3500, mem: 6400, takes: 1900 * time.Millisecond}
	id, body := x.newJob(wanted)
	if !x.submit(0, id, body) {
		return x, errors.New("the job is not accepted")
	}
	x.rec.line("the job has one step of %d tasks", count)
	permitted := func(w *worker) bool { return permits(id+".0.0", w.id) }
	if x.starved(id, 0, wanted, permitted) {
		x.rec.violate("LOST: %s is %s; its tasks have their turn and room, and for 3 s none runs", id, x.state(1, id))
	}
	return x, nil
}
