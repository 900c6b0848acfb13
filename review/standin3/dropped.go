//go:build review

package main

import "time"

// dropped removes a route while an accepted job of it waits for its next step.
func dropped(w *world, trouble bool) int {
	keep, gone := queue{Name: "r-keep", Prefix: "/keep1/"}, queue{Name: "r-gone", Prefix: "/gone2/"}
	w.configure(10, keep, gone)
	if w.build(12, 0, 3) != nil || !w.startAll() {
		return unable
	}
	time.Sleep(4 * time.Second)
	j := &job{id: newID(1), spec: "(text)", steps: []step{
		{Count: 4, CPU: 2000, Memory: 1024, Estimate: 6000, Takes: 6 * time.Second},
		{Count: 4, CPU: 2000, Memory: 1024, Estimate: 1000, After: []int{0}, Takes: time.Second},
	}}
	if !w.submit("/gone2/", j, 0, 4) {
		return unable
	}
	if !await(5*time.Second, func() bool { return w.running(j.id) == 4 }) {
		return unable
	}
	time.Sleep(time.Second)
	if trouble {
		w.configure(17, keep)
	} else {
		w.configure(17, keep, gone)
	}
	// The first step ends 6 s after its start; then the turn of the second has come.
	last := time.Now()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.done(j) {
			w.logf("all tasks of job %s have ended done", j.id)
			return held
		}
		if w.running(j.id) > 0 {
			last = time.Now()
		}
	}
	w.logf("LOST: job %s was accepted, nobody has cancelled it, and it has had nothing running for %.1f s; %.1f%% of the processors are in use",
		j.id, time.Since(last).Seconds(), 100*w.inUse())
	w.state("/gone2/", j.id, 0)
	return broken
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
