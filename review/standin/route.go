//go:build review

package main

import (
	"errors"
	"time"
)

// playRoute removes a route while a job of its queue is between its steps.
func playRoute(root, record string) (*scene, error) {
	x, err := newScene(root, record, 3, 4, false)
	if err != nil {
		return x, err
	}
	id, body := x.newJob(
		step{count: 6, cpu: 2300, mem: 4600, takes: 3 * time.Second},
		step{count: 6, cpu: 2300, mem: 4600, takes: time.Second, after: []int{0}},
	)
	if !x.submit(0, id, body) {
		return x, errors.New("the job is not accepted")
	}
	if !wait(5*time.Second, func() bool { return x.running() == 6 }) {
		return x, errors.New("the first step does not run")
	}
	if x.trouble {
		x.rec.line("the operator removes the route of the job")
		x.configure(2, false)
	}
	if !wait(10*time.Second, func() bool { return x.running() == 0 }) {
		return x, errors.New("the first step does not end")
	}
	x.state(1, id)
	// finish_s after the last request: for 3 s nothing may be left waiting.
	time.Sleep(14 * time.Second)
	x.state(1, id)
	ran := false
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ran = ran || x.running() > 0
	}
	done := x.rec.done(id, 1)
	x.rec.line("tasks of the second step that have ended done: %d of 6", done)
	if done < 6 && !ran {
		x.rec.violate("LOST: the second step of %s has its turn, all workers are free, and nothing runs for 3 s", id)
	}
	return x, nil
}

// done counts the tasks of a step that have ended done.
func (r *recorder) done(job string, step int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task, runs := range r.tasks {
		if j, s, err := stepOf(task); err != nil || j != job || s != step {
			continue
		}
		for _, x := range runs {
			if x.how == "done" {
				n++
				break
			}
		}
	}
	return n
}
