package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// adviceLeast and adviceMost bound the workers that one call names. The
	// adviser takes longer for each, and a call has a price of its own.
	minAdviceWorkers = 6
	maxAdviceWorkers = 30
	// adviceCalls bounds the calls in progress: the adviser handles one call
	// of an entry at a time, and a few entries ask.
	maxAdviceCalls = 4
	// adviceRetry is the pause of a step after a call that failed.
	adviceRetry = 200 * time.Millisecond
	// ticketMargin is the part of a ticket's time that is left for the start to
	// arrive.
	ticketMargin = 300 * time.Millisecond
	// goodFirst is the share of the workers that is expected to be permitted
	// until answers have shown it, and goodWeight the weight of one answer.
	initialPermittedShare = 0.4
	permittedShareWeight  = 0.2
)

// advice is what is known of the workers that may run a step.
type advice struct {
	decisions map[*worker]decision
	inCall    bool
	notBefore time.Time
}

// verdict is an answer of the adviser on one worker.
type decision struct {
	// born is the life of the worker that a ticket counts for.
	incarnation int64
	permitted   bool
	ticket      string
	until       time.Time
}

// AdviseCmd asks the adviser. The runner answers with an AdviseResultMsg.
type AdviseCmd struct {
	Order sched.AdviceOrder
	// Within bounds the call.
	Within time.Duration
}

// AdviseResultMsg answers an AdviseCmd. Sent is when the call was sent: the
// time of the tickets is counted from then.
type AdviseResultMsg struct {
	Order  sched.AdviceOrder
	Sent   time.Time
	Advice sched.Advice
	Err    error
}

// ticket returns the ticket with which a worker takes tasks of the step now.
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

// advised reports whether a worker may run a step as far as the adviser is
// concerned.
func (m *Machine) permittedByAdviser(s *step, w *worker, q sched.Queue) bool {
	if !q.Advised {
		return true
	}
	_, ok := s.ticket(w, m.now)
	return ok
}

// askAdvice asks which workers may run a step of which tasks wait.
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
		Order: sched.AdviceOrder{Step: s.ref(), Workers: names}, Within: adviceSlack*takes + adviceCallOverhead,
	})
}

const (
	// adviceSlack is how many times longer than stated an answer may take, and
	// adviceCallTime what the way may take besides.
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

// permittedBefore outweighs everything else: a worker that was permitted before
// surely gets a new ticket.
const permittedBeforeBonus = 1000

// adviceCandidates returns the workers to ask about: those that were permitted
// before, then the ones that suit the step best, as many as are likely to be
// needed.
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

// firstQueued returns the first task that waits for a worker.
func (s *step) firstQueued() *task {
	for _, t := range s.tasks {
		if t.phase == phaseQueued {
			return t
		}
	}
	return nil
}

// tookAdvice takes in an answer of the adviser.
func (m *Machine) handleAdvice(msg AdviseResultMsg) {
	m.adviceCalls--
	m.stale = true
	s := m.stepOf(msg.Order.Step)
	if s == nil || s.advice == nil {
		return
	}
	a := s.advice
	a.inCall = false
	if msg.Err != nil {
		a.notBefore = m.now.Add(adviceRetry)
		m.log("no advice", "id", msg.Order.Step.Job, "step", s.index, "asked", len(msg.Order.Workers), "error", msg.Err)
		return
	}
	for _, name := range msg.Order.Workers {
		w := m.workers[name]
		if w == nil {
			continue
		}
		ticket, permitted := msg.Advice.Tickets[name]
		a.decisions[w] = decision{
			incarnation: w.member.Born, permitted: permitted, ticket: ticket, until: msg.Sent.Add(msg.Advice.Valid),
		}
	}
	share := float64(len(msg.Advice.Tickets)) / float64(max(len(msg.Order.Workers), 1))
	m.permittedShare = max(m.permittedShare+permittedShareWeight*(share-m.permittedShare), 1.0/maxAdviceWorkers)
	m.log("advice", "id", msg.Order.Step.Job, "step", s.index, "asked", len(msg.Order.Workers),
		"permitted", len(msg.Advice.Tickets), "valid", msg.Advice.Valid, "took", m.now.Sub(msg.Sent))
}

// stepOf returns a step by its name, or nil if it is not known.
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
