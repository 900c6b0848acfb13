package admit

import "github.com/mangoslip/mangoslip/pkg/sched"

// deadline ends the request. If an attempt may be running, it cancels the
// attempt instead, and the end of the attempt decides the answer.
func (m *Machine) deadline() {
	m.expired = true
	switch m.state {
	case beginning:
		// The first call with the key may be running. The caller could take
		// NotRun for the outcome of that call.
		m.answer(AnswerCmd{Outcome: sched.Unknown, Reason: sched.ReasonFirstCallUnknown})
	case placing, waiting:
		m.fail(sched.ReasonDeadlineExceeded)
	case attempting:
		m.emit(CancelAttemptCmd{Attempt: m.attempt})
	}
}

// callerGone ends the request, but lets an attempt of a request with a key
// finish, because the caller may repeat the request to get its answer.
func (m *Machine) callerGone() {
	m.gone = true
	switch {
	case m.state == placing || m.state == waiting:
		m.fail(sched.ReasonDeadlineExceeded)
	case m.state == attempting && !m.start.Keyed:
		m.emit(CancelAttemptCmd{Attempt: m.attempt})
	}
}

// fail ends the request without an answer of a target. If an attempt may have
// run, the outcome is Unknown; otherwise it is NotRun.
func (m *Machine) fail(reason sched.Reason) {
	if m.mayHaveRun {
		m.finish(sched.Unknown, m.unknownReason())
		return
	}
	m.finish(sched.NotRun, reason)
}

// unknownReason returns the reason for an answer with the outcome Unknown. It
// replaces a reason with another outcome, which would contradict the answer.
func (m *Machine) unknownReason() sched.Reason {
	if m.mayHaveRunReason == "" || m.mayHaveRunReason.Outcome() != sched.Unknown {
		return sched.ReasonTargetBroken
	}
	return m.mayHaveRunReason
}

// abort ends a request whose answer broke off after part of it was sent to the
// caller. A target that began to answer may have run the request, even if the
// attempt was reported otherwise.
func (m *Machine) abort(reason sched.Reason) {
	m.mayHaveRun = true
	if m.mayHaveRunReason == "" {
		m.mayHaveRunReason = reason
	}
	m.finishKey(sched.Unknown)
	m.answer(AnswerCmd{Outcome: sched.Unknown, Reason: m.unknownReason(), Abort: true})
	m.state = done
}

// finish ends the request with an outcome and a reason.
func (m *Machine) finish(outcome sched.Outcome, reason sched.Reason) {
	m.finishKey(outcome)
	m.answer(AnswerCmd{Outcome: outcome, Reason: reason})
	m.state = done
}

// finishKey reports the outcome to the key's owner, once, if the owner may have
// recorded the key for this request.
func (m *Machine) finishKey(outcome sched.Outcome) {
	if !m.mustFinishKey {
		return
	}
	m.mustFinishKey = false
	m.emit(FinishKeyCmd{Outcome: outcome})
}

// answer answers the caller unless that has already been done.
func (m *Machine) answer(a AnswerCmd) {
	if m.answered {
		return
	}
	m.answered = true
	a.Gone = m.gone
	m.emit(a)
}
