//go:build review

package main

import (
	"errors"
	"time"
)

// playGangs hands in gangs that have to wait for capacity, and then a small job.
func playGangs(root, record string) (*scene, error) {
	const workers, gangs = 8, 4
	x, err := newScene(root, record, 4, workers, false)
	if err != nil {
		return x, err
	}
	id, body := x.newJobAt(quotes, step{count: workers, cpu: 8000, mem: 13000, lasts: true, apart: 1})
	if !x.submit(0, id, body) || !wait(10*time.Second, func() bool { return x.running() == workers }) {
		return x, errors.New("the tasks that last do not run")
	}
	x.rec.line("a quarter of each worker is taken by a task that lasts")
	if x.trouble {
		for n := range gangs {
			gang, body := x.newJobAt(quotes, step{count: workers, cpu: 28000, mem: 13000, takes: 2 * time.Second, gang: true})
			if !x.submit(n, gang, body) {
				return x, errors.New("a gang is not accepted")
			}
			time.Sleep(time.Second)
		}
	}
	id, body = x.newJob(step{count: 2, cpu: 3500, mem: 6400, takes: 1900 * time.Millisecond})
	if !x.submit(1, id, body) {
		return x, errors.New("the small job is not accepted")
	}
	// finish_s after the end of the traffic, nothing may be left waiting for 3 s.
	time.Sleep(14 * time.Second)
	state := x.state(2, id)
	ran := x.rec.done(id, 0) > 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ran = ran || x.running() > workers
	}
	if state != "completed" && !ran {
		x.rec.violate("LOST: %s is %s; its 2 tasks of 3.5 cores have their turn, each of %d workers has 24 of 32 cores free, and for 3 s none runs",
			id, state, workers)
	}
	return x, nil
}
