package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["history"] = playHistory }

// The keys under which the entries write a job and its progress.
const (
	jobKeys      = "Mangoslip/Work/Jobs/"
	progressKeys = "Mangoslip/Progress/"
)

const (
	// jobsPerSecond is how many jobs the clients of the small site kmiw-sched submit in a
	// second, and historyJobs how many the deployment has completed in the twelve hours before.
	jobsPerSecond = 9.25
	historyJobs   = 12 * 3600 * jobsPerSecond
	// recoveryTime is recovery-s.
	recoveryTime = 12 * time.Second
)

// traffic submits small jobs at random times until stop is closed. It returns the jobs.
func (w *world) traffic(perSecond float64, prefixes []string, stop chan struct{}) func() []*job {
	var mu sync.Mutex
	var all []*job
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			j := w.newJob(prefixes[rand.IntN(len(prefixes))], behaviour{For: 680}, step{Count: 6, CPU: 2300, Memory: 256, Estimate: 700})
			mu.Lock()
			all = append(all, j)
			mu.Unlock()
			go w.submit(j)
		}
	})
	return func() []*job {
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		return all
	}
}

// isDone reports whether all tasks of a job have ended done.
func (w *world) isDone(j *job) bool {
	for s := range j.steps {
		for _, t := range j.taskNames(s) {
			if !w.task(t).done {
				return false
			}
		}
	}
	return true
}

// addHistory adds the records of jobs that were completed in the hours before: copies, under
// other ids, of what the entries have written in this run for completed jobs.
func (w *world) addHistory(done []*job, n int) error {
	type record struct{ job, progress []byte }
	var patterns []record
	var ids []string
	for _, j := range done {
		a, b := w.store.withPrefix(jobKeys+j.id), w.store.withPrefix(progressKeys+j.id)
		if len(a) == 1 && len(b) == 1 {
			patterns = append(patterns, record{a[0].Value, b[0].Value})
			ids = append(ids, j.id)
		}
	}
	if len(patterns) == 0 {
		return fmt.Errorf("no completed job has records in the store")
	}
	jobs, progress := make([]item, n), make([]item, n)
	for i := range n {
		// The ids rise, so that the keys are in order.
		id := fmt.Sprintf("%08x%08x", uint64(i)<<32/uint64(n), rand.Uint32())
		p, old, revision := patterns[i%len(patterns)], ids[i%len(patterns)], uint64(2*i+1)
		jobs[i] = item{Key: jobKeys + id, Value: bytes.ReplaceAll(p.job, []byte(old), []byte(id)), Revision: revision, Created: revision}
		progress[i] = item{
			Key: progressKeys + id, Value: bytes.ReplaceAll(p.progress, []byte(old), []byte(id)), Revision: revision + 1, Created: revision + 1,
		}
	}
	w.store.addOld(progress)
	w.store.addOld(jobs)
	w.note("store: records of %d jobs completed in the hours before", n)
	return nil
}

// playHistory kills all processes of a deployment that has run for twelve hours.
func playHistory(root string, out *os.File, trouble bool) (*world, error) {
	w, err := newWorld(root, out, 12, newRoute("r-quote", 0, 4), newRoute("r-carve", 2, 3))
	if err != nil {
		return w, err
	}
	stop := make(chan struct{})
	jobs := w.traffic(jobsPerSecond, []string{"/r-quote/", "/r-carve/"}, stop)
	time.Sleep(12 * time.Second)
	if err := w.addHistory(w.completed(), historyJobs); err != nil {
		return w, err
	}
	time.Sleep(2 * time.Second)
	struck := time.Now()
	if trouble {
		for _, p := range w.entries {
			p.signal(syscall.SIGKILL)
		}
	}
	back := struck.Add(restartDelay)
	time.Sleep(time.Until(back.Add(recoveryTime + 30*time.Second)))
	close(stop)
	all := jobs()
	time.Sleep(finishTime)
	w.judgeRecovery(all, struck, back)
	w.judgeLost(all)
	return w, nil
}

// completed returns some of the jobs that are done.
func (w *world) completed() []*job {
	w.mu.Lock()
	var all []*job
	for _, j := range w.jobs {
		all = append(all, j)
	}
	w.mu.Unlock()
	var out []*job
	for _, j := range all {
		if len(out) < 20 && w.isDone(j) {
			out = append(out, j)
		}
	}
	return out
}

// judgeRecovery checks the rule RECOVER, and notes the memory of the processes.
func (w *world) judgeRecovery(all []*job, struck, back time.Time) {
	for _, p := range w.entries {
		p.mu.Lock()
		overLimit, peak := p.overLimit, p.peak
		p.mu.Unlock()
		w.note("%s: killed %d times for memory over the limit; at most %d MB were in use", p.name, overLimit, peak>>20)
	}
	var before, after, servedBefore, servedAfter int
	for _, j := range all {
		switch done := w.isDone(j); {
		case j.sent.Before(struck):
			before++
			if done {
				servedBefore++
			}
		case j.sent.After(back.Add(recoveryTime)):
			after++
			if done {
				servedAfter++
			}
		}
	}
	w.note("jobs done: %d of %d sent before the fault, %d of %d sent later than recovery-s after it", servedBefore, before, servedAfter, after)
	if 4*servedBefore >= before && 4*servedAfter < after {
		w.breaks("RECOVER: %d of %d jobs sent later than recovery-s after the machines are back are served", servedAfter, after)
	}
}
