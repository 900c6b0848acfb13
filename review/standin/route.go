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
	second := step{count: 6, cpu: 2300, mem: 4600, takes: time.Second, after: []int{0}}
	id, body := x.newJob(step{count: 6, cpu: 2300, mem: 4600, takes: 3 * time.Second}, second)
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
	if x.starved(id, 1, second, anyWorker) {
		x.rec.violate("LOST: the second step of %s has its turn and room, and nothing runs for 3 s", id)
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
