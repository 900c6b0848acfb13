package main

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["gang"] = playGang }

const (
	gangWorkers = 12
	// gangs is how many gangs come that do not fit, and gangPause the time between them.
	gangs     = 3
	gangPause = 5400 * time.Millisecond
)

// playGang submits usual jobs to two queues and, to the one with the higher priority, a few
// gangs that do not fit beside tasks that last.
func playGang(root string, out *os.File, trouble bool) (*world, error) {
	quote, carve := newRoute("r-quote", 0, 4), newRoute("r-carve", 2, 3)
	w, err := newWorld(root, out, gangWorkers, quote, carve)
	if err != nil {
		return w, err
	}
	lasting := w.newJob(quote.Prefix, behaviour{}, step{Count: gangWorkers, CPU: 2000, Memory: 256, Perpetual: true, AntiAffinity: 1})
	if !w.submit(lasting) {
		return w, fmt.Errorf("the first job is not accepted")
	}
	if err := w.await("start of the tasks that last", 10*time.Second, func() bool {
		used, _ := w.inUse()
		return used == gangWorkers*2000
	}); err != nil {
		return w, err
	}
	stop := make(chan struct{})
	jobs := w.traffic(jobsPerSecond, []string{quote.Prefix, carve.Prefix}, stop)
	for range gangs {
		if trouble {
			gang := w.newJob(quote.Prefix, behaviour{For: 5000}, step{Count: gangWorkers, CPU: 31_000, Memory: 1024, Estimate: 5000, Gang: true})
			if !w.submit(gang) {
				return w, fmt.Errorf("a gang is not accepted")
			}
		}
		time.Sleep(gangPause)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	all := append(jobs(), lasting)
	time.Sleep(finishTime)
	w.judgeLost(all)
	return w, nil
}
