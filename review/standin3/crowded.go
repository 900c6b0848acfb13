//go:build review

package main

import (
	"net/http"
	"time"
)

// crowded loses the worker of a task that fills, while the other workers that may run it
// are nearly full of tasks that last.
func crowded(w *world, trouble bool) int {
	const prefix = "/lohu930/"
	w.configure(10, queue{Name: "r-1", Prefix: prefix}, queue{Name: "r-2", Prefix: "/watch7/"})
	if w.build(12, 4, 3) != nil || !w.startAll() {
		return unable
	}
	time.Sleep(4 * time.Second)
	lasting := &job{id: newID(1), spec: "(lasting)", steps: []step{
		{Count: 9, CPU: 10000, Memory: 8192, Lasts: true, Requires: "b", AntiAffinity: 3},
	}}
	if !w.submit("/watch7/", lasting, 0) || !await(20*time.Second, func() bool { return w.running(lasting.id) == 9 }) {
		return unable
	}
	fills := &job{id: newID(2), spec: "(fills)", steps: []step{
		{Count: 1, CPU: 3500, Memory: 6400, Estimate: 12000, Fills: true, Requires: "b", Takes: 12 * time.Second},
	}}
	if !w.submit(prefix, fills, 1) || !await(20*time.Second, func() bool { return w.running(fills.id) == 1 }) {
		return unable
	}
	time.Sleep(time.Second)
	if trouble {
		w.holder(fills.id).lose()
	}
	lost, done := w.lost(fills)
	w.call(w.entries[0], http.MethodGet, prefix+fills.id, nil)
	switch {
	case done:
		return held
	case !lost:
		return unable
	}
	w.logf("LOST")
	return broken
}

// holder returns the worker that runs a task of a job.
func (w *world) holder(id string) *worker {
	for _, x := range w.workers {
		x.mu.Lock()
		for t := range x.runs {
			if t[:16] == id {
				x.mu.Unlock()
				return x
			}
		}
		x.mu.Unlock()
	}
	return nil
}
