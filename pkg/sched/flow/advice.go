package flow

import (
	"cmp"
	"slices"
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
	// adviceRetry is the pause of a step after a failed call.
	adviceRetry = 200 * time.Millisecond
	// ticketMargin is the part of a ticket's validity that is reserved for the
	// delivery of the start.
	ticketMargin = 300 * time.Millisecond
	// initialPermittedShare is the share of workers that the adviser is expected
	// to permit before any answer arrived. permittedShareWeight is the weight of
	// one answer in the moving average.
	initialPermittedShare = 0.4
	permittedShareWeight  = 0.2
)

// advice holds the adviser's decisions for one step.
type advice struct {
	decisions map[*worker]decision
	inCall    bool
	notBefore time.Time
}

// decision is the adviser's answer for one worker.
type decision struct {
	// incarnation is the incarnation of the worker for which the ticket is valid.
	incarnation int64
	permitted   bool
	ticket      string
	until       time.Time
}

// AdviseCmd asks the adviser which workers may run a step. The runner answers
// with an AdviseResultMsg.
type AdviseCmd struct {
	Request sched.AdviceRequest
	// Within is the timeout of the call.
	Within time.Duration
}

// AdviseResultMsg answers an AdviseCmd. Sent is when the call was sent. The
// validity of the tickets counts from then.
type AdviseResultMsg struct {
	Request sched.AdviceRequest
	Sent    time.Time
	Advice  sched.Advice
	Err     error
}

// ticket returns a ticket for running the step on the worker, and whether there
// is a valid one.
func (s *step) ticket(w *worker, now time.Time) (string, bool) {
	if s.advice == nil {
		return "", false
	}
	d := s.advice.decisions[w]
	if !d.permitted || d.incarnation != w.member.Born || !now.Before(d.until.Add(-ticketMargin)) {
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

// askAdvice asks the adviser which workers may run a step that has waiting
// tasks.
func (m *Machine) askAdvice(s *step, q sched.Queue) {
	if s.advice == nil {
		s.advice = &advice{decisions: map[*worker]decision{}}
	}
	a := s.advice
	if a.inCall || m.adviceCalls >= maxAdviceCalls || m.now.Before(a.notBefore) {
		return
	}
	names := m.adviceCandidates(s, q)
	if len(names) == 0 {
		return
	}
	a.inCall = true
	m.adviceCalls++
	takes := q.Advice.Decide + time.Duration(len(names))*q.Advice.Each
	m.emit(AdviseCmd{
		Request: sched.AdviceRequest{Step: s.ref(), Workers: names}, Within: adviceSlack*takes + adviceCallOverhead,
	})
}

const (
	// adviceSlack is how many times longer than configured an answer may take, and
	// adviceCallOverhead the time allowed in addition for the network.
	adviceSlack        = 2
	adviceCallOverhead = 500 * time.Millisecond
)

func (s *step) ref() sched.StepRef {
	return sched.StepRef{Job: s.occ.job.spec.ID, Occurrence: s.occ.index, Step: s.index}
}

// candidate is a worker that the adviser may be asked about.
type candidate struct {
	w     *worker
	score float64
}

// permittedBeforeBonus outweighs every other part of the score. A worker that
// was permitted before certainly gets a new ticket.
const permittedBeforeBonus = 1000

// adviceCandidates returns the workers to ask about: first those that were
// permitted before, then those that suit the step best. A worker without enough
// free capacity is rated like a quarantined one. It returns as many as are
// likely to be needed.
func (m *Machine) adviceCandidates(s *step, q sched.Queue) []sched.WorkerName {
	t := s.firstQueued()
	if t == nil {
		return nil
	}
	var all []candidate
	for _, w := range m.order {
		d, known := s.advice.decisions[w]
		refused := known && !d.permitted && d.incarnation == w.member.Born
		if _, has := s.ticket(w, m.now); has || refused || !m.permittedByStep(t, w, q) {
			continue
		}
		score, ok := m.score(t, w)
		if !ok {
			score = -remotePenalty
		}
		if !s.spec.Need().Fits(w.free()) {
			score -= quarantinePenalty
		}
		if known && d.permitted {
			score += permittedBeforeBonus
		}
		all = append(all, candidate{w, score})
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	n := min(max(int(float64(s.queued)/m.permittedShare), minAdviceWorkers), maxAdviceWorkers)
	names := make([]sched.WorkerName, 0, n)
	for _, c := range all[:min(n, len(all))] {
		names = append(names, c.w.name())
	}
	return names
}

// firstQueued returns the step's first task that waits for a worker, or nil.
func (s *step) firstQueued() *task {
	for _, t := range s.tasks {
		if t.phase == phaseQueued {
			return t
		}
	}
	return nil
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
	a.inCall = false
	if msg.Err != nil {
		a.notBefore = m.now.Add(adviceRetry)
		m.log("adviser call failed", "id", msg.Request.Step.Job, "step", s.index, "asked", len(msg.Request.Workers), "error", msg.Err)
		return
	}
	for _, name := range msg.Request.Workers {
		w := m.workers[name]
		if w == nil {
			continue
		}
		ticket, permitted := msg.Advice.Tickets[name]
		a.decisions[w] = decision{
			incarnation: w.member.Born, permitted: permitted, ticket: ticket, until: msg.Sent.Add(msg.Advice.Valid),
		}
	}
	share := float64(len(msg.Advice.Tickets)) / float64(max(len(msg.Request.Workers), 1))
	m.permittedShare = max(m.permittedShare+permittedShareWeight*(share-m.permittedShare), 1.0/maxAdviceWorkers)
	m.log("adviser answered", "id", msg.Request.Step.Job, "step", s.index, "asked", len(msg.Request.Workers),
		"permitted", len(msg.Advice.Tickets), "valid", msg.Advice.Valid, "took", m.now.Sub(msg.Sent))
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
