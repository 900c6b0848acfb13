//go:build review

package main

import (
	"errors"
	"time"
)

// playSteps hands in one job with many steps beside one that lasts, and then a small one.
func playSteps(root, record string) (*scene, error) {
	const tasks, lasting = 500, 8
	x, err := newScene(root, record, 4, 8, false)
	if err != nil {
		return x, err
	}
	watch, body := x.newJobAt(quotes, step{count: lasting, cpu: 6400, mem: 13000, lasts: true})
	if !x.submit(2, watch, body) || !wait(10*time.Second, func() bool { return x.running() == lasting }) {
		return x, errors.New("the tasks that last do not run")
	}
	steps := []step{{count: tasks, cpu: 100, mem: 100, takes: time.Second}}
	if x.trouble {
		steps = nil
		for range tasks {
			steps = append(steps, step{count: 1, cpu: 100, mem: 100, takes: time.Second})
		}
	}
	big, body := x.newJob(steps...)
	if !x.submit(0, big, body) {
		return x, errors.New("the large job is not accepted")
	}
	x.rec.line("a job of %d steps and %d tasks is accepted", len(steps), tasks)
	time.Sleep(time.Second)
	small, body := x.newJobAt(quotes, step{count: 4, cpu: 2300, mem: 4600, takes: 680 * time.Millisecond})
	if !x.submit(1, small, body) {
		return x, errors.New("the small job is not accepted")
	}
	// finish_s after the end of the traffic, nothing may be left waiting for 3 s.
	time.Sleep(14 * time.Second)
	for n := range x.entries {
		x.state(n, small)
	}
	smallRan, lastRan := x.rec.done(small, 0) > 0, false
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		smallRan = smallRan || x.rec.live(small) > 0
		lastRan = lastRan || x.rec.live(watch) > 0
	}
	x.rec.line("tasks of the small job done: %d of 4; starts of the large job: %d; lasting tasks at work: %d of %d",
		x.rec.done(small, 0), x.rec.starts(big), x.rec.live(watch), lasting)
	if !smallRan {
		x.rec.violate("LOST: the 4 tasks of %s have their turn, four fifths of the service are free, and for 3 s none runs", small)
	}
	if !lastRan {
		x.rec.violate("LOST: for 3 s no task of %s runs, which last, and it has not been cancelled", watch)
	}
	return x, nil
}

// starts counts the starts of a job's tasks.
func (r *recorder) starts(job string) int {
	return r.count(job, func(*runRecord) bool { return true })
}

// live counts a job's runs in progress.
func (r *recorder) live(job string) int {
	return r.count(job, func(x *runRecord) bool { return x.ended.IsZero() })
}

func (r *recorder) count(job string, f func(x *runRecord) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task, runs := range r.tasks {
		j, _, err := stepOf(task)
		if err != nil || j != job {
			continue
		}
		for _, x := range runs {
			if f(x) {
				n++
			}
		}
	}
	return n
}
