package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// A booking keeps the capacity of a worker for a step with tasks that have been away too
// long. Short tasks run on the worker and end soon, but others would start on each
// piece of capacity that they leave, so that the larger task would wait for ever.

const (
	// maxBookedShare is the share of the workers that may be booked at the same time.
	// The others stay open to short tasks.
	maxBookedShare = 0.25
	// maxBookingTime is how long a booking lasts. After it another worker may do better.
	maxBookingTime = 2 * time.Second
)

// booking is the step for which the capacity of a worker is kept, and since when. The
// step is nil if there is none.
type booking struct {
	step *step
	at   time.Time
}

// openTo reports whether the worker is not booked for another step.
func (w *worker) openTo(s *step) bool { return w.booking.step == nil || w.booking.step == s }

// freeFor returns the capacity of a worker that tasks of a step may take.
func (w *worker) freeFor(s *step) sched.Resources {
	if w.openTo(s) {
		return w.free()
	}
	return w.free().Sub(w.booking.step.spec.Need())
}

// bookings holds the bookings at the time of a pass.
type bookings struct {
	byStep             map[*step]int
	all, usableWorkers int
	// afterShort holds what each worker had free once its short tasks had ended when the
	// pass first booked one, in the order of the workers. most is an upper bound in each
	// dimension.
	afterShort []sched.Resources
	most       sched.Resources
}

// releaseBookings ends the bookings that are not needed any more or that did not help,
// and counts the others.
func (p *pass) releaseBookings() {
	p.bookings = bookings{byStep: map[*step]int{}}
	for _, w := range p.m.order {
		usable := p.m.usable(w)
		if usable {
			p.bookings.usableWorkers++
		}
		s := w.booking.step
		if s == nil {
			continue
		}
		if !usable || p.m.now.Sub(w.booking.at) > maxBookingTime || p.bookings.byStep[s] >= p.m.countAway(s) {
			w.booking = booking{}
			continue
		}
		p.bookings.byStep[s]++
		p.bookings.all++
	}
}

// bookFor books workers for the tasks of a step that have been away too long and
// were not placed.
func (p *pass) bookFor(s *step, q sched.Queue) {
	for n := p.m.countAway(s) - p.bookings.byStep[s]; n > 0; n-- {
		if float64(p.bookings.all) >= maxBookedShare*float64(p.bookings.usableWorkers) {
			return
		}
		w := p.bookable(s, q)
		if w == nil {
			return
		}
		w.booking = booking{s, p.m.now}
		p.bookings.byStep[s]++
		p.bookings.all++
	}
}

// bookable returns the worker that lacks the least capacity for a task of a step of
// those where it fits once the short tasks have ended, or nil.
func (p *pass) bookable(s *step, q sched.Queue) *worker {
	p.addUpShort()
	need := s.spec.Need()
	if !need.Fits(p.bookings.most) {
		return nil
	}
	var best *worker
	for i, w := range p.m.order {
		if w.booking.step != nil || !need.Fits(p.bookings.afterShort[i]) || best != nil && w.free().CPU <= best.free().CPU {
			continue
		}
		if need.Fits(w.freeAfterShort()) && p.m.acceptable(s.tasks[0], w, q) {
			best = w
		}
	}
	return best
}

// addUpShort computes what the workers have free once their short tasks have ended,
// unless this pass has done so.
func (p *pass) addUpShort() {
	b := &p.bookings
	if b.afterShort != nil {
		return
	}
	b.afterShort = make([]sched.Resources, len(p.m.order))
	for i, w := range p.m.order {
		free := w.freeAfterShort()
		b.afterShort[i] = free
		b.most.CPU = max(b.most.CPU, free.CPU)
		b.most.Memory = max(b.most.Memory, free.Memory)
		b.most.Accelerators = max(b.most.Accelerators, free.Accelerators)
	}
}

// freeAfterShort returns the free capacity of a worker once the runs that end by
// themselves or are being stopped have ended.
func (w *worker) freeAfterShort() sched.Resources {
	free := w.free()
	for _, r := range w.list {
		if spec := r.task.step.spec; r.state == runStopping || !spec.Perpetual && !spec.BestEffort {
			free = free.Add(r.need)
		}
	}
	return free
}

// countAway returns how many waiting tasks of a step have been away too long.
func (m *Machine) countAway(s *step) int {
	n := 0
	for _, t := range s.tasks {
		if m.awayTooLong(t) {
			n++
		}
	}
	return n
}
