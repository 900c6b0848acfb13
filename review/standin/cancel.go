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
)

// playCancel has clients hand in jobs, leave early and cancel them, while the store does a
// part of the writes late.
func playCancel(root, record string) (*scene, error) {
	const (
		jobs      = 40
		interval  = 50 * time.Millisecond
		lateShare = 0.35
		span      = 4500 * time.Millisecond
	)
	x, err := newScene(root, record, 4, 6, false)
	if err != nil {
		return x, err
	}
	if x.trouble {
		x.rec.line("the store does a part of the writes late")
		for _, e := range x.entries {
			e.door.setLate(lateShare)
		}
	}
	time.Sleep(span - jobs*interval)
	var wg sync.WaitGroup
	var mu sync.Mutex
	acked := map[string]time.Time{}
	for n := range jobs {
		id, body := x.newJob(step{count: 2, cpu: 1000, mem: 500, lasts: true})
		wg.Go(func() {
			x.entries[n%len(x.entries)].callFor(leaveAfter, "POST", plans+id, body)
			status, _ := x.entries[(n+1)%len(x.entries)].call("DELETE", plans+id, "")
			if status == 200 || status == 410 {
				mu.Lock()
				acked[id] = time.Now()
				mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	for _, e := range x.entries {
		e.door.setLate(0)
	}
	sound := time.Now()
	x.rec.line("the store is sound again")
	wg.Wait()
	x.rec.line("%d of %d cancels are acknowledged", len(acked), jobs)
	time.Sleep(maxLateness + 3*time.Second)
	x.rec.checkCancelled(acked, sound)
	return x, nil
}

// checkCancelled checks the rule UNASKED: a machine in touch starts no task later than
// cancelTime after the job's cancelling was acknowledged.
func (r *recorder) checkCancelled(acked map[string]time.Time, sound time.Time) {
	r.mu.Lock()
	type found struct {
		task        string
		after, live float64
	}
	var late []found
	excused := 0
	for task, runs := range r.tasks {
		job, _, _ := stepOf(task) // Only valid names are started.
		at, ok := acked[job]
		for _, x := range runs {
			if !ok || x.started.Sub(at) <= cancelTime {
				continue
			}
			if x.started.Sub(sound) <= stableWindow {
				excused++
				continue
			}
			f := found{task: task, after: x.started.Sub(at).Seconds()}
			if x.ended.IsZero() {
				f.live = time.Since(x.started).Seconds()
			}
			late = append(late, f)
		}
	}
	r.mu.Unlock()
	for _, f := range late {
		r.violate("UNASKED: %s starts %.1f s after the job's cancelling was acknowledged, and has run for %.1f s", f.task, f.after, f.live)
	}
	r.line("%d starts more than %s after an acknowledged cancel, %d more excused", len(late), cancelTime, excused)
}
