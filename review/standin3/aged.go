//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	agedPrefix = "/lohu930/"
	// agedJobs is how many jobs have ended: those of a day, at the 9.25 jobs a second of
	// the sheet.
	agedJobs = 800_000
	// memoryLimit is limits.memory-mb. The platform kills a process that exceeds it, and
	// starts it again after restartDelay.
	memoryLimit  = 284 << 20
	restartDelay = 500 * time.Millisecond
	downTime     = 760 * time.Millisecond
	recovery     = 12 * time.Second
	lastRequest  = 30 * time.Second
	finishTime   = 14 * time.Second
)

// aged kills all processes once the store holds the records of the jobs of a day, which
// have all ended, and counts which share of the jobs is served that are handed in later.
func aged(w *world, trouble bool) int {
	w.configure(10, queue{Name: "r-1", Prefix: agedPrefix})
	if w.build(12, 0, 6) != nil || !w.startAll() {
		return unable
	}
	time.Sleep(3 * time.Second)
	if served, sent := w.serve(1, 0, 4*time.Second); 2*served < sent {
		return unable
	}
	if !w.addDay(newID(1)) {
		return unable
	}
	served, sent := w.serve(100, 0, 5*time.Second)
	w.logf("before the final fault: %d of %d jobs served", served, sent)
	if 4*served < sent {
		return unable
	}
	if trouble {
		for _, e := range w.entries {
			e.signal(syscall.SIGKILL)
		}
		time.Sleep(downTime)
		for _, e := range w.entries {
			if e.start() != nil {
				return unable
			}
		}
	}
	go w.limitMemory()
	back := time.Now()
	time.Sleep(recovery)
	served, sent = w.serve(1000, recovery, lastRequest)
	w.logf("later than %s after the machines are back, at %s: %d of %d jobs served", recovery, time.Since(back), served, sent)
	if 4*served < sent {
		w.logf("RECOVER: less than a quarter is served")
		return broken
	}
	return held
}

// addDay adds the records of the jobs of a day to the store, as the system itself has
// written those of an ended job. The leader has seen these jobs end long ago and has
// forgotten them.
func (w *world) addDay(id string) bool {
	record, known := w.store.value(layout.JobKey(sched.JobID(id)))
	progressKey := layout.Root + "Progress/"
	progress, ended := w.store.value(progressKey + id)
	decoded, err := layout.DecodeJob(record)
	if !known || !ended || err != nil {
		return false
	}
	items := make([]item, 0, 2*agedJobs)
	for n := range uint64(agedJobs) {
		other := sched.JobID(fmt.Sprintf("%016x", (n+1)*0x9e3779b97f4a7c15))
		decoded.Workflow.ID = other
		items = append(items, item{Key: layout.JobKey(other), Value: layout.Encode(decoded)})
		items = append(items, item{Key: progressKey + string(other), Value: progress})
	}
	w.store.age(items)
	w.logf("the store holds %d ended jobs: records of %d bytes and progress of %d bytes", agedJobs, len(record), len(progress))
	return true
}

// serve hands jobs in, from a number on, during the time between two moments after the
// machines are back. It returns how many were completed within finishTime after that, and
// how many were handed in.
func (w *world) serve(first int, from, to time.Duration) (served, sent int) {
	var all []*job
	for end := time.Now().Add(to - from); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		j := &job{id: newID(first + sent), spec: "(text)", steps: []step{
			{Count: 6, CPU: 2000, Memory: 1024, Estimate: 300, Takes: 300 * time.Millisecond},
		}}
		all = append(all, j)
		go w.submit(agedPrefix, j, sent, 4)
		sent++
	}
	await(finishTime, func() bool {
		served = 0
		for n, j := range all {
			if w.done(j) && w.state(agedPrefix, j.id, n) == "completed" {
				served++
			}
		}
		return served == sent
	})
	return served, sent
}

// limitMemory kills the processes that exceed the limit, as the platform does, and starts
// them again.
func (w *world) limitMemory() {
	for {
		time.Sleep(20 * time.Millisecond)
		for _, e := range w.entries {
			if m := e.memory(); e.alive() && m > memoryLimit {
				w.logf("entry %s has %d MB and is killed by the platform", e.name, m>>20)
				e.kill()
				time.AfterFunc(restartDelay, func() { _ = e.start() })
			}
		}
	}
}
