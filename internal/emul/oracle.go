package emul

import (
	"fmt"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// checkStart checks a start that a worker executes. A task must not start after
// its success was acknowledged, while it runs on another worker (unless it is
// speculative), before the steps that it depends on have succeeded, on a worker
// that already runs as many tasks of its step as permitted, after the maximum
// number of failed attempts, or more than cancelBound after a cancellation.
func (e *Emulator) checkStart(w *Worker, r *Run) {
	e.Counts["Runs"]++
	r.job.Runs++
	t := r.ID.Task
	r.job.startedAt[t] = e.now
	if r.job.ackedSucceeded[t] {
		e.violate("%s run %d starts on %s after its success was acknowledged", taskName(t), r.ID.Number, w.Member.Worker)
	}
	if !r.spec.Speculative {
		for _, o := range e.Workers {
			if o.up && o != w {
				o.advance()
			}
			for id := range o.runs {
				if o.up && id.Task == t && id != r.ID {
					e.violate("%s runs on %s and on %s", taskName(t), o.Member.Worker, w.Member.Worker)
				}
			}
		}
	}
	for _, earlierStep := range r.spec.After {
		for i := range r.job.Spec.Steps[earlierStep].Count {
			earlier := sched.RunTask{Job: t.Job, Occurrence: t.Occurrence, Step: earlierStep, Index: i}
			if !e.succeeded(r.job, earlier) {
				e.violate("%s starts before %s has succeeded", taskName(t), taskName(earlier))
			}
		}
	}
	if n := r.spec.AntiAffinity; n > 0 {
		count := 0
		for id := range w.runs {
			if id.Task.Job == t.Job && id.Task.Occurrence == t.Occurrence && id.Task.Step == t.Step {
				count++
			}
		}
		if count > n {
			e.violate("%d tasks of a step run on %s, and %d are permitted", count, w.Member.Worker, n)
		}
	}
	limit := e.Fleet.Queues[r.job.Spec.Queue].MaxAttempts
	if !r.spec.Perpetual && limit > 0 && max(r.job.ackedFailures[t], r.job.ackedFailures[gangCountKey(t)]) >= limit {
		e.violate("%s starts after %d failures", taskName(t), r.job.ackedFailures[t])
	}
	e.checkEvacuation(w, t)
	if !r.job.Cancelled.IsZero() && e.now.Sub(r.job.Cancelled) > cancelBound && e.cancellationsKnown() {
		e.violate("%s starts %s after its cancellation", taskName(t), e.now.Sub(r.job.Cancelled))
	}
}

// checkStop checks a stop that a worker executes. A stop must not make more tasks
// of a step unavailable than the step permits. Tasks on a worker that is draining
// and tasks of a cancelled job may be stopped at any time.
func (e *Emulator) checkStop(w *Worker, r *Run) {
	limit := r.spec.MaxUnavailable
	if limit == 0 || w.Member.Draining || !r.job.Cancelled.IsZero() {
		return
	}
	away := 0
	for i := range r.spec.Count {
		t := r.ID.Task
		t.Index = i
		if i != r.ID.Task.Index && !e.available(t) {
			away++
		}
	}
	if away >= limit {
		e.violate("%s is stopped on %s while %d other tasks of its step are away, and %d may be", taskName(r.ID.Task), w.Member.Worker, away, limit)
	}
}

// available reports whether a task runs on a worker and is not being stopped.
func (e *Emulator) available(t sched.RunTask) bool {
	for _, w := range e.Workers {
		for id, r := range w.runs {
			if id.Task == t && w.up && r.stopAt.IsZero() {
				return true
			}
		}
	}
	return false
}

// cancellationsKnown reports whether leaders have to know the cancellations that are
// older than cancelBound. They need not if the store was down meanwhile, or if
// starts are excused.
func (e *Emulator) cancellationsKnown() bool {
	return !e.store.down && e.now.Sub(e.storeDownChanged) >= cancelBound && !e.now.Before(e.startsExcusedUntil)
}

// ExcuseStarts excuses late starts of cancelled jobs for d, because of a fault that
// the emulator does not know of.
func (e *Emulator) ExcuseStarts(d time.Duration) {
	if until := e.now.Add(d); until.After(e.startsExcusedUntil) {
		e.startsExcusedUntil = until
	}
}

// cancelBound is how long after a cancellation tasks of the job may still start.
const cancelBound = 3 * time.Second

// succeeded reports whether a task has succeeded, acknowledged or not.
func (e *Emulator) succeeded(j *Job, t sched.RunTask) bool {
	return j.succeeded[t]
}

// recordEnd records the end of a run. The success of one member counts for all
// tasks of its gang, because a gang succeeds as a whole.
func (e *Emulator) recordEnd(r *Run, how sched.EndKind) {
	e.Counts["End."+how.String()]++
	if how == sched.EndFailed {
		r.job.failures[r.ID.Task]++
		if r.gang != nil {
			r.job.failures[gangCountKey(r.ID.Task)]++
		}
	}
	if how == sched.EndDone {
		r.job.succeeded[r.ID.Task] = true
		r.job.succeededAt[r.ID] = e.now
		if r.gang != nil {
			for i := range r.spec.Count {
				t := r.ID.Task
				t.Index = i
				r.job.succeeded[t] = true
			}
		}
	}
}

// recordAcknowledged records that a leader has acknowledged the end of a run. The task
// must not have started again since a success, unless the worker's lease expired between.
func (w *Worker) recordAcknowledged(end sched.RunEnd) {
	e := w.e
	j := e.jobs[end.Run.Task.Job]
	if j == nil {
		return
	}
	spec := &j.Spec.Steps[end.Run.Task.Step]
	switch end.How {
	case sched.EndDone:
		if spec.Perpetual || spec.Speculative {
			return
		}
		j.ackedSucceeded[end.Run.Task] = true
		at := j.succeededAt[end.Run]
		if j.startedAt[end.Run.Task].After(at) && !w.expiredAt.After(at) && w.clock() <= w.lease {
			e.violate("%s had succeeded on %s in run %d before its last start", taskName(end.Run.Task), w.Member.Worker, end.Run.Number)
		}
	case sched.EndFailed:
		j.ackedFailures[end.Run.Task]++
		if spec.Gang {
			j.ackedFailures[gangCountKey(end.Run.Task)]++
		}
	}
}

// gangCountKey returns the key under which the failures of a whole gang are counted.
func gangCountKey(t sched.RunTask) sched.RunTask {
	t.Index = -1
	return t
}

// countLost counts a run that was lost without a report when its worker crashed.
func (e *Emulator) countLost() { e.Counts["End.Lost"]++ }

// checkFinalState checks the final state of a job that a leader reports.
func (e *Emulator) checkFinalState(j *Job) {
	switch j.State {
	case sched.JobCompleted:
		for k := range j.Spec.Occurrences() {
			for s := range j.Spec.Steps {
				for i := range j.Spec.Steps[s].Count {
					t := sched.RunTask{Job: j.Spec.ID, Occurrence: k, Step: s, Index: i}
					if !e.succeeded(j, t) {
						e.violate("%s is reported as completed, but %s has not succeeded", j.Spec.ID, taskName(t))
					}
				}
			}
		}
	case sched.JobFailed:
		limit := e.Fleet.Queues[j.Spec.Queue].MaxAttempts
		for _, n := range j.failures {
			if limit > 0 && n >= limit {
				return
			}
		}
		e.violate("%s is reported as failed, but no task has used up its attempts", j.Spec.ID)
	case sched.JobCancelled:
		if j.Cancelled.IsZero() {
			e.violate("%s is reported as cancelled, but nobody cancelled it", j.Spec.ID)
		}
	}
}

// Check returns an error that lists the violations, or nil if there are none.
func (e *Emulator) Check() error {
	if len(e.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d violations:\n%s", len(e.Violations), strings.Join(e.Violations, "\n"))
}

// Running returns the number of runs on all workers. Workers that are down have
// none.
func (e *Emulator) Running() int {
	n := 0
	for _, w := range e.Workers {
		n += len(w.runs)
	}
	return n
}

// tailLatency returns the tail latency of a latency-critical task in
// milliseconds: a random base value, multiplied by the worker's TailFactor, plus
// an amount for each best-effort run on the worker whose image interferes
// with the task's. It also records how long the task misses its target.
// runs holds the runs on the worker in a fixed order.
func (e *Emulator) tailLatency(w *Worker, r *Run, runs []*Run) float64 {
	target := float64(r.spec.TailTarget.Milliseconds())
	tail := target * (0.35 + 0.2*e.Rand.Float64())
	if w.TailFactor > 0 {
		tail *= w.TailFactor
	}
	for _, o := range runs {
		if o.spec.BestEffort && e.Interferes(o.spec.Image, r.spec.Image) {
			tail += target * 8 * o.speed * float64(o.spec.Resources.CPU) / float64(w.Member.Capacity.CPU)
		}
	}
	switch {
	case tail <= target:
		r.missedSince = time.Time{}
	case r.missedSince.IsZero():
		r.missedSince = e.now
	default:
		e.longestMiss = max(e.longestMiss, e.now.Sub(r.missedSince))
	}
	return tail
}

// LongestMiss returns the longest time for which a latency-critical task missed
// its tail latency target without interruption.
func (e *Emulator) LongestMiss() time.Duration { return e.longestMiss }

// sameLastByte reports whether two image names end with the same byte. It is the
// default of [Emulator.Interferes].
func sameLastByte(bestEffort, latencyCritical string) bool {
	if bestEffort == "" || latencyCritical == "" {
		return false
	}
	return bestEffort[len(bestEffort)-1] == latencyCritical[len(latencyCritical)-1]
}

// taskName returns the name of a task in the texts of violations.
func taskName(t sched.RunTask) string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}
