package emul

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// orderTimeout is how long a leader waits for the answer to an order.
const orderTimeout = 300 * time.Millisecond

// deliver carries an order to a worker. carry executes it there and returns
// the function that delivers the answer; fail delivers the failure.
func (l *Leader) deliver(name sched.WorkerName, carry func(w *Worker, answer func(func())), fail func(error)) {
	e := l.e
	w := e.byName[name]
	if w == nil || !w.up || l.cut[w] {
		e.After(orderTimeout, func() { fail(sched.ErrLost) })
		return
	}
	e.After(e.Delay, func() {
		if !w.up {
			e.After(orderTimeout, func() { fail(sched.ErrLost) })
			return
		}
		lost := e.Rand.Float64() < e.LoseAnswers
		late := e.Rand.Float64() < e.Late
		born := w.born
		run := func() {
			if !w.up || w.born != born && late {
				return
			}
			carry(w, func(reply func()) {
				if !lost && !late && !l.cut[w] {
					e.After(e.Delay, reply)
				}
			})
		}
		if lost || late {
			e.After(orderTimeout, func() { fail(sched.ErrLost) })
		}
		if late {
			e.After(lateLeast+time.Duration(e.Rand.Int64N(int64(lateSpread))), run)
			return
		}
		run()
	})
}

func result(name sched.WorkerName, sent time.Time, err error) flow.Result {
	return flow.Result{Worker: name, Sent: sent, Err: err}
}

func (l *Leader) start(cmd flow.StartCmd) {
	l.e.Counts["Starts"]++
	sent, name := l.e.now, cmd.Member.Worker
	l.deliver(name, func(w *Worker, answer func(func())) {
		reply := w.Start(cmd.Order)
		answer(func() {
			l.post(flow.StartResultMsg{Result: result(name, sent, nil), Run: cmd.Order.Run, Reply: reply})
		})
	}, func(err error) {
		l.post(flow.StartResultMsg{Result: result(name, sent, err), Run: cmd.Order.Run})
	})
}

func (l *Leader) stop(cmd flow.StopCmd) {
	l.e.Counts["Stops"]++
	sent, name := l.e.now, cmd.Member.Worker
	l.deliver(name, func(w *Worker, answer func(func())) {
		reply := w.Stop(cmd.Order)
		answer(func() {
			l.post(flow.StopResultMsg{Result: result(name, sent, nil), Run: cmd.Order.Run, Reply: reply})
		})
	}, func(err error) {
		l.post(flow.StopResultMsg{Result: result(name, sent, err), Run: cmd.Order.Run})
	})
}

func (l *Leader) pace(cmd flow.PaceCmd) {
	l.e.Counts["Paces"]++
	sent, name := l.e.now, cmd.Member.Worker
	l.deliver(name, func(w *Worker, answer func(func())) {
		reply := w.SetPace(cmd.Order)
		answer(func() {
			l.post(flow.PaceResultMsg{
				Result: result(name, sent, nil), Run: cmd.Order.Run, Percent: cmd.Order.Percent, Reply: reply,
			})
		})
	}, func(err error) {
		l.post(flow.PaceResultMsg{Result: result(name, sent, err), Run: cmd.Order.Run, Percent: cmd.Order.Percent})
	})
}

func (l *Leader) hold(cmd flow.HoldCmd) {
	l.e.Counts["Holds"]++
	sent, name := l.e.now, cmd.Member.Worker
	answered := false
	l.deliver(name, func(w *Worker, answer func(func())) {
		w.Hold(cmd.Order, func(rep sched.HoldReport) {
			answer(func() {
				if !answered {
					answered = true
					l.post(flow.HoldResultMsg{Result: result(name, sent, nil), Seq: cmd.Seq, Report: rep})
				}
			})
		})
	}, func(err error) {
		if !answered {
			answered = true
			l.post(flow.HoldResultMsg{Result: result(name, sent, err), Seq: cmd.Seq})
		}
	})
	l.e.After(cmd.Order.Wait+orderTimeout, func() {
		if !answered {
			answered = true
			l.post(flow.HoldResultMsg{Result: result(name, sent, sched.ErrLost), Seq: cmd.Seq})
		}
	})
}

// sorted returns the runs in a fixed order.
func (w *Worker) sorted() []*Run {
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
