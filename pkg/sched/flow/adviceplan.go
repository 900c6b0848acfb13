package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// adviceSlack is how many times longer than configured an answer may take, and
	// adviceCallOverhead the time allowed in addition for the network. Both double with
	// each call of the step that failed in a row, up to maxTimeoutDoublings times.
	adviceSlack         = 2
	adviceCallOverhead  = 500 * time.Millisecond
	maxTimeoutDoublings = 4
	// adviceIdle is the pause of a step for which there is nothing to ask.
	adviceIdle = 50 * time.Millisecond
	// spareCapacity is how much more capacity is asked for than the waiting tasks need.
	spareCapacity = 1.5
)

// advisedStep is a step with waiting tasks on a queue with an adviser.
type advisedStep struct {
	s *step
	q sched.Queue
}

// askAdvice asks the adviser about the steps of a pass: once for each step, and then
// again for those that need more workers than one call may name. Steps whose earlier
// calls led to no start come last, so that they do not keep the adviser from the others.
func (p *pass) askAdvice() {
	for _, x := range p.advised {
		if x.s.advice == nil {
			x.s.advice = &advice{decisions: map[*worker]decision{}, asked: map[*worker]bool{}}
		}
	}
	slices.SortStableFunc(p.advised, func(a, b advisedStep) int {
		return cmp.Compare(a.s.advice.fruitless, b.s.advice.fruitless)
	})
	for _, x := range p.advised {
		if x.s.advice.calls == 0 {
			p.m.askAdvice(x)
		}
	}
	for _, x := range p.advised {
		for p.m.askAdvice(x) {
			continue
		}
	}
}

// askAdvice asks the adviser which workers may run a step, and reports whether it did.
func (m *Machine) askAdvice(x advisedStep) bool {
	a, limit := x.s.advice, m.adviceLimit(x.q.Name)
	if m.adviceCalls >= limit.atOnce(x) || m.now.Before(a.notBefore) {
		return false
	}
	if limit.hopeless(x.q.Advice) {
		m.setBlocked(x.s, "tickets expire before the adviser answers")
		return false
	}
	workers := m.adviceCandidates(x.s, x.q, limit.perCall(x.q.Advice))
	if len(workers) == 0 {
		a.notBefore = m.now.Add(adviceIdle)
		return false
	}
	a.calls++
	m.adviceCalls++
	names := make([]sched.WorkerName, len(workers))
	for i, w := range workers {
		names[i] = w.name()
		a.asked[w] = true
	}
	takes := x.q.Advice.Decide + time.Duration(len(names))*x.q.Advice.Each
	timeout := (adviceSlack*takes + adviceCallOverhead) << min(a.failures, maxTimeoutDoublings)
	m.emit(AdviseCmd{sched.AdviceRequest{Step: x.s.ref(), Workers: names, Timeout: timeout}})
	return true
}

// candidate is a worker that the adviser may be asked about.
type candidate struct {
	w     *worker
	score float64
	// places is how many waiting tasks are expected to find a place there.
	places float64
	// known means that the adviser has permitted the worker before.
	known bool
}

// permittedBeforeBonus outweighs every other part of the score. A worker that
// was permitted before certainly gets a new ticket. It is of use only if there is free
// capacity, or else a small call would name nothing but full workers.
const permittedBeforeBonus = 1000

// adviceCandidates returns at most limit workers to ask about: as many as are likely to
// be needed, those first that were permitted before, and then those that suit the step
// best.
func (m *Machine) adviceCandidates(s *step, q sched.Queue, limit int) []*worker {
	t := s.firstQueued()
	if t == nil {
		return nil
	}
	takes := q.Advice.Decide + time.Duration(limit)*q.Advice.Each
	missing := spareCapacity * float64(s.queued)
	atLeast := min(minAdviceWorkers, limit)
	var all []candidate
	permitted := 0.0 // places on all workers that the adviser is known to permit
	for _, w := range m.order {
		if !m.permittedByStep(t, w, q) {
			continue
		}
		d, decided := s.advice.decisionFor(w)
		c := m.rateCandidate(t, w, decided && d.permitted)
		if c.known {
			permitted += c.places
		}
		_, has := s.ticket(w, m.now)
		if s.spec.Gang && s.advice.calls == 0 && d.until.Sub(m.now) < takes {
			has = false // It expires before those of the other members arrive.
		}
		switch {
		case decided && !d.permitted:
		case s.advice.asked[w], has && s.advice.fruitless == 0, has && s.spec.Gang:
			missing -= c.places
		case has:
			// Earlier tickets led to no start, so these are not relied on.
		default:
			all = append(all, c)
		}
	}
	if s.spec.Gang && permitted >= float64(s.queued) {
		// The members need tickets that are valid together, so no call goes to workers
		// on which the adviser has not decided.
		all = slices.DeleteFunc(all, func(c candidate) bool { return !c.known })
		atLeast = 1
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	var out []*worker
	for _, c := range all {
		if len(out) == limit || missing <= 0 && (len(out) >= atLeast || len(out) == 0) {
			break
		}
		out = append(out, c.w)
		missing -= c.places
	}
	return out
}

// rateCandidate rates a worker. One without enough free capacity is rated like a
// quarantined one. A gang asks first about workers on which there is no decision, until
// it knows enough of them that are permitted.
func (m *Machine) rateCandidate(t *task, w *worker, known bool) candidate {
	s := t.step
	c := candidate{w: w, known: known}
	score, ok := m.score(t, w)
	c.score = score
	if !ok {
		c.score = -remotePenalty
	}
	free := w.freeFor(s)
	if !s.spec.Need().Fits(free) {
		c.score -= quarantinePenalty
	} else if ok {
		c.places = float64(s.placesIn(free, s.placedOn[w]))
	}
	switch {
	case !known:
		c.places *= m.permittedShare
	case s.spec.Gang:
		c.score -= permittedBeforeBonus
	case c.places > 0:
		c.score += permittedBeforeBonus
	}
	return c
}

// placesIn returns how many of the waiting tasks fit into free capacity of a worker that
// has placed runs of the step.
func (s *step) placesIn(free sched.Resources, placed int) int {
	most := s.queued
	if s.spec.AntiAffinity > 0 {
		most = min(most, s.spec.AntiAffinity-placed)
	}
	n := 0
	for need := s.spec.Need(); n < most && need.Fits(free); n++ {
		free = free.Sub(need)
	}
	return n
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
