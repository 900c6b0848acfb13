package emul

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// waits checks how long perpetual tasks wait for their next run.
type waits struct {
	bound time.Duration
	// since is since when a task waits although there is free capacity for two of it.
	since    map[sched.RunTask]time.Time
	reported map[sched.RunTask]bool
	longest  time.Duration
}

// waitsInterval is the interval at which the waits are checked.
const waitsInterval = 50 * time.Millisecond

// BoundWaits makes it a violation if a perpetual task does not run for longer than bound
// while there is free capacity for two of it.
func (e *Emulator) BoundWaits(bound time.Duration) {
	e.waits = waits{bound: bound, since: map[sched.RunTask]time.Time{}, reported: map[sched.RunTask]bool{}}
	e.checkWaits()
}

// LongestWait returns the longest of these times.
func (e *Emulator) LongestWait() time.Duration { return e.waits.longest }

func (e *Emulator) checkWaits() {
	running := map[sched.RunTask]bool{}
	for _, w := range e.Workers {
		w.advance()
		for id := range w.runs {
			running[id.Task] = running[id.Task] || w.up
		}
	}
	for _, j := range e.submitted {
		for i := range j.Spec.Steps {
			spec := &j.Spec.Steps[i]
			for n := range spec.Count {
				t := sched.RunTask{Job: j.Spec.ID, Step: i, Index: n}
				if !spec.Perpetual || !j.Cancelled.IsZero() || running[t] || !e.fitsTwo(spec) {
					delete(e.waits.since, t)
					continue
				}
				e.checkWait(t)
			}
		}
	}
	e.After(waitsInterval, e.checkWaits)
}

// checkWait checks the wait of a task that does not run.
func (e *Emulator) checkWait(t sched.RunTask) {
	since, waits := e.waits.since[t]
	if !waits {
		e.waits.since[t] = e.now
		return
	}
	e.waits.longest = max(e.waits.longest, e.now.Sub(since))
	if e.now.Sub(since) > e.waits.bound && !e.waits.reported[t] {
		e.waits.reported[t] = true
		e.violate("%s has not run for %s", taskName(t), e.now.Sub(since))
	}
}

// fitsTwo reports whether the workers that stay have free capacity for two tasks of a
// step.
func (e *Emulator) fitsTwo(spec *sched.StepSpec) bool {
	n := 0
	for _, w := range e.Workers {
		if !w.up || !w.listed || w.Member.Draining {
			continue
		}
		free := w.Member.Capacity.Sub(w.used)
		for n < 2 && spec.Need().Fits(free) {
			free = free.Sub(spec.Need())
			n++
		}
	}
	return n >= 2
}
