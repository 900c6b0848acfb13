package flow

import (
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// recoveryLogInterval is the interval between two lines about a recovery in
	// progress.
	recoveryLogInterval = 500 * time.Millisecond
	// maxLoggedNames bounds the workers that one line names.
	maxLoggedNames = 8
)

// recoveryLog holds what the logs tell about the course of the recovery.
type recoveryLog struct {
	beganAt, loggedAt time.Time
	// answers counts the workers that answered, and lastAnswer names the last of
	// them. firstAfter and halfAfter are how long after the beginning the first and
	// half of the workers had answered, zero before that.
	answers               int
	lastAnswer            sched.WorkerName
	firstAfter, halfAfter time.Duration
}

// noteAnswer records the first answer of a worker in this term for the logs.
func (m *Machine) noteAnswer(w *worker) {
	l := &m.recoveryLog
	if !m.recovery.active {
		return
	}
	l.answers++
	l.lastAnswer = w.name()
	if l.answers == 1 {
		l.firstAfter = m.now.Sub(l.beganAt)
	}
	if 2*l.answers >= m.recovery.total && l.halfAfter == 0 {
		l.halfAfter = m.now.Sub(l.beganAt)
	}
}

// logRecovery logs at intervals what a recovery in progress waits for.
func (m *Machine) logRecovery() {
	l := &m.recoveryLog
	if !m.recovery.active || m.now.Sub(l.loggedAt) < recoveryLogInterval {
		return
	}
	l.loggedAt = m.now
	m.log("takeover in progress", append([]any{"term", m.term, "unanswered", len(m.recovery.unanswered), "awaited", len(m.recovery.awaited)}, m.recoveryAttrs()...)...)
}

// recoveryAttrs returns the attributes that tell how long the recovery has taken,
// for which workers it waits, and how many waiting tasks it has held up.
func (m *Machine) recoveryAttrs() []any {
	l := &m.recoveryLog
	return []any{
		"took", m.now.Sub(l.beganAt), "answers", l.answers, "first", l.firstAfter, "half", l.halfAfter,
		"last", l.lastAnswer, "held", m.heldTasks(), "waitsFor", m.unansweredNames(),
	}
}

// unansweredNames returns the first of the workers that the recovery waits for, with
// the state in which they are.
func (m *Machine) unansweredNames() string {
	var names []string
	for _, w := range m.recovery.awaited {
		if !m.recovery.mayHaveRuns(w) {
			continue
		}
		if len(names) == maxLoggedNames {
			break
		}
		state := "listed"
		switch {
		case !w.listed:
			state = "unlisted"
		case w.member.Draining:
			state = "draining"
		}
		if w.answered {
			state += "+partial"
		}
		names = append(names, string(w.name())+":"+state)
	}
	return strings.Join(names, ",")
}

// heldTasks counts the waiting tasks that an earlier leader may have started.
func (m *Machine) heldTasks() int {
	n := 0
	for _, j := range m.live {
		for _, t := range j.tasks() {
			if t.phase == phaseQueued && t.mayBeRunning() {
				n++
			}
		}
	}
	return n
}
