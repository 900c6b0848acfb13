package emul

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Run is a run on an emulated worker.
type Run struct {
	ID   sched.Run
	spec *sched.StepSpec
	job  *Job
	// remaining and total are durations at full speed. since is the time for
	// which remaining was last computed.
	remaining time.Duration
	total     time.Duration
	since     time.Time
	// speed is 1 for a run that is not throttled.
	speed float64
	// stopAt is when the run ends after an order to stop, or zero.
	stopAt time.Time
	// endPlan numbers the scheduled ends. Only the newest one takes effect.
	endPlan      uint64
	fencingToken uint64
	worker       *Worker
	// gang is the gang that the run belongs to, or nil.
	gang *gang
	// missedSince is the time from which on the run has missed its tail latency
	// target. It is zero while the run meets the target.
	missedSince time.Time
}

// dropRuns ends all runs without a report to the leader.
func (w *Worker) dropRuns() {
	runs := w.sortedRuns()
	w.runs = map[sched.Run]*Run{}
	for _, r := range runs {
		if r.gang != nil {
			r.gang.remove(r, sched.EndWorkerGone)
		}
	}
}

// progresses reports whether the run makes progress. A member of a gang does so
// from the time when all members run until one of them ends.
func (r *Run) progresses() bool { return r.gang == nil || r.gang.complete && !r.gang.ended }

// planEnds schedules the ends of all runs again after a change of the worker's
// speed.
func (w *Worker) planEnds() {
	for _, r := range w.sortedRuns() {
		r.since = w.e.now
		w.planEnd(r)
	}
}

// advance brings the worker's runs up to date: it ends them if the lease has
// expired, and updates their progress otherwise.
func (w *Worker) advance() {
	now := w.e.now
	if w.clock() > w.lease {
		w.expiredAt = now
	}
	if len(w.runs) > 0 && w.clock() > w.lease {
		for _, r := range w.sortedRuns() {
			if w.runs[r.ID] == r {
				w.endRun(r, sched.EndLeaseExpired)
			}
		}
	}
	for _, r := range w.runs {
		if !r.stopAt.IsZero() {
			continue
		}
		if !w.Hang && r.progresses() {
			r.remaining -= time.Duration(float64(now.Sub(r.since)) * r.speed / w.Slow)
		}
		r.since = now
	}
}

// planEnd schedules the end of a run and cancels the one scheduled earlier.
func (w *Worker) planEnd(r *Run) {
	r.endPlan++
	n := r.endPlan
	if r.spec.Perpetual || w.Hang || r.speed <= 0 || !r.progresses() {
		return
	}
	d := time.Duration(float64(r.remaining) / r.speed * w.Slow)
	w.e.After(max(d, 0), func() {
		if w.runs[r.ID] != r || r.endPlan != n || !r.stopAt.IsZero() {
			return
		}
		w.advance()
		if w.runs[r.ID] != r {
			return
		}
		how := sched.EndDone
		if w.e.Rand.Float64() < w.FailureShare || w.e.Rand.Float64() < r.job.Work.FailureShare {
			how = sched.EndFailed
		}
		if r.gang != nil && how == sched.EndFailed {
			r = r.gang.any(w.e.Rand)
		}
		r.worker.endRun(r, how)
	})
}

// endRun ends a run and keeps the end until the leader acknowledges it.
func (w *Worker) endRun(r *Run, how sched.EndKind) {
	delete(w.runs, r.ID)
	w.used = w.used.Sub(r.spec.Need())
	w.closed[r.ID.Task] = max(w.closed[r.ID.Task], r.ID.Number)
	w.seq++
	saved := ""
	if r.spec.Checkpoint && how != sched.EndDone {
		saved = fmt.Sprintf("%d", (r.total - r.remaining).Milliseconds())
	}
	w.ends = append(w.ends, sched.RunEnd{Seq: w.seq, Run: r.ID, How: how, Saved: saved})
	w.e.recordEnd(r, how)
	if r.gang != nil {
		r.gang.remove(r, how)
	}
	w.answerWaiters()
}

// percentDone returns the progress of the run in percent.
func (r *Run) percentDone() int {
	if r.total <= 0 {
		return 0
	}
	return int(100 * (r.total - r.remaining) / r.total)
}

// sortedRuns returns the runs in a fixed order, so that a simulation with the
// same seed repeats exactly.
func (w *Worker) sortedRuns() []*Run {
	out := make([]*Run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Run) int {
		return cmp.Or(
			cmp.Compare(a.ID.Task.Job, b.ID.Task.Job), cmp.Compare(a.ID.Task.Occurrence, b.ID.Task.Occurrence),
			cmp.Compare(a.ID.Task.Step, b.ID.Task.Step), cmp.Compare(a.ID.Task.Index, b.ID.Task.Index),
			cmp.Compare(a.ID.Number, b.ID.Number),
		)
	})
	return out
}
