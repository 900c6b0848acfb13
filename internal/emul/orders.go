package emul

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// orderTimeout is how long a leader waits for the answer to an order other than a
// lease renewal.
const orderTimeout = 300 * time.Millisecond

// deliver sends an order to a worker, with the emulated delays and losses, once the
// leader has sent the orders before it. execute runs on the worker; it calls answer with
// the function that delivers the reply to the leader. If no reply has arrived after
// timeout, fail delivers the failure to the leader.
func (l *Leader) deliver(name sched.WorkerName, timeout time.Duration, execute func(w *Worker, answer func(func())), fail func(error)) {
	l.whenSent(func() { l.send(name, timeout, execute, fail) })
}

// whenSent calls f once the leader has sent the orders before.
func (l *Leader) whenSent(f func()) {
	if l.OrderCost == 0 {
		f()
		return
	}
	if l.busyUntil.Before(l.e.now) {
		l.busyUntil = l.e.now
	}
	l.busyUntil = l.busyUntil.Add(l.OrderCost)
	l.e.After(l.busyUntil.Sub(l.e.now), f)
}

// send sends an order to a worker.
func (l *Leader) send(name sched.WorkerName, timeout time.Duration, execute func(w *Worker, answer func(func())), fail func(error)) {
	e := l.e
	answered := false
	e.After(timeout, func() {
		if !answered {
			answered = true
			fail(sched.ErrLost)
		}
	})
	w := e.byName[name]
	if w == nil || !w.up || l.cut[w] {
		return
	}
	e.After(e.Delay, func() {
		if !w.up {
			return
		}
		lost := e.Rand.Float64() < e.LoseAnswers
		lateness := e.Lateness()
		late := lateness > 0
		run := func() {
			if !w.up {
				return
			}
			received := w.incarnation
			execute(w, func(reply func()) {
				// The connection of a renewal that waits ends with the incarnation.
				if lost || late || l.cut[w] || !w.up || w.incarnation != received {
					return
				}
				e.After(e.Delay+w.AnswerDelay, func() {
					if !answered {
						answered = true
						reply()
					}
				})
			})
		}
		if late {
			e.After(lateness, run)
			return
		}
		run()
	})
}

// Lateness draws how much later than received an order is executed. It is 0 except for
// a share of LateShare, which it counts.
func (e *Emulator) Lateness() time.Duration {
	if e.Rand.Float64() >= e.LateShare {
		return 0
	}
	e.Counts["LateOrders"]++
	return minLateness + time.Duration(e.Rand.Int64N(int64(latenessRange)))
}

func result(name sched.WorkerName, sent time.Time, fence uint64, err error) flow.Result {
	return flow.Result{Worker: name, Sent: sent, Fence: fence, Err: err}
}

// start sends an order to start a run and posts the result to the machine. stop,
// throttle and renewLease do the same for the other orders.
func (l *Leader) start(cmd flow.StartCmd) {
	l.e.Counts["Starts"]++
	sent, name := l.e.now, cmd.Member.Worker
	execute := func(w *Worker, answer func(func())) {
		reply := w.Start(cmd.Order)
		answer(func() {
			l.post(flow.StartResultMsg{Result: result(name, sent, cmd.Order.Fence, nil), Run: cmd.Order.Run, Reply: reply})
		})
	}
	fail := func(err error) {
		l.post(flow.StartResultMsg{Result: result(name, sent, cmd.Order.Fence, err), Run: cmd.Order.Run})
	}
	l.whenSent(func() {
		if l.OrderCost > 0 && !l.dead && l.LostReason == "" && !l.Machine.Wanted(l.e.now, name, cmd.Order.Run) {
			fail(flow.ErrWithdrawn)
			return
		}
		l.send(name, orderTimeout, execute, fail)
	})
}

func (l *Leader) stop(cmd flow.StopCmd) {
	l.e.Counts["Stops"]++
	sent, name := l.e.now, cmd.Member.Worker
	l.deliver(name, orderTimeout, func(w *Worker, answer func(func())) {
		reply := w.Stop(cmd.Order)
		answer(func() {
			l.post(flow.StopResultMsg{Result: result(name, sent, cmd.Order.Fence, nil), Run: cmd.Order.Run, Reply: reply})
		})
	}, func(err error) {
		l.post(flow.StopResultMsg{Result: result(name, sent, cmd.Order.Fence, err), Run: cmd.Order.Run})
	})
}

func (l *Leader) throttle(cmd flow.ThrottleCmd) {
	l.e.Counts["Paces"]++
	sent, name := l.e.now, cmd.Member.Worker
	l.deliver(name, orderTimeout, func(w *Worker, answer func(func())) {
		reply := w.Throttle(cmd.Order)
		answer(func() {
			l.post(flow.ThrottleResultMsg{
				Result: result(name, sent, cmd.Order.Fence, nil), Run: cmd.Order.Run, Percent: cmd.Order.Percent, Reply: reply,
			})
		})
	}, func(err error) {
		l.post(flow.ThrottleResultMsg{Result: result(name, sent, cmd.Order.Fence, err), Run: cmd.Order.Run, Percent: cmd.Order.Percent})
	})
}

func (l *Leader) renewLease(cmd flow.RenewCmd) {
	l.e.Counts["Holds"]++
	sent, name := l.e.now, cmd.Member.Worker
	l.deliver(name, cmd.Order.Wait+cmd.Timeout, func(w *Worker, answer func(func())) {
		w.RenewLease(cmd.Order, func(rep sched.RenewReport) {
			answer(func() {
				l.post(flow.RenewResultMsg{Result: result(name, sent, cmd.Order.Fence, nil), Seq: cmd.Seq, Report: rep})
			})
		})
	}, func(err error) {
		l.post(flow.RenewResultMsg{Result: result(name, sent, cmd.Order.Fence, err), Seq: cmd.Seq})
	})
}
