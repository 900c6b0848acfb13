package emul

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// Adviser is an emulated adviser. Each step of an advised queue may run on a
// share of the workers, and only the adviser knows which ones.
type Adviser struct {
	// Share is the share of the workers that a step may run on.
	Share float64
	// Decide is the base time of an answer. Each is the additional time for
	// every worker that the question names.
	Decide, Each time.Duration
	// Valid is how long a ticket is valid, from the answer or, with FromQuestion, from
	// when its question was taken up.
	Valid        time.Duration
	FromQuestion bool
	// Down means that the adviser answers no calls.
	Down bool

	// Desks is how many questions are handled at the same time, each on behalf of
	// another entry; 0 counts as 1.
	Desks int

	// freeAt is when each desk has handled its earlier questions.
	freeAt []time.Time
	// tickets holds the expiry of each ticket.
	tickets map[string]time.Time
}

// permits reports whether a step may run on a worker. The result depends only on
// the step, the worker and Share.
func (a *Adviser) permits(step sched.StepRef, name sched.WorkerName) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, step, name) // A write to a hash never fails.
	return float64(h.Sum32()%1000) < a.Share*1000
}

// ticketOf returns the ticket for a step on the current incarnation of a worker.
func ticketOf(step sched.StepRef, w *Worker) string {
	return fmt.Sprintf("%v/%s/%d", step, w.Member.Worker, w.Member.Born)
}

// admits reports whether a start on an advised queue carries a valid ticket.
func (a *Adviser) admits(o sched.StartOrder, w *Worker) bool {
	step := sched.StepRef{Job: o.Run.Task.Job, Occurrence: o.Run.Task.Occurrence, Step: o.Run.Task.Step}
	until, ok := a.tickets[o.Ticket]
	return ok && o.Ticket == ticketOf(step, w) && !w.e.now.After(until)
}

// nextDesk returns the desk that is free first.
func (a *Adviser) nextDesk(now time.Time) *time.Time {
	for len(a.freeAt) < max(a.Desks, 1) {
		a.freeAt = append(a.freeAt, now)
	}
	next := &a.freeAt[0]
	for i := range a.freeAt {
		if a.freeAt[i].Before(*next) {
			next = &a.freeAt[i]
		}
	}
	if next.Before(now) {
		*next = now
	}
	return next
}

// advise answers a question to the adviser. A question waits for a free desk, and counts
// as sent then.
func (l *Leader) advise(cmd flow.AdviseCmd) {
	e, a, sent := l.e, &l.e.Adviser, l.e.now
	e.Counts["Advice"]++
	e.Counts["Advice.Workers"] += len(cmd.Request.Workers)
	if a.Down {
		e.After(orderTimeout, func() {
			l.post(flow.AdviseResultMsg{Request: cmd.Request, Sent: sent, Err: sched.ErrLost})
		})
		return
	}
	free := a.nextDesk(e.now)
	sent = *free
	takes := a.Decide + time.Duration(len(cmd.Request.Workers))*a.Each
	*free = free.Add(takes)
	if timeout := cmd.Request.Timeout; timeout > 0 && takes > timeout {
		e.After(sent.Add(timeout).Sub(e.now), func() {
			l.post(flow.AdviseResultMsg{Request: cmd.Request, Sent: sent, Err: sched.ErrLost})
		})
		return
	}
	answered := *free
	if a.FromQuestion {
		answered = sent
	}
	e.After(free.Sub(e.now)+2*e.Delay, func() {
		out := sched.Advice{Tickets: map[sched.WorkerName]string{}, Valid: a.Valid}
		for _, name := range cmd.Request.Workers {
			if w := e.byName[name]; w != nil && a.permits(cmd.Request.Step, name) {
				out.Tickets[name] = ticketOf(cmd.Request.Step, w)
				if a.tickets == nil {
					a.tickets = map[string]time.Time{}
				}
				a.tickets[out.Tickets[name]] = answered.Add(a.Valid)
			}
		}
		l.post(flow.AdviseResultMsg{Request: cmd.Request, Sent: sent, Advice: out})
	})
}
