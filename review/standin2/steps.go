package main

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["steps"] = playSteps }

// manySteps is the number of steps of the large job. Its body has about 42 kB.
const manySteps = 800

// playSteps submits usual jobs, and among them one with many steps that depend on nothing.
func playSteps(root string, out *os.File, trouble bool) (*world, error) {
	w, err := newWorld(root, out, 12, newRoute("r-quote", 0, 4), newRoute("r-carve", 2, 3))
	if err != nil {
		return w, err
	}
	lasting := w.newJob("/r-quote/", behaviour{}, step{Count: 6, CPU: 2000, Memory: 256, Perpetual: true})
	if !w.submit(lasting) {
		return w, fmt.Errorf("the first job is not accepted")
	}
	stop := make(chan struct{})
	jobs := w.traffic(9, []string{"/r-quote/", "/r-carve/"}, stop)
	time.Sleep(5 * time.Second)
	extra := []*job{lasting}
	if trouble {
		steps := make([]step, manySteps)
		for i := range steps {
			steps[i] = step{Count: 1, CPU: 500, Memory: 256, Estimate: 900}
		}
		large := w.newJob("/r-carve/", behaviour{For: 900}, steps...)
		if !w.submit(large) {
			return w, fmt.Errorf("the large job is not accepted")
		}
		extra = append(extra, large)
	}
	time.Sleep(15 * time.Second)
	close(stop)
	all := append(jobs(), extra...)
	time.Sleep(finishTime)
	w.askAll(lasting)
	w.judgeLost(all)
	return w, nil
}
