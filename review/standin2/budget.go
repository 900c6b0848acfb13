package main

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["budget"] = playBudget }

// playBudget removes the route of a job while its last permitted attempt runs, and adds it
// again.
func playBudget(root string, out *os.File, trouble bool) (*world, error) {
	const attempts = 3
	quote, carve := newRoute("r-quote", 0, 4), newRoute("r-carve", 2, attempts)
	w, err := newWorld(root, out, 6, quote, carve)
	if err != nil {
		return w, err
	}
	j := w.newJob(carve.Prefix, behaviour{For: 1500, Fails: true}, step{Count: 1, CPU: 3500, Memory: 256, Estimate: 1500})
	if !w.submit(j) {
		return w, fmt.Errorf("the job is not accepted")
	}
	task := j.taskNames(0)[0]
	if err := w.await("last attempt", 15*time.Second, func() bool { return w.task(task).starts == attempts }); err != nil {
		return w, err
	}
	if trouble {
		w.configure(7, quote)
	}
	if err := w.await("failure of the last attempt", 5*time.Second, func() bool { return w.task(task).failures == attempts }); err != nil {
		return w, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.configure(9, quote, carve)
	}
	time.Sleep(6 * time.Second)
	w.ask(j)
	w.judgeBudget(task, attempts)
	return w, nil
}

// judgeBudget checks the rule BUDGET: no start of a task after as many runs of it have ended
// failed as its queue permits. Only ends count that were taken note of, then or later.
func (w *world) judgeBudget(task string, attempts int) {
	w.mu.Lock()
	late := 0
	for _, s := range w.starts[task] {
		failed := 0
		for _, before := range w.starts[task] {
			if before.how == "failed" && before.noted && before.ended.Before(s.at) {
				failed++
			}
		}
		if failed >= attempts {
			late++
		}
	}
	w.mu.Unlock()
	if late > 0 {
		w.breaks("BUDGET: %d starts of task %s after %d runs had ended failed and were taken note of", late, task, attempts)
	}
}
