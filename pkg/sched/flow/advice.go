package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// adviceRetry is the pause of a step after a failed call.
	adviceRetry = 200 * time.Millisecond
	// initialPermittedShare is the share of workers that the adviser is expected
	// to permit before any answer arrived. permittedShareWeight is the weight of
	// one answer in the moving average, and minPermittedShare its lower bound.
	initialPermittedShare = 0.4
	permittedShareWeight  = 0.2
	minPermittedShare     = 1.0 / maxAdviceWorkers
)

// advice holds the adviser's decisions for one step.
type advice struct {
	decisions map[*worker]decision
	// asked holds the workers that calls in progress name, and calls counts these
	// calls.
	asked map[*worker]bool
	calls int
	// fruitless counts the calls that ended since a task of the step was last started,
	// and failures the calls that failed in a row.
	fruitless, failures int
	notBefore           time.Time
}

// decision is the adviser's answer for one worker.
type decision struct {
	// incarnation is the incarnation of the worker for which the ticket is valid.
	incarnation int64
	permitted   bool
	ticket      string
	// until is until when the ticket is used, and certainUntil until when it is valid if
	// that counts from the question.
	until, certainUntil time.Time
}

// AdviseCmd asks the adviser which workers may run a step. The runner answers
// with an AdviseResultMsg.
type AdviseCmd struct{ Request sched.AdviceRequest }

// AdviseResultMsg answers an AdviseCmd. Sent is when the adviser was asked, after
// any wait for earlier calls.
type AdviseResultMsg struct {
	Request sched.AdviceRequest
	Sent    time.Time
	Advice  sched.Advice
	Err     error
}

// decisionFor returns the decision for a worker if there is one for its present
// incarnation.
func (a *advice) decisionFor(w *worker) (decision, bool) {
	d, known := a.decisions[w]
	return d, known && d.incarnation == w.member.Born
}

// ticket returns a ticket for running the step on the worker, and whether there
// is a valid one.
func (s *step) ticket(w *worker, now time.Time) (string, bool) {
	if s.advice == nil {
		return "", false
	}
	d, known := s.advice.decisionFor(w)
	if !known || !d.permitted || !now.Before(d.until) {
		return "", false
	}
	return d.ticket, true
}

// permittedByAdviser reports whether the adviser permits the worker, or whether
// the queue has no adviser.
func (m *Machine) permittedByAdviser(s *step, w *worker, q sched.Queue) bool {
	if !q.Advised {
		return true
	}
	_, ok := s.ticket(w, m.now)
	return ok
}

func (s *step) ref() sched.StepRef {
	return sched.StepRef{Job: s.occ.job.spec.ID, Occurrence: s.occ.index, Step: s.index}
}

// handleAdvice handles the adviser's answer.
func (m *Machine) handleAdvice(msg AdviseResultMsg) {
	m.adviceCalls--
	m.stale = true
	s := m.stepOf(msg.Request.Step)
	if s == nil || s.advice == nil {
		return
	}
	a := s.advice
	a.calls--
	for _, name := range msg.Request.Workers {
		delete(a.asked, m.workers[name])
	}
	if msg.Err != nil {
		a.failures++
		a.notBefore = m.now.Add(adviceRetry)
		m.log("adviser call failed", "id", msg.Request.Step.Job, "step", s.index, "asked", len(msg.Request.Workers),
			"failures", a.failures, "timeout", msg.Request.Timeout, "error", msg.Err)
		return
	}
	a.failures = 0
	a.fruitless++
	queue := s.occ.job.queue
	limit := m.adviceLimit(queue)
	if msg.Advice.Valid == 0 {
		msg.Advice.Valid = m.fleet.Queues[queue].Advice.Valid
	}
	until := limit.judge(msg, m.now, a.fruitless)
	certainUntil := msg.Sent.Add(msg.Advice.Valid)
	m.learnPermittedShare(a, msg)
	// Tickets that may have expired are tried on one worker first.
	probe := limit.countsFrom == fromQuestion && !m.now.Before(certainUntil) && !s.spec.Gang
	probed := false
	for _, name := range msg.Request.Workers {
		w := m.workers[name]
		if w == nil {
			continue
		}
		ticket, permitted := msg.Advice.Tickets[name]
		d := decision{
			incarnation: w.member.Born, permitted: permitted, ticket: ticket, until: until, certainUntil: certainUntil,
		}
		if probe && probed {
			d.until = certainUntil
		}
		probed = probed || permitted
		a.decisions[w] = d
	}
	m.log("adviser answered", "id", msg.Request.Step.Job, "step", s.index, "asked", len(msg.Request.Workers),
		"permitted", len(msg.Advice.Tickets), "valid", msg.Advice.Valid, "took", m.now.Sub(msg.Sent),
		"left", until.Sub(m.now), "certain", certainUntil.Sub(m.now), "workersPerCall", limit.workers, "callsAtOnce", limit.calls)
}

// learnPermittedShare learns which share of the workers the adviser permits. Workers on
// which it has decided before say nothing, since its decision for a step does not change.
func (m *Machine) learnPermittedShare(a *advice, msg AdviseResultMsg) {
	asked, permitted := 0, 0
	for _, name := range msg.Request.Workers {
		if w := m.workers[name]; w == nil || a.knows(w) {
			continue
		}
		asked++
		if _, ok := msg.Advice.Tickets[name]; ok {
			permitted++
		}
	}
	if asked == 0 {
		return
	}
	share := float64(permitted) / float64(asked)
	m.permittedShare = max(m.permittedShare+permittedShareWeight*(share-m.permittedShare), minPermittedShare)
}

// expire ends the use of a ticket that a worker refused. The decision stays.
func (a *advice) expire(w *worker) {
	d := a.decisions[w]
	d.until = time.Time{}
	a.decisions[w] = d
}

func (a *advice) knows(w *worker) bool {
	_, known := a.decisionFor(w)
	return known
}

// stepOf returns a step by its name, or nil if it is unknown or its job has
// ended.
func (m *Machine) stepOf(ref sched.StepRef) *step {
	j := m.jobs[ref.Job]
	if j == nil || j.state.Final() || ref.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[ref.Occurrence]
	if o == nil || ref.Step >= len(o.steps) {
		return nil
	}
	return o.steps[ref.Step]
}
