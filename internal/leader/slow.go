package leader

import (
	"fmt"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

const (
	// slowUpdate is the duration of an update of the state machine from which it is
	// logged.
	slowUpdate = 50 * time.Millisecond
	// busyWindow is the time over which updates are added up, and busyShare the share
	// of it that they have to take for the sums to be logged.
	busyWindow = time.Second
	busyShare  = 0.5
)

// updateTotals adds up the updates of the state machine since a given time.
type updateTotals struct {
	since                  time.Time
	updates, passes        int
	busy, pass, longest    time.Duration
	longestWait            time.Duration
	steps, ratings, starts int
	waiting                int
}

// measurement measures one update of the state machine.
type measurement struct {
	t            *term
	msg          sched.Msg
	asked, began time.Time
	wait, took   time.Duration
	effort       flow.Effort
	// waiting counts the messages that waited when the update ended.
	waiting int
	// totals are those of a busy window that ended with this update, nil if none did.
	totals *updateTotals
}

// measure begins to measure the update with a message, before the lock is taken.
func (t *term) measure(msg sched.Msg) *measurement {
	t.waiting.Add(1)
	return &measurement{t: t, msg: msg, asked: time.Now()}
}

// begin records that the lock is held.
func (m *measurement) begin() {
	m.began = time.Now()
	m.wait = m.began.Sub(m.asked)
}

// end records the end of the update. The lock is still held.
func (m *measurement) end() {
	now := time.Now()
	m.took, m.effort = now.Sub(m.began), m.t.machine.Effort()
	m.waiting = int(m.t.waiting.Add(-1))
	sums := &m.t.updates
	if sums.since.IsZero() {
		sums.since = m.began
	}
	sums.add(m)
	window := now.Sub(sums.since)
	if window < busyWindow {
		return
	}
	if float64(sums.busy) >= busyShare*float64(window) {
		ended := *sums
		m.totals = &ended
	}
	*sums = updateTotals{since: now}
}

func (s *updateTotals) add(m *measurement) {
	s.updates++
	if m.effort.Pass > 0 {
		s.passes++
	}
	s.busy += m.took
	s.pass += m.effort.Pass
	s.longest, s.longestWait = max(s.longest, m.took), max(s.longestWait, m.wait)
	s.steps, s.waiting = max(s.steps, m.effort.Steps), max(s.waiting, m.waiting)
	s.ratings += m.effort.Ratings
	s.starts += m.effort.Starts
}

// log logs the update if it was slow, and the sums of a busy window. The lock is not
// held any more.
func (m *measurement) log() {
	log := m.t.l.log
	if m.took >= slowUpdate {
		log.Info("slow update", "term", m.t.number, "message", fmt.Sprintf("%T", m.msg), "took", m.took, "wait", m.wait,
			"waiting", m.waiting, "pass", m.effort.Pass, "order", m.effort.Order, "preempt", m.effort.Preempt,
			"steps", m.effort.Steps, "ratings", m.effort.Ratings, "starts", m.effort.Starts,
			"examined", m.effort.Examined)
	}
	if s := m.totals; s != nil {
		log.Info("state machine is busy", "term", m.t.number, "since", time.Since(s.since), "busy", s.busy, "pass", s.pass,
			"updates", s.updates, "passes", s.passes, "longest", s.longest, "longestWait", s.longestWait,
			"waiting", s.waiting, "steps", s.steps, "ratings", s.ratings, "starts", s.starts)
	}
}
