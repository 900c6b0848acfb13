//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

// playEnds has many small tasks end while the store is down, so that each worker has more
// ends to list than one answer holds.
func playEnds(root, record string) (*scene, error) {
	const (
		jobs     = 12
		perJob   = 150
		downtime = 3 * time.Second
	)
	x, err := newScene(root, record, 4, 3, false)
	if err != nil {
		return x, err
	}
	var ids []string
	for n := range jobs {
		id, body := x.newJob(step{count: perJob, cpu: 50, mem: 100, takes: 12 * time.Second})
		if !x.submit(n, id, body) {
			return x, fmt.Errorf("job %s is not accepted", id)
		}
		ids = append(ids, id)
	}
	if !wait(10*time.Second, func() bool { return x.running() == jobs*perJob }) {
		return x, errors.New("not all tasks run")
	}
	x.rec.line("all tasks run")
	// The store is down while the tasks end.
	wait(15*time.Second, func() bool { return x.running() < jobs*perJob })
	if x.trouble {
		x.rec.line("the store is down")
		x.setAll(faultBusy)
		time.Sleep(downtime)
		x.setAll(faultNone)
		x.rec.line("the store is back")
	}
	done := 0
	wait(40*time.Second, func() bool {
		done = 0
		for n, id := range ids {
			if state := x.state(n, id); state == "completed" {
				done++
			}
		}
		time.Sleep(500 * time.Millisecond)
		return done == jobs && x.running() == 0
	})
	x.rec.line("%d of %d jobs are completed", done, jobs)
	x.rec.checkTwice()
	return x, nil
}
