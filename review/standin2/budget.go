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
	if x := w.task(task); x.starts > attempts {
		w.breaks("BUDGET: task %s was started %d times, max-attempts %d", task, x.starts, attempts)
	}
	return w, nil
}
