// Package admit handles one request from its arrival to its answer: it begins
// the idempotency key, chooses the place of each attempt, retries failed
// attempts and decides the answer to the caller.
//
// No other layer retries attempts. The machine retries an attempt with an
// unknown outcome only if the request is idempotent, and answers NotRun only if
// no attempt can have run. It always finishes the key of a request that was
// allowed to run, even if the caller has closed its connection.
//
// # Usage
//
//	m := admit.New(retrier)
//	cmds := m.Update(now, admit.StartMsg{Deadline: deadline, Keyed: true})
//	// cmds holds admit.BeginKeyCmd{}; report its result as a KeyVerdictMsg.
//	// Execute the commands of each Update until m.Done() returns true.
//
// The runner keeps the machine until Done returns true, because a KeyVerdictMsg
// or an AttemptEndedMsg may arrive after the answer to the caller.
package admit

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/retry"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// StartMsg is the arrival of a request.
type StartMsg struct {
	Deadline time.Time
	// Keyed means that the request carries an idempotency key.
	Keyed bool
	// Idempotent means that the service may run the method more than once.
	Idempotent bool
}

// KeyVerdictMsg is the result of a BeginKeyCmd: the decision of the key's owner
// whether the request may run. If the call to the owner failed, the verdict is
// Refused.
type KeyVerdictMsg struct {
	Verdict dedup.Verdict
	Reason  sched.Reason
	Answer  *dedup.Answer
	// Lost means that the owner may have recorded the key although the answer to
	// the call was not received.
	Lost bool
}

// PlaceMsg is the result of a PlaceCmd: the places that may run the request,
// best first. The list is empty if no owner of a suitable shard is known.
type PlaceMsg struct{ Places []route.Place }

// AttemptEndedMsg is the end of an attempt.
type AttemptEndedMsg struct {
	Attempt int
	Outcome sched.Outcome
	Reason  sched.Reason
	// AnswerStarted means that part of the answer was already sent to the caller.
	AnswerStarted bool
}

// WaitedMsg is the end of a WaitCmd.
type WaitedMsg struct{}

// DeadlineMsg reports that the deadline of the request has passed.
type DeadlineMsg struct{}

// CallerGoneMsg reports that the caller has closed its connection.
type CallerGoneMsg struct{}

// BeginKeyCmd asks the owner of the key's shard whether the request may run.
type BeginKeyCmd struct{}

// PlaceCmd asks for the places that may run the request.
type PlaceCmd struct{}

// AttemptCmd runs the request at a place, which may queue it first.
type AttemptCmd struct {
	// Attempt counts from 1.
	Attempt int
	Place   route.Place
}

// CancelAttemptCmd cancels an attempt. The runner still reports the end of the
// attempt, with the outcome as far as it is known.
type CancelAttemptCmd struct{ Attempt int }

// WaitCmd asks for a WaitedMsg after a delay.
type WaitCmd struct{ Duration time.Duration }

// FinishKeyCmd reports the outcome to the key's owner, with the answer if the
// request ran.
type FinishKeyCmd struct{ Outcome sched.Outcome }

// AnswerCmd answers the caller; there is exactly one for each request. The
// runner always logs the answer, and writes it unless the caller is gone.
type AnswerCmd struct {
	Outcome sched.Outcome
	// Reason is empty if a target answered, or if Answer repeats the answer of
	// an earlier call.
	Reason sched.Reason
	// Answer is the answer to the first call with the key, or nil.
	Answer *dedup.Answer
	// Abort means that part of an answer was sent to the caller and the rest is
	// missing, so the runner aborts the caller's connection.
	Abort bool
	// Gone means that the caller has closed its connection.
	Gone bool
}

// state is the step that a request has reached.
type state uint8

const (
	idle state = iota
	// beginning waits for a KeyVerdictMsg.
	beginning
	// placing waits for a PlaceMsg.
	placing
	// attempting waits for an AttemptEndedMsg.
	attempting
	// waiting waits for a WaitedMsg, that is, for the delay before a retry.
	waiting
	done
)

// Machine is the state machine of one request.
type Machine struct {
	retrier sched.Retrier
	start   StartMsg
	state   state
	attempt int
	place   route.Place
	failed  []route.Place
	// mayHaveRunReason is the reason that the first attempt with an unknown
	// outcome reported.
	mayHaveRunReason sched.Reason
	mayHaveRun       bool
	// mustFinishKey means that the key's owner may have recorded the key for
	// this request, so that the outcome has to be reported to it.
	mustFinishKey bool
	expired       bool
	gone          bool
	answered      bool
	out           []sched.Cmd
}

var _ sched.Machine = (*Machine)(nil)

// New returns the machine of a request. Requests of one service share a
// retrier.
func New(retrier sched.Retrier) *Machine { return &Machine{retrier: retrier} }

// Done reports whether the request has ended and the machine expects no more
// messages.
func (m *Machine) Done() bool { return m.state == done }

// Update implements [sched.Machine].
func (m *Machine) Update(now time.Time, msg sched.Msg) []sched.Cmd {
	m.out = nil
	switch msg := msg.(type) {
	case StartMsg:
		m.begin(now, msg)
	case KeyVerdictMsg:
		m.keyDecided(now, msg)
	case PlaceMsg:
		m.placed(now, msg)
	case AttemptEndedMsg:
		m.ended(now, msg)
	case WaitedMsg:
		m.waited()
	case DeadlineMsg:
		m.deadline()
	case CallerGoneMsg:
		m.callerGone()
	}
	return m.out
}

func (m *Machine) emit(c sched.Cmd) { m.out = append(m.out, c) }

func (m *Machine) begin(now time.Time, msg StartMsg) {
	if m.state != idle {
		return
	}
	m.start = msg
	if !now.Before(msg.Deadline) {
		m.finish(sched.NotRun, sched.ReasonDeadlineExceeded)
		return
	}
	if msg.Keyed {
		m.state = beginning
		m.emit(BeginKeyCmd{})
		return
	}
	m.askPlace()
}

func (m *Machine) askPlace() {
	m.state = placing
	m.emit(PlaceCmd{})
}

// keyDecided continues according to the decision of the key's owner.
func (m *Machine) keyDecided(now time.Time, msg KeyVerdictMsg) {
	if m.state != beginning {
		return
	}
	m.mustFinishKey = msg.Verdict == dedup.Go || msg.Lost
	switch {
	case m.answered:
		m.finish(sched.NotRun, sched.ReasonDeadlineExceeded)
	case msg.Verdict == dedup.Go && (m.gone || !now.Before(m.start.Deadline)):
		m.finish(sched.NotRun, sched.ReasonDeadlineExceeded)
	case msg.Verdict == dedup.Go:
		m.askPlace()
	case msg.Verdict == dedup.Repeat:
		m.answer(AnswerCmd{Outcome: sched.Ran, Answer: msg.Answer})
		m.state = done
	default:
		// The request was not allowed to run, so it has not run, even if the
		// first call with the key has.
		m.finishKey(sched.NotRun)
		m.finish(msg.Reason.Outcome(), msg.Reason)
	}
}

// placed starts an attempt at the best place where no attempt has failed, or at
// the best place if attempts have failed at all of them.
func (m *Machine) placed(now time.Time, msg PlaceMsg) {
	if m.state != placing {
		return
	}
	if len(msg.Places) == 0 {
		m.fail(sched.ReasonNoOwner)
		return
	}
	m.place = msg.Places[0]
	for _, p := range msg.Places {
		if !slices.Contains(m.failed, p) {
			m.place = p
			break
		}
	}
	if m.attempt == 0 {
		m.retrier.Observe(now)
	}
	m.attempt++
	m.state = attempting
	m.emit(AttemptCmd{Attempt: m.attempt, Place: m.place})
}

// ended answers the caller or starts a retry after an attempt.
func (m *Machine) ended(now time.Time, msg AttemptEndedMsg) {
	if m.state != attempting || msg.Attempt != m.attempt {
		return
	}
	if msg.Outcome == sched.NotRun && msg.Reason.Outcome() != sched.NotRun {
		// The reason contradicts the outcome. NotRun is answered only if it is
		// certain.
		msg.Outcome = sched.Unknown
	}
	if msg.Outcome == sched.Unknown && !m.mayHaveRun {
		m.mayHaveRun = true
		m.mayHaveRunReason = msg.Reason
	}
	switch {
	case msg.Outcome == sched.Ran:
		m.finish(sched.Ran, "")
	case msg.AnswerStarted:
		m.abort(msg.Reason)
	case m.retry(now, msg):
		m.failed = append(m.failed, m.place)
	default:
		m.fail(msg.Reason)
	}
}

// retry starts the delay before another attempt, and reports whether another
// attempt is allowed.
func (m *Machine) retry(now time.Time, msg AttemptEndedMsg) bool {
	if m.gone || m.expired || !retry.Eligible(msg.Outcome, msg.Reason, m.start.Idempotent) {
		return false
	}
	delay, ok := m.retrier.Allow(now, m.start.Deadline, m.attempt)
	if !ok {
		return false
	}
	m.state = waiting
	m.emit(WaitCmd{Duration: delay})
	return true
}

func (m *Machine) waited() {
	if m.state == waiting {
		m.askPlace()
	}
}
