package main

import (
	"fmt"
	"time"
)

const (
	// finishTime and lostAfter are the bounds of the rule LOST: finish_s, and for how long
	// nothing of a job may run though it could. awayTime is the bound for a task that lasts.
	finishTime = 14 * time.Second
	lostAfter  = 3 * time.Second
	awayTime   = 6 * time.Second
	// judgeInterval is the interval between two looks at the workers.
	judgeInterval = 50 * time.Millisecond
)

// waiting returns a task whose turn has come, if nothing of the job runs, and "" otherwise.
// A task that lasts counts by itself, from awayTime after its last run.
func (w *world) waiting(j *job) (task string, cpu int) {
	running := false
	for s := range j.steps {
		if !w.isOpen(j, s) {
			continue
		}
		for _, t := range j.taskNames(s) {
			x := w.task(t)
			switch {
			case x.running:
				running = true
			case x.done:
			case j.steps[s].Perpetual:
				if x.starts > 0 && time.Since(x.lastEnd) > awayTime {
					return t, j.steps[s].CPU
				}
			case task == "":
				task, cpu = t, j.steps[s].CPU
			}
		}
	}
	if running {
		return "", 0
	}
	return task, cpu
}

// isOpen reports whether all tasks of the steps before a step have ended done.
func (w *world) isOpen(j *job, s int) bool {
	for _, before := range j.steps[s].After {
		for _, t := range j.taskNames(before) {
			if !w.task(t).done {
				return false
			}
		}
	}
	return true
}

// judgeLost looks at the workers for a while and returns the jobs of which, for lostAfter
// on end, nothing ran while a task's turn had come, there was room for it twice over, and
// under half of the service's capacity was in use. It breaks the rule LOST for each.
func (w *world) judgeLost(jobs []*job) {
	since := map[*job]time.Time{}
	for end := time.Now().Add(lostAfter + time.Second); time.Now().Before(end); time.Sleep(judgeInterval) {
		used, all := w.inUse()
		for _, j := range jobs {
			task, cpu := "", 0
			if !w.acceptedAt(j).IsZero() {
				task, cpu = w.waiting(j)
			}
			switch {
			case task == "" || 2*used >= all || !w.hasRoomTwice(cpu):
				delete(since, j)
			case since[j].IsZero():
				since[j] = time.Now()
			}
		}
	}
	lost := 0
	for _, j := range jobs {
		if at := since[j]; at.IsZero() || time.Since(at) < lostAfter {
			continue
		}
		task, _ := w.waiting(j)
		used, all := w.inUse()
		x := w.task(task)
		w.note("job %s, accepted %.1f s ago, has nothing running for %.1f s; task %s waits (starts %d); %d of %d in use",
			j.id, time.Since(w.acceptedAt(j)).Seconds(), time.Since(since[j]).Seconds(), task, x.starts, used, all)
		lost++
	}
	if lost > 0 {
		w.breaks("LOST: %d of %d accepted jobs have nothing running for 3 s though there is room", lost, w.accepted(jobs))
	}
}

func (w *world) acceptedAt(j *job) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return j.accepted
}

func (w *world) accepted(jobs []*job) int {
	n := 0
	for _, j := range jobs {
		if !w.acceptedAt(j).IsZero() {
			n++
		}
	}
	return n
}

// await waits until a condition holds, for at most d. Otherwise the case cannot run.
func (w *world) await(what string, d time.Duration, holds func() bool) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, d)
}
