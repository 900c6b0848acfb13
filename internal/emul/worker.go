package emul

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Worker is an emulated worker.
type Worker struct {
	e      *Emulator
	Member sched.Member
	// Rate is the speed of the worker's clock. Clocks of workers run up to 2%
	// slow.
	Rate float64

	up bool
	// listed means that the worker is in the register of workers.
	listed bool
	// incarnation is when the worker last started. Its clock counts from then.
	incarnation time.Time
	// fencingToken is the newest fencing token that an order carried.
	fencingToken uint64
	// lease is the time of the worker's clock at which its lease expires.
	lease time.Duration
	runs  map[sched.Run]*Run
	used  sched.Resources
	// ends holds the run ends that the leader has not acknowledged. seq is the
	// sequence number of the last run end.
	ends []sched.RunEnd
	seq  uint64
	seen uint64
	// closed holds the highest run number of each task that has ended or was
	// ordered to stop. Runs up to this number are not started again.
	closed  map[sched.RunTask]uint64
	waiters []*waiter

	// Slow is the factor by which runs take longer, and FailureShare is the share
	// of runs that fail. Hang means that no run makes progress.
	Slow         float64
	FailureShare float64
	Hang         bool
	// TailFactor is the factor by which all tail latencies on the worker are
	// higher, for a reason that the scheduler cannot see. 0 counts as 1.
	TailFactor float64
	// RefuseStarts means that the worker answers every start with
	// [sched.OrderNoCapacity] although it reports free capacity.
	RefuseStarts bool
}

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

// waiter is a lease renewal whose answer waits for the end of a run.
type waiter struct {
	until  time.Time
	answer func()
	done   bool
}

// AddWorkers adds n workers with the given capacity, eight to a rack.
func (e *Emulator) AddWorkers(n int, capacity sched.Resources) {
	for range n {
		i := len(e.Workers)
		w := &Worker{e: e, Rate: 1 - 0.02*e.Rand.Float64(), Slow: 1, up: true, listed: true}
		w.Member = sched.Member{
			Worker:     sched.WorkerName(fmt.Sprintf("w%03d", i)),
			Service:    Service,
			Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 1),
			DataCentre: sched.DataCentre(fmt.Sprintf("dc%d", i%3)),
			Capacity:   capacity,
			Labels:     []string{"a", fmt.Sprintf("r%d", i/8)},
		}
		w.beginIncarnation()
		e.Workers = append(e.Workers, w)
		e.byName[w.Member.Worker] = w
	}
}

// beginIncarnation resets the state that a worker loses when it restarts.
func (w *Worker) beginIncarnation() {
	w.incarnation = w.e.now
	w.Member.Born = w.e.now.UnixMilli()
	w.fencingToken, w.lease, w.seq, w.seen = 0, 0, 0, 0
	w.runs, w.closed = map[sched.Run]*Run{}, map[sched.RunTask]uint64{}
	w.used, w.ends = sched.Resources{}, nil
	w.answerWaiters()
}

// Crash ends the worker's incarnation and all its runs without a report. The
// worker restarts under the same name after the given time.
func (w *Worker) Crash(restartAfter time.Duration) {
	w.up = false
	for range w.runs {
		w.e.countLost()
	}
	w.dropRuns()
	w.e.After(restartAfter, func() {
		w.beginIncarnation()
		w.up = true
	})
}

// Remove ends the worker permanently and removes it from the register.
func (w *Worker) Remove() {
	w.up, w.listed = false, false
	w.dropRuns()
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

// Drain makes the worker report that it is draining and removes it after the
// given time.
func (w *Worker) Drain(after time.Duration) {
	w.Member.Draining, w.Member.DrainLeft = true, after
	w.e.After(after, w.Remove)
}

// Up reports whether the worker is up.
func (w *Worker) Up() bool { return w.up }

// Running returns the number of runs on the worker.
func (w *Worker) Running() int { return len(w.runs) }

// SetSlow sets the factor by which runs take longer.
func (w *Worker) SetSlow(factor float64) {
	w.advance()
	w.Slow = factor
	w.planEnds()
}

// SetHang sets whether the runs on the worker hang.
func (w *Worker) SetHang(hang bool) {
	w.advance()
	w.Hang = hang
	w.planEnds()
}

// planEnds schedules the ends of all runs again after a change of the worker's
// speed.
func (w *Worker) planEnds() {
	for _, r := range w.sortedRuns() {
		r.since = w.e.now
		w.planEnd(r)
	}
}

// members returns the content of the register of workers.
func (e *Emulator) members() []sched.Member {
	var out []sched.Member
	for _, w := range e.Workers {
		if w.listed {
			out = append(out, w.Member)
		}
	}
	return out
}

// clock returns the worker's own clock, which starts at 0 with each incarnation.
func (w *Worker) clock() time.Duration {
	return time.Duration(float64(w.e.now.Sub(w.incarnation)) * w.Rate)
}

// advance brings the worker's runs up to date: it ends them if the lease has
// expired, and updates their progress otherwise.
func (w *Worker) advance() {
	now := w.e.now
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

// Start executes an order to start a run.
func (w *Worker) Start(o sched.StartOrder) sched.OrderReply {
	w.advance()
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
	r := &Run{ID: o.Run, spec: spec, job: j, total: j.Work.Duration, since: w.e.now, speed: 1, fencingToken: o.Fence, worker: w}
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
		w.e.recordAcknowledged(w.ends[0])
		w.ends = w.ends[1:]
	}
}

// report returns the worker's runs and unacknowledged run ends.
func (w *Worker) report() sched.RenewReport {
	rep := sched.RenewReport{Clock: w.clock(), Born: w.Member.Born, Ended: append([]sched.RunEnd(nil), w.ends...)}
	runs := w.sortedRuns()
	for _, r := range runs {
		rr := sched.RunReport{Run: r.ID, Percent: r.percentDone()}
		if r.spec.LatencyCritical() {
			rr.Percent, rr.Load = 100, w.e.tailLatency(w, r, runs)
		}
		rep.Running = append(rep.Running, rr)
	}
	return rep
}

// percentDone returns the progress of the run in percent.
func (r *Run) percentDone() int {
	if r.total <= 0 {
		return 0
	}
	return int(100 * (r.total - r.remaining) / r.total)
}
