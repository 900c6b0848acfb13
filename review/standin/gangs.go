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
			gang, body := x.newJobAt(quotes, step{count: 4 * workers, cpu: 6900, mem: 9200, takes: 2 * time.Second, gang: true})
			if !x.submit(n, gang, body) {
				return x, errors.New("a gang is not accepted")
			}
			time.Sleep(time.Second)
		}
	}
	small := step{count: 2, cpu: 3500, mem: 6400, takes: 1900 * time.Millisecond}
	id, body = x.newJob(small)
	if !x.submit(1, id, body) {
		return x, errors.New("the small job is not accepted")
	}
	if x.starved(id, 0, small, anyWorker) {
		x.rec.violate("LOST: %s is %s; its tasks have their turn and room, and for 3 s none runs", id, x.state(2, id))
	}
	return x, nil
}
