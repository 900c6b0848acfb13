package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// passInterval is the shortest time between two passes over the waiting tasks.
	passInterval = 8 * time.Millisecond
	// passIntervalPerRating is added to that time for each rating of a worker. It
	// is several times what a rating takes, so a pass over many tasks and workers
	// leaves most of the processor time to the communication with workers.
	passIntervalPerRating = 2 * time.Microsecond
	// maxStartsPerPass bounds the starts that one pass orders.
	maxStartsPerPass = 32
)

// schedule places waiting tasks, the most urgent first.
func (m *Machine) schedule() {
	if !m.stale || !m.loaded || !m.mayStart() || m.now.Before(m.nextPass) || m.window.free() == 0 || m.freeRuns() == 0 {
		return
	}
	m.stale, m.ratings = false, 0
	p := pass{m: m, unmet: map[unmetRequest]sched.Resources{}, maxStarts: min(maxStartsPerPass, m.window.free(), m.freeRuns())}
	stop := m.timed(&m.effort.Pass)
	defer func() {
		stop()
		m.effort.Ratings, m.effort.Starts = m.ratings, p.starts
		m.nextPass = m.now.Add(passInterval + time.Duration(m.ratings)*passIntervalPerRating)
	}()
	p.releaseBookings()
	steps := m.waitingSteps()
	m.effort.Steps = len(steps)
	defer p.askAdvice()
	for _, s := range steps {
		p.placeStep(s)
		if p.starts >= p.maxStarts {
			m.stale = true
			return
		}
	}
	p.preempt()
}

// waitingSteps returns the steps with waiting tasks, the most urgent first. The order
// depends on which jobs are delayed, which it therefore decides before.
func (m *Machine) waitingSteps() []*step {
	defer m.timed(&m.effort.Order)()
	var waiting []*occurrence
	for _, j := range m.live {
		for _, o := range j.occurrences {
			if o != nil && o.waits() {
				waiting = append(waiting, o)
			}
		}
	}
	m.decideDelays()
	var ranked []rankedStep
	for _, o := range waiting {
		c := m.chains(o)
		for _, s := range o.steps {
			if s.queued > 0 {
				ranked = append(ranked, rankedStep{s, m.urgency(s, c)})
			}
		}
	}
	slices.SortStableFunc(ranked, func(a, b rankedStep) int { return a.urgency.compare(b.urgency) })
	out := make([]*step, len(ranked))
	for i, r := range ranked {
		out[i] = r.step
	}
	return out
}

// waits reports whether a task of the occurrence waits for a worker.
func (o *occurrence) waits() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.queued > 0 })
}

// rankedStep is a step with its place in the order.
type rankedStep struct {
	step    *step
	urgency urgency
}

// urgency orders steps: first by the queue's priority, then by whether the job
// can still meet its objective, then by the time by which the step has to
// start.
type urgency struct {
	priority int
	late     int
	by       time.Time
}

func (u urgency) compare(o urgency) int {
	if u.priority != o.priority {
		return u.priority - o.priority
	}
	if u.late != o.late {
		return u.late - o.late
	}
	return u.by.Compare(o.by)
}

// urgency returns the urgency of a step. A job that has missed its objective
// comes after those that can still meet it, of which those that are delayed in a
// shortage come last. A job that is so late that completing it has no value comes
// last of all. c holds the chains of the occurrence.
func (m *Machine) urgency(s *step, c chains) urgency {
	q := m.fleet.Queues[s.occ.job.queue]
	u := urgency{priority: q.Priority}
	if s.spec.Perpetual {
		u.late, u.by = latePerpetual, s.readyAt
		if since := m.awayLongest(s); !since.IsZero() {
			u.late, u.by = lateAway, since
		}
		return u
	}
	within := objective(q, c.longest)
	left := c.from[s.index]
	u.by = s.occ.due.Add(within - left)
	switch {
	case m.now.After(s.occ.due.Add(worthlessFactor*within - left)):
		u.late = lateWorthless
	case m.now.After(u.by):
		u.late = lateMissed
	case s.occ.delay.delayed:
		u.late = lateDelayed
	}
	return u
}

// objective returns the time within which a job with the given longest chain has
// to complete.
func objective(q sched.Queue, chain time.Duration) time.Duration {
	stretch := q.Stretch
	if stretch == 0 {
		stretch = 1
	}
	return time.Duration(stretch*float64(chain)) + q.Target
}

// Values of urgency.late other than 0 (on time). Short tasks come before perpetual
// ones because they free their capacity soon, except before those that have been
// away too long. A delayed job that gets capacity after all may still be on time,
// so it comes before those that cannot be.
const (
	lateAway      = -1
	lateDelayed   = 1
	lateMissed    = 2
	latePerpetual = 3
	lateWorthless = 4
)

// worthlessFactor is how many times its objective a job may take before
// completing it has no value.
const worthlessFactor = 3

// pass is one iteration over the waiting tasks.
type pass struct {
	m *Machine
	// starts counts the starts that the pass ordered, maxStarts bounds them. The
	// members of a gang start together, even if that exceeds the bound.
	starts, maxStarts int
	// unmet holds the last resources for which no worker was found, for each kind
	// of request. Tasks that need as much of each resource are not tried.
	unmet map[unmetRequest]sched.Resources
	// unplaced holds the steps without enough free capacity, in order.
	unplaced []*step
	// advised holds the steps of queues with an adviser.
	advised  []advisedStep
	bookings bookings
	// reserved means that free capacity is reserved for a gang. Short tasks that
	// come later in the pass wait.
	reserved bool
	// perpetualCPU is the sum of the processors of the perpetual tasks that the pass
	// has placed.
	perpetualCPU sched.MilliCPU
}

// unmetRequest holds what a task that found no worker asked for, apart from
// resources.
type unmetRequest struct {
	service    sched.ServiceName
	requires   string
	bestEffort bool
	image      string
	perpetual  bool
	away       bool
	// waitLevel counts the waiting times that the task has exceeded. Each one
	// permits workers that were excluded before.
	waitLevel int
}

// waitLevel returns how many of the maximum waiting times a task has exceeded.
func (m *Machine) waitLevel(t *task) int {
	n := 0
	for _, bound := range []time.Duration{maxReserveWait, maxRiskWaitIdle, maxRiskWait} {
		if m.now.Sub(t.queuedAt) >= bound {
			n++
		}
	}
	if m.speeds.SlowWorkers() > 0 && m.now.Sub(t.queuedAt) >= midSlowWait {
		n++
	}
	return n
}

// placeStep places the waiting tasks of a step.
func (p *pass) placeStep(s *step) {
	q, ok := p.m.fleet.Queues[s.occ.job.queue]
	if !ok {
		p.m.setBlocked(s, "queue is not configured")
		return
	}
	if s.spec.Gang {
		p.placeGang(s, q)
		return
	}
	if p.reserved && !s.spec.BestEffort && !s.spec.Perpetual {
		p.m.setBlocked(s, "capacity is reserved for a gang")
		return
	}
	f := unmetRequest{service: q.Service, requires: s.spec.Requires, bestEffort: s.spec.BestEffort, perpetual: s.spec.Perpetual}
	if s.spec.BestEffort || s.spec.LatencyCritical() {
		f.image = s.spec.Image
	}
	need := s.spec.Need()
	if q.Advised {
		p.advised = append(p.advised, advisedStep{s, q})
	}
	ranks := ranking{m: p.m, q: q}
	f.away = !p.m.awayLongest(s).IsZero()
	for _, t := range s.tasks {
		if t.phase != phaseQueued || p.starts >= p.maxStarts || f.away && !p.m.awayTooLong(t) {
			continue
		}
		f.waitLevel = p.m.waitLevel(t)
		if low, tried := p.unmet[f]; tried && low.Fits(need) && p.bookings.byStep[s] == 0 {
			p.leave(s, q)
			return
		}
		if t.mayBeRunning() {
			p.m.setBlocked(s, "an earlier run may still be running")
			continue
		}
		w := ranks.best(t, f.waitLevel)
		if w == nil {
			p.leave(s, q)
			if s.spec.AntiAffinity == 0 && s.spec.Affinity == "" && len(t.avoid) == 0 && !q.Advised {
				p.unmet[f] = need
			}
			return
		}
		if p.m.freeRunsFor(t.job()) == 0 {
			p.m.setBlocked(s, "too many runs")
			return
		}
		if !p.m.leavesHeadroom(t, q, p.perpetualCPU) {
			p.m.setBlocked(s, "capacity is left to short tasks")
			return
		}
		s.blocked = ""
		p.starts++
		if s.spec.Perpetual {
			p.perpetualCPU += need.CPU
		}
		p.m.startRun(t, w, p.m.nextNumber(t))
		ranks.rerate(t, w)
	}
}

// leave records that no worker was found for a task of a step.
func (p *pass) leave(s *step, q sched.Queue) {
	p.m.setBlocked(s, "no suitable worker with free capacity")
	p.unplaced = append(p.unplaced, s)
	p.bookFor(s, q)
}

// setBlocked stores why a step waits and logs a new reason once.
func (m *Machine) setBlocked(s *step, why string) {
	if s.blocked == why {
		return
	}
	s.blocked = why
	j := s.occ.job
	m.log("step waits", "id", j.spec.ID, "queue", j.queue, "step", s.index, "queued", s.queued, "reason", why,
		"need", s.spec.Need(), "age", m.now.Sub(j.acceptedAt))
}
