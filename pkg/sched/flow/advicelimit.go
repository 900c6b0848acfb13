package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// minAdviceWorkers and maxAdviceWorkers bound the workers that one call names.
	// The adviser takes longer for each worker, and every call has a fixed cost.
	minAdviceWorkers = 6
	maxAdviceWorkers = 30
	// maxAdviceCalls bounds the calls in progress. The adviser handles one call of
	// an entry at a time, and the calls are distributed over a few entries.
	maxAdviceCalls = 4
	// ticketMargin is the part of a ticket's validity that is reserved for the
	// delivery of the start, if it is at most a third of the validity.
	ticketMargin = 300 * time.Millisecond
	// ticketUse is how much of a ticket's validity should be left when it arrives. The
	// tasks wait for it, and a pass starts a part of them.
	ticketUse = 500 * time.Millisecond
	// ticketLeast is how long a ticket is used at least, at the expense of the margin, so
	// that a pass takes place meanwhile.
	ticketLeast = 150 * time.Millisecond
	// doubtAfter is after how many calls in a row without a start tickets are used that
	// may have expired.
	doubtAfter = 3
	// doubtPause is how long no such ticket is used after a worker has refused one.
	doubtPause = 30 * time.Second
	// adviceGrowth is the share by which the workers that one call names grow again
	// with each answer that arrives in time.
	adviceGrowth = 4
)

// adviceLimit bounds the calls for one queue, so that tickets are still valid when they
// arrive. It starts from the configured times and follows the answers, because calls of
// other steps or of an earlier leader may come first.
type adviceLimit struct {
	// workers bounds the workers that one call names, and calls the calls at once.
	workers, calls int
	// countsFrom is from when the validity of tickets counts. fromQuestionOnly holds
	// until doubtAgainAt.
	countsFrom   validityStart
	doubtAgainAt time.Time
}

// validityStart says from when the validity of a ticket counts.
type validityStart uint8

const (
	// fromQuestion is assumed as long as tickets can be used that way.
	fromQuestion validityStart = iota
	// fromAnswer is known once a worker has accepted a ticket that would have expired
	// otherwise.
	fromAnswer
	// fromQuestionOnly is assumed for doubtPause after a worker has refused such a
	// ticket. The refusal may have another cause, such as a start that was held up.
	fromQuestionOnly
)

func newAdviceLimit() *adviceLimit {
	return &adviceLimit{workers: maxAdviceWorkers, calls: maxAdviceCalls}
}

// adviceLimit returns the limit of a queue.
func (m *Machine) adviceLimit(q sched.QueueName) *adviceLimit {
	l := m.adviceLimits[q]
	if l == nil {
		l = newAdviceLimit()
		m.adviceLimits[q] = l
	}
	if l.countsFrom == fromQuestionOnly && !m.now.Before(l.doubtAgainAt) {
		l.countsFrom = fromQuestion
	}
	return l
}

// usableFor returns how long a ticket can be used, from when its validity counts.
func usableFor(valid time.Duration) time.Duration {
	return valid - min(ticketMargin, valid/3)
}

// hopeless reports whether no call can have an answer before its tickets expire, by the
// configured times.
func (l *adviceLimit) hopeless(t sched.AdviceTimes) bool {
	return l.countsFrom == fromQuestionOnly && t.Valid > 0 && t.Decide+t.Each >= t.Valid
}

// arrivesInTime reports whether a call that names one worker has an answer while its
// ticket can be used, by the configured times.
func (l *adviceLimit) arrivesInTime(t sched.AdviceTimes) bool {
	return t.Valid == 0 || l.countsFrom == fromAnswer || t.Decide+t.Each < usableFor(t.Valid)
}

// atOnce returns how many calls may be in progress for the steps of the queue. As long as
// it is not known whether any ticket can be used, one call at a time finds that out. A
// gang needs tickets of several calls for that.
func (l *adviceLimit) atOnce(x advisedStep) int {
	if l.arrivesInTime(x.q.Advice) || x.s.spec.Gang {
		return l.calls
	}
	return 1
}

// perCall returns how many workers a call may name.
func (l *adviceLimit) perCall(t sched.AdviceTimes) int {
	if !l.arrivesInTime(t) && l.countsFrom == fromQuestionOnly {
		return 1
	}
	if !l.arrivesInTime(t) {
		return min(l.workers, minAdviceWorkers)
	}
	if t.Valid == 0 || t.Each == 0 || l.countsFrom == fromAnswer {
		return l.workers
	}
	usable := usableFor(t.Valid)
	takes := max(usable/2, usable-ticketUse)
	return min(l.workers, max(int((takes-t.Decide)/t.Each), 1))
}

// judge returns until when the tickets of an answer are used. It adapts the limit to
// whether the tickets arrived in time. fruitless is how many calls in a row led to no
// start.
func (l *adviceLimit) judge(msg AdviseResultMsg, now time.Time, fruitless int) (until time.Time) {
	usable := usableFor(msg.Advice.Valid)
	if l.countsFrom == fromAnswer {
		l.inTime()
		return now.Add(usable)
	}
	until = msg.Sent.Add(usable)
	certain := msg.Sent.Add(msg.Advice.Valid)
	asked := len(msg.Request.Workers)
	switch {
	case len(msg.Advice.Tickets) == 0:
		return until
	case now.Before(until):
		l.inTime()
	case asked > 1 || !now.Before(certain):
		l.late(asked)
	}
	if l.countsFrom == fromQuestion && (!now.Before(certain) || fruitless > doubtAfter) {
		return now.Add(usable)
	}
	if until.Sub(now) < ticketLeast {
		until = now.Add(min(ticketLeast, certain.Sub(now)))
	}
	return until
}

// late makes calls smaller, or fewer if they name one worker each.
func (l *adviceLimit) late(asked int) {
	if asked == 1 {
		l.calls = max(l.calls/2, 1)
	}
	l.workers = max(min(l.workers, asked)/2, 1)
}

// inTime makes calls larger and more again.
func (l *adviceLimit) inTime() {
	l.workers = min(l.workers+max(l.workers/adviceGrowth, 1), maxAdviceWorkers)
	l.calls = min(l.calls+1, maxAdviceCalls)
}

// noteDoubtfulTicket learns from when the validity of tickets counts, from what a worker
// said to a start that was sent after the ticket had expired, if that counts from the
// question.
func (m *Machine) noteDoubtfulTicket(r *run, accepted bool) {
	l := m.adviceLimit(r.task.job().queue)
	before := l.countsFrom
	switch {
	case !r.doubtfulTicket:
	case !accepted:
		l.countsFrom, l.doubtAgainAt = fromQuestionOnly, m.now.Add(doubtPause)
	case before == fromQuestion:
		l.countsFrom = fromAnswer
	}
	if l.countsFrom != before {
		m.log("validity of tickets is known", "queue", r.task.job().queue, "fromAnswer", accepted,
			"id", r.task.job().spec.ID, "task", r.task.name(), "worker", r.worker.name())
	}
}
