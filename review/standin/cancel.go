//go:build review

package main

import (
	"sync"
	"time"
)

const (
	// cancelTime and stableWindow are the bounds cancel_ms and stable-window-ms.
	cancelTime   = 3 * time.Second
	stableWindow = 3 * time.Second
	// leaveAfter is how long impatient clients wait: half of the objective of 250 ms.
	leaveAfter = 125 * time.Millisecond
	// cancelTries is how often a client sends a cancel that is not acknowledged.
	cancelTries = 4
)

// playCancel has clients hand in jobs that last, while the store does a part of the writes
// late. Two in five of them leave early and cancel their jobs.
func playCancel(root, record string) (*scene, error) {
	const (
		jobs      = 40
		lateShare = 0.35
		span      = 4500 * time.Millisecond
	)
	x, err := newScene(root, record, 4, 6, false)
	if err != nil {
		return x, err
	}
	if x.trouble {
		x.rec.line("the store does a part of the writes late")
		x.setLate(lateShare)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	acked := map[string]time.Time{}
	for n := range jobs {
		id, body := x.newJob(step{count: 2, cpu: 1000, mem: 500, lasts: true})
		leaves := n%5 < 2
		wg.Go(func() {
			if !leaves {
				x.submit(n, id, body)
				return
			}
			x.entries[n%len(x.entries)].callFor(leaveAfter, "POST", plans+id, body)
			if x.cancel(n+1, id) {
				mu.Lock()
				acked[id] = time.Now()
				mu.Unlock()
			}
		})
		time.Sleep(span / jobs)
	}
	x.setLate(0)
	x.rec.line("no write is done late any more")
	wg.Wait()
	x.rec.line("%d of %d cancels are acknowledged", len(acked), 2*jobs/5)
	// The disruption ends with the last late write. Machines are in touch stableWindow
	// later, and after that and cancelTime and stopTime no task of these jobs may run.
	time.Sleep(maxLateness + stableWindow + cancelTime + stopTime + time.Second)
	x.rec.checkCancelled(acked)
	return x, nil
}

// cancel cancels a job and reports whether that is acknowledged.
func (x *scene) cancel(first int, id string) bool {
	for try := range cancelTries {
		status, _ := x.entries[(first+try)%len(x.entries)].call("DELETE", plans+id, "")
		if status == 200 || status == 410 {
			return true
		}
	}
	return false
}

// setLate sets the share of the writes that are done late, for all entries.
func (x *scene) setLate(share float64) {
	for _, e := range x.entries {
		e.door.setLate(share)
	}
}

// checkCancelled checks the rule UNASKED: no task of a cancelled job runs on, once a calm
// time of cancelTime and stopTime has passed.
func (r *recorder) checkCancelled(acked map[string]time.Time) {
	n := 0
	for job, at := range acked {
		if live := r.live(job); live > 0 {
			n++
			r.violate("UNASKED: %d tasks of %s run on %.1f s after its cancelling was acknowledged", live, job, time.Since(at).Seconds())
		}
	}
	r.line("of %d jobs whose cancelling was acknowledged, %d run on", len(acked), n)
}
