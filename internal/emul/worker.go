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
	// bornBefore identifies the incarnation before this one, 0 if there was none. The
	// register shows it until registeredAt.
	bornBefore   int64
	registeredAt time.Time
	// fencingToken is the newest fencing token that an order carried.
	fencingToken uint64
	// lease is the time of the worker's clock at which its lease expires.
	lease time.Duration
	// expiredAt is when the lease was last noticed to have expired.
	expiredAt time.Time
	runs      map[sched.Run]*Run
	used      sched.Resources
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
	// AnswerDelay is how long the worker's answers take in addition.
	AnswerDelay time.Duration
	// ShedShare is the share of orders other than lease renewals that the worker refuses
	// with [sched.OrderUnhealthy] and does not carry out.
	ShedShare float64
	// ShedRenewals means that ShedShare applies to lease renewals, too.
	ShedRenewals bool
	// TimeOfDayShift is by how much the worker's time of day is wrong. It identifies
	// the incarnations that begin from now on.
	TimeOfDayShift time.Duration
	// RefuseStarts means that the worker answers every start with
	// [sched.OrderNoCapacity] although it reports free capacity.
	RefuseStarts bool
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
	w.bornBefore, w.registeredAt = w.Member.Born, w.e.now.Add(w.e.RegisterLag)
	w.Member.Born = w.e.now.Add(w.TimeOfDayShift).UnixMilli()
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

// Unlist removes the worker from the register, although it still answers.
func (w *Worker) Unlist() { w.listed = false }

// Drain makes the worker report that it is draining and removes it after the
// given time.
func (w *Worker) Drain(after time.Duration) {
	w.Member.Draining, w.Member.DrainLeft = true, after
	w.e.After(after, w.Remove)
}

// Up reports whether the worker is up.
func (w *Worker) Up() bool { return w.up }

// Started returns when the current incarnation started.
func (w *Worker) Started() time.Time { return w.incarnation }

// Registered reports whether the register shows the current incarnation yet.
func (w *Worker) Registered() bool {
	return w.bornBefore == 0 || !w.e.now.Before(w.registeredAt)
}

// Running returns the number of runs on the worker.
func (w *Worker) Running() int { return len(w.runs) }

// RunningOf returns the number of a job's runs on the worker.
func (w *Worker) RunningOf(id sched.JobID) (n int) {
	for r := range w.runs {
		if r.Task.Job == id {
			n++
		}
	}
	return n
}

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

// members returns the content of the register of workers.
func (e *Emulator) members() []sched.Member {
	var out []sched.Member
	for _, w := range e.Workers {
		if !w.listed {
			continue
		}
		m := w.Member
		if !w.Registered() {
			m.Born = w.bornBefore
		}
		out = append(out, m)
	}
	return out
}

// clock returns the worker's own clock, which starts at 0 with each incarnation.
func (w *Worker) clock() time.Duration {
	return time.Duration(float64(w.e.now.Sub(w.incarnation)) * w.Rate)
}
