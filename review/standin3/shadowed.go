//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// shadowed hands in a small best-effort job during a burst of larger ones of the same image
// that find no worker.
func shadowed(w *world, trouble bool) int {
	const prefix = "/lohu930/"
	w.configure(10, queue{Name: "r-1", Prefix: prefix, Priority: 2}, queue{Name: "r-2", Prefix: "/watch7/"}, queue{Name: "r-3", Prefix: "/quote5/"})
	if w.build(12, 4, 3) != nil || !w.startAll() {
		return unable
	}
	time.Sleep(4 * time.Second)
	for i := range 2 {
		lasting := &job{id: newID(10 + i), spec: "(lasting)", steps: []step{
			{Count: 8, CPU: 7000, Memory: 8192, Lasts: true, Requires: "b", AntiAffinity: 4},
		}}
		if !w.submit("/watch7/", lasting, 0) || !await(25*time.Second, func() bool { return w.running(lasting.id) == 8 }) {
			return unable
		}
	}
	time.Sleep(time.Second)
	var burst sync.WaitGroup
	if trouble {
		burst.Go(func() { w.burst("/quote5/", 48, 83*time.Millisecond) })
	}
	time.Sleep(1500 * time.Millisecond)
	small := &job{id: newID(2), spec: "(small)", steps: []step{
		{Count: 1, CPU: 3500, Memory: 6400, Estimate: 3000, Fills: true, Requires: "b", Image: "img-1", Takes: 3 * time.Second},
	}}
	if !w.submit(prefix, small, 1) {
		return unable
	}
	burst.Wait()
	lost, done := w.lost(small)
	w.call(w.entries[0], http.MethodGet, prefix+small.id, nil)
	switch {
	case done:
		return held
	case !lost:
		return unable
	}
	w.logf("LOST")
	return broken
}

// burst hands in larger best-effort jobs.
func (w *world) burst(prefix string, n int, gap time.Duration) {
	for i := range n {
		j := &job{id: newID(100 + i), spec: "(large)", steps: []step{
			{Count: 1, CPU: 7000, Memory: 5000, Estimate: 1000, Fills: true, Requires: "b", Image: "img-1", Takes: time.Second},
		}}
		go w.submit(prefix, j, i)
		time.Sleep(gap)
	}
}
