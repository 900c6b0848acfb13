package emul

import (
	"fmt"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// waiter is a lease renewal whose answer waits for the end of a run.
type waiter struct {
	until  time.Time
	answer func()
	done   bool
}

// answerWaiters answers the lease renewals that wait for the end of a run.
func (w *Worker) answerWaiters() {
	for _, x := range w.waiters {
		if !x.done {
			x.done = true
			x.answer()
		}
	}
	w.waiters = nil
}

// acceptToken reports whether the fencing token of an order is not older than the
// newest one seen, and remembers it.
func (w *Worker) acceptToken(token uint64) bool {
	if token < w.fencingToken {
		return false
	}
	w.fencingToken = token
	return true
}

func (w *Worker) reply(refusal sched.OrderRefusal) sched.OrderReply {
	return sched.OrderReply{Refusal: refusal, Clock: w.clock(), HasClock: true}
}

// sheds reports whether the worker refuses an order because it is unhealthy.
func (w *Worker) sheds() bool { return w.ShedShare > 0 && w.e.Rand.Float64() < w.ShedShare }

// Start executes an order to start a run.
func (w *Worker) Start(o sched.StartOrder) sched.OrderReply {
	w.advance()
	if w.sheds() {
		return w.reply(sched.OrderUnhealthy)
	}
	if !w.acceptToken(o.Fence) {
		return w.reply(sched.OrderFenced)
	}
	if w.clock() > o.Deadline {
		return w.reply(sched.OrderPastDeadline)
	}
	w.lease = max(w.lease, min(o.Deadline, w.clock()+maxLease))
	if w.runs[o.Run] != nil {
		return w.reply(sched.OrderAccepted)
	}
	if o.Run.Number <= w.closed[o.Run.Task] {
		return w.reply(sched.OrderStaleRun)
	}
	j := w.e.jobs[o.Run.Task.Job]
	if j == nil {
		w.e.violate("start of an unknown job %s", o.Run.Task.Job)
		return w.reply(sched.OrderInvalid)
	}
	spec := &j.Spec.Steps[o.Run.Task.Step]
	if w.e.Fleet.Queues[j.Spec.Queue].Advised && !w.e.Adviser.admits(o, w) {
		w.e.Counts["NoTicket"]++
		return w.reply(sched.OrderNoTicket)
	}
	if w.RefuseStarts || !spec.Need().Fits(w.Member.Capacity.Sub(w.used)) {
		w.e.Counts["NoRoom"]++
		return w.reply(sched.OrderNoCapacity)
	}
	r := &Run{ID: o.Run, spec: spec, job: j, total: j.Work.total(o.Run.Task), since: w.e.now, speed: 1, fencingToken: o.Fence, worker: w}
	r.remaining = r.total
	if o.Saved != "" {
		var ms int64
		if _, err := fmt.Sscan(o.Saved, &ms); err == nil {
			r.remaining -= time.Duration(ms) * time.Millisecond
		}
	}
	w.runs[o.Run] = r
	w.used = w.used.Add(spec.Need())
	w.e.checkStart(w, r)
	if spec.Gang {
		w.e.join(r)
	}
	w.planEnd(r)
	return w.reply(sched.OrderAccepted)
}

const (
	// maxLease is the longest lease that a worker accepts, counted from the
	// receipt of the order.
	maxLease = 6 * time.Second
	// stopDelay is the time from an order to stop a run until the run ends.
	stopDelay = 200 * time.Millisecond
)

// Stop executes an order to stop a run.
func (w *Worker) Stop(o sched.StopOrder) sched.OrderReply {
	w.advance()
	if w.sheds() {
		return w.reply(sched.OrderUnhealthy)
	}
	if !w.acceptToken(o.Fence) {
		return w.reply(sched.OrderFenced)
	}
	w.closed[o.Run.Task] = max(w.closed[o.Run.Task], o.Run.Number)
	if r := w.runs[o.Run]; r != nil && r.stopAt.IsZero() {
		w.e.checkStop(w, r)
		r.stopAt = w.e.now.Add(stopDelay)
		w.e.After(stopDelay, func() {
			if w.runs[o.Run] == r {
				w.endRun(r, sched.EndStopped)
			}
		})
	}
	return w.reply(sched.OrderAccepted)
}

// Throttle executes an order to throttle a run.
func (w *Worker) Throttle(o sched.ThrottleOrder) sched.OrderReply {
	w.advance()
	if w.sheds() {
		return w.reply(sched.OrderUnhealthy)
	}
	if !w.acceptToken(o.Fence) {
		return w.reply(sched.OrderFenced)
	}
	if r := w.runs[o.Run]; r != nil {
		r.speed = float64(o.Percent) / 100
		w.planEnd(r)
	}
	return w.reply(sched.OrderAccepted)
}

// RenewLease executes a lease renewal and calls reply with the report. With a
// wait in the order and no unacknowledged run end, the report waits for the end
// of a run or for the end of the wait.
func (w *Worker) RenewLease(o sched.RenewOrder, reply func(sched.RenewReport)) {
	w.advance()
	if w.ShedRenewals && w.sheds() {
		reply(sched.RenewReport{Refusal: sched.OrderUnhealthy, Clock: w.clock()})
		return
	}
	if !w.acceptToken(o.Fence) {
		reply(sched.RenewReport{Refusal: sched.OrderFenced, Clock: w.clock()})
		return
	}
	if o.HasDeadline {
		w.lease = max(w.lease, min(o.Deadline, w.clock()+maxLease))
	}
	w.acknowledge(o.Seen)
	if o.Wait == 0 || len(w.ends) > 0 {
		reply(w.report())
		return
	}
	x := &waiter{until: w.e.now.Add(o.Wait)}
	x.answer = func() { reply(w.report()) }
	w.waiters = append(w.waiters, x)
	w.e.After(o.Wait, func() {
		if !x.done {
			x.done = true
			w.advance()
			x.answer()
		}
	})
}

// acknowledge drops run ends up to the sequence number that the leader has
// recorded.
func (w *Worker) acknowledge(lastSeen uint64) {
	for len(w.ends) > 0 && w.ends[0].Seq <= lastSeen {
		w.recordAcknowledged(w.ends[0])
		w.ends = w.ends[1:]
	}
}

// report returns the worker's runs and unacknowledged run ends.
func (w *Worker) report() sched.RenewReport {
	rep := sched.RenewReport{Clock: w.clock(), Born: w.Member.Born, MoreEnds: len(w.ends) >= w.e.EndsPerReport}
	rep.Ended = append(rep.Ended, w.ends[:min(len(w.ends), w.e.EndsPerReport)]...)
	runs := w.sortedRuns()
	for _, r := range runs {
		rr := sched.RunReport{Run: r.ID, Percent: r.percentDone()}
		if r.spec.LatencyCritical() {
			rr.Percent, rr.Load = 100, w.e.tailLatency(w, r, runs)
		} else if !w.Hang {
			rr.Load = r.speed * float64(r.spec.Resources.CPU)
		}
		rep.Running = append(rep.Running, rr)
	}
	return rep
}
