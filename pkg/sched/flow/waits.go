package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// waitLogAfter is how long a task has to wait before the logs tell why no worker
	// is suitable. waitLogInterval is the interval between such lines, and
	// maxWaitLines bounds them at one time.
	waitLogAfter    = 2 * time.Second
	waitLogInterval = time.Second
	maxWaitLines    = 3
)

// logWaits logs, for the tasks that have waited longest, how many workers are not
// suitable for which reason.
func (m *Machine) logWaits() {
	if !m.loaded || m.now.Sub(m.waitsLoggedAt) < waitLogInterval {
		return
	}
	m.waitsLoggedAt = m.now
	// A pass at the same time must not see what is cached here.
	ratings, capacity, free := m.ratings, m.usableCapacity, m.criticalFree
	away, booked := m.awaySums()
	for _, t := range m.longestWaits() {
		fits := t.step.fitsTwo
		m.log("task waits", append(m.waitAttrs(t), "allAway", away, "allBooked", booked)...)
		t.step.fitsTwo = fits
	}
	m.ratings, m.usableCapacity, m.criticalFree = ratings, capacity, free
}

// awaySums returns how many tasks have been away too long, and how many workers are
// booked.
func (m *Machine) awaySums() (away, booked int) {
	for _, j := range m.live {
		for _, t := range j.tasks() {
			if m.awayTooLong(t) {
				away++
			}
		}
	}
	for _, w := range m.order {
		if w.booking.step != nil {
			booked++
		}
	}
	return away, booked
}

// longestWaits returns the first waiting task of each of the steps that have waited
// longest.
func (m *Machine) longestWaits() []*task {
	var out []*task
	for _, j := range m.live {
		for _, o := range j.occurrences {
			if o == nil {
				continue
			}
			for _, s := range o.steps {
				if t := s.longestWait(); t != nil && m.now.Sub(t.queuedAt) >= waitLogAfter {
					out = append(out, t)
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *task) int { return a.queuedAt.Compare(b.queuedAt) })
	return out[:min(len(out), maxWaitLines)]
}

// longestWait returns the task of a step that has waited longest for a worker, or
// nil.
func (s *step) longestWait() *task {
	var longest *task
	if s.queued == 0 {
		return nil
	}
	for _, t := range s.tasks {
		if t.phase == phaseQueued && (longest == nil || t.queuedAt.Before(longest.queuedAt)) {
			longest = t
		}
	}
	return longest
}

// waitAttrs returns the attributes that tell why a task waits.
func (m *Machine) waitAttrs(t *task) []any {
	j := t.job()
	capacity := m.currentCapacity()
	out := []any{
		"id", j.spec.ID, "task", t.name(), "waited", m.now.Sub(t.queuedAt), "reason", t.step.blocked,
		"held", t.mayBeRunning(), "perpetual", t.step.spec.Perpetual, "need", t.step.spec.Need(),
		"free", capacity.free, "total", capacity.total,
	}
	counts := m.countUnsuitable(t, m.fleet.Queues[j.queue])
	for reason, n := range counts {
		if n > 0 {
			out = append(out, unsuitableNames[reason], n)
		}
	}
	return out
}

// unsuitable is a reason why a worker is not suitable for a task.
type unsuitable uint8

const (
	suitable unsuitable = iota
	unlisted
	draining
	evacuated
	unrostered
	unanswered
	suspected
	slow
	full
	otherService
	noLabel
	tooMany
	noTicket
	noCapacity
	booked
	reserved
	excluded
	unsuitableReasons
)

// unsuitableNames are the names of the counts in a log line. excluded stands for
// interference, a missed target, or a rack without the data of the task.
var unsuitableNames = [unsuitableReasons]string{
	"suitable", "unlisted", "draining", "evacuated", "unrostered", "unanswered", "suspected", "slow", "full", "otherService",
	"noLabel", "tooMany", "noTicket", "noCapacity", "booked", "reserved", "excluded",
}

// countUnsuitable counts the workers by the first reason that applies.
func (m *Machine) countUnsuitable(t *task, q sched.Queue) (counts [unsuitableReasons]int) {
	for _, w := range m.order {
		counts[m.whyUnsuitable(t, w, q)]++
	}
	return counts
}

// whyUnsuitable returns the first reason why a worker is not suitable for a task.
func (m *Machine) whyUnsuitable(t *task, w *worker, q sched.Queue) unsuitable {
	s := t.step.spec
	switch {
	case !w.listed:
		return unlisted
	case w.member.Draining:
		return draining
	case m.evacuated(w):
		return evacuated
	case !w.rostered:
		return unrostered
	case !w.accounted || !w.hasClock || w.replaced:
		return unanswered
	case w.suspected:
		return suspected
	case w.slow:
		return slow
	case !m.usable(w):
		return full
	case w.member.Service != q.Service:
		return otherService
	case s.Requires != "" && !slices.Contains(w.member.Labels, s.Requires):
		return noLabel
	case !m.permittedByStep(t, w, q):
		return tooMany
	case !m.permittedByAdviser(t.step, w, q):
		return noTicket
	case !s.Need().Fits(w.free()):
		return noCapacity
	case !s.Need().Fits(w.freeFor(t.step)):
		return booked
	}
	if _, ok := m.score(t, w); ok {
		return suitable
	}
	if s.Perpetual && !s.BestEffort && m.usesReserve(s.Need().CPU) {
		return reserved
	}
	return excluded
}
