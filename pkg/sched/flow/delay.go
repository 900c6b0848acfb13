package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/delay"
)

const (
	// delayInterval is how long a decision on what waits in a shortage is reused.
	delayInterval = 100 * time.Millisecond
	// maxDelayLines bounds the log lines on single jobs of one decision.
	maxDelayLines = 16
	// A job is not delayed any more if at least fixedShare of its work has started, or
	// if at most fixedTasks of its tasks are left to start.
	fixedShare = 0.5
	fixedTasks = 2
)

// delays is the state of the decisions on what waits in a shortage. It is not
// stored: a new leader computes it from the jobs.
type delays struct {
	decidedAt time.Time
	// open holds the occurrences whose outcome is not known.
	open   []*occurrence
	queues map[sched.QueueName]*outcomes
	// shortages holds the present shortages, in the order in which they began.
	shortages []*shortage
}

func (d *delays) init() { d.queues = map[sched.QueueName]*outcomes{} }

// shortage returns the shortage of a pool, or nil.
func (d *delays) shortage(pool delayPool) *shortage {
	for _, s := range d.shortages {
		if s.pool == pool {
			return s
		}
	}
	return nil
}

// delayPool names the steps that compete for the same capacity.
type delayPool struct {
	service    sched.ServiceName
	priority   int
	bestEffort bool
}

func (p delayPool) compare(o delayPool) int {
	if c := cmp.Or(cmp.Compare(p.service, o.service), cmp.Compare(p.priority, o.priority)); c != 0 || p.bestEffort == o.bestEffort {
		return c
	}
	if o.bestEffort {
		return -1
	}
	return 1
}

// shortage is the state of a pool in which work is delayed.
type shortage struct {
	pool          delayPool
	since         time.Time
	kept, delayed int
	lack          float64
}

// occurrenceDelay is what the decisions hold for an occurrence.
type occurrenceDelay struct {
	// added means that the occurrence was considered for the open ones.
	added, delayed bool
	// size is the work of all steps in core-seconds.
	size float64
}

// waiting is an occurrence that can still meet its objective.
type waiting struct {
	o   *occurrence
	job delay.Job
	// sizeGroup is the group of the occurrence among the sizes of its queue.
	sizeGroup int
	queue     *outcomes
}

// contenders holds the occurrences of one pool in a decision.
type contenders struct {
	pool    delayPool
	waiting []waiting
	// queued counts the tasks that wait for a worker. tasks counts the tasks that
	// have not started, and need sums up what they take.
	queued, tasks int
	need          delay.Amount
	images        []string
	// unstarted is the work of all tasks that have not started, including those of
	// late occurrences.
	unstarted delay.Amount
}

// decideDelays decides for each pool which occurrences are delayed.
func (m *Machine) decideDelays() {
	d := &m.delays
	if m.withoutDelays || !d.decidedAt.IsZero() && m.now.Sub(d.decidedAt) < delayInterval || m.workersUnknown() {
		return
	}
	d.decidedAt = m.now
	m.addOpenOccurrences()
	m.countOutcomes()
	for _, q := range d.queues {
		q.beginDecision()
	}
	pools := m.contenders()
	for i, c := range pools {
		if c.queued == 0 {
			m.endShortage(c, "no task waits")
			continue
		}
		m.decidePool(c, pools[:i])
	}
	for _, s := range slices.Clone(d.shortages) {
		if !slices.ContainsFunc(pools, func(c *contenders) bool { return c.pool == s.pool }) {
			m.endShortage(&contenders{pool: s.pool}, "no job is left that can be in time")
		}
	}
}

// workersUnknown reports whether the capacity cannot be told yet, because more than
// a tenth of the workers have not reported their runs to this leader.
func (m *Machine) workersUnknown() bool {
	unknown := 0
	for _, w := range m.order {
		if w.listed && !w.accounted {
			unknown++
		}
	}
	return 10*unknown > len(m.order)
}

// contenders returns the occurrences that can still meet their objective, by
// pool, the most urgent pool of each service first.
func (m *Machine) contenders() []*contenders {
	byPool := map[delayPool]*contenders{}
	var out []*contenders
	for _, o := range m.delays.open {
		q := m.fleet.Queues[o.job.queue]
		pool := delayPool{q.Service, q.Priority, o.bestEffort()}
		c := byPool[pool]
		if c == nil {
			c = &contenders{pool: pool}
			byPool[pool] = c
			out = append(out, c)
		}
		m.addContender(c, o, q)
	}
	slices.SortFunc(out, func(a, b *contenders) int { return a.pool.compare(b.pool) })
	return out
}

// bestEffort reports whether the first step of the occurrence with unfinished
// tasks is a best-effort step.
func (o *occurrence) bestEffort() bool {
	for _, s := range o.steps {
		if s.remaining > 0 {
			return s.spec.BestEffort
		}
	}
	return false
}

// addContender adds an occurrence to the contenders of its pool.
func (m *Machine) addContender(c *contenders, o *occurrence, q sched.Queue) {
	x := waiting{o: o, queue: m.delays.queues[o.job.queue]}
	chains := m.chains(o)
	due := o.due.Add(objective(q, chains.longest)).Sub(m.now)
	late, left, unstarted := due < 0, 0, delay.Amount{}
	for i, s := range o.steps {
		n := s.unstarted()
		if n == 0 {
			continue
		}
		took := m.duration(s)
		p := delay.Part{Due: due - chains.from[i] + took, Duration: took, Work: workOf(s, took, n)}
		late = late || s.queued > 0 && due < chains.from[i]
		c.queued += s.queued
		c.tasks += n
		c.need = c.need.Add(amountOf(s).Scale(float64(n)))
		unstarted = unstarted.Add(p.Work)
		left += n
		if s.queued > 0 && s.spec.BestEffort && !slices.Contains(c.images, s.spec.Image) {
			c.images = append(c.images, s.spec.Image)
		}
		x.job.Parts = append(x.job.Parts, p)
	}
	c.unstarted = c.unstarted.Add(unstarted)
	if late || left == 0 {
		o.delay.delayed = false
		return
	}
	x.sizeGroup = x.queue.group(o.delay.size)
	x.queue.addOpen(x.sizeGroup, o.delay.delayed)
	x.job.Value = delay.Value(o.delay.size, x.queue.mean())
	x.job.Delayed = o.delay.delayed
	x.job.Fixed = left <= fixedTasks || unstarted.Cores <= (1-fixedShare)*o.delay.size
	c.waiting = append(c.waiting, x)
}

// unstarted returns how many tasks of a step have neither run nor a run.
func (s *step) unstarted() int {
	if s.remaining == 0 {
		return 0
	}
	n := 0
	for _, t := range s.tasks {
		if t.phase == phaseQueued || t.phase == phaseWaiting {
			n++
		}
	}
	return n
}

// amountOf returns what a task of a step uses, even if it does not count against
// the capacity of a worker.
func amountOf(s *step) delay.Amount {
	return delay.Amount{Cores: float64(s.spec.Resources.CPU) / 1000, Memory: float64(s.spec.Resources.Memory)}
}

// workOf returns the work of n tasks of a step.
func workOf(s *step, took time.Duration, n int) delay.Amount {
	return amountOf(s).Scale(took.Seconds() * float64(n))
}

// decidePool decides which occurrences of a pool are delayed. The work of the
// pools before it comes first.
func (m *Machine) decidePool(c *contenders, before []*contenders) {
	in := delay.Input{Short: m.delays.shortage(c.pool) != nil}
	in.Free, in.Held = m.capacityFor(c)
	for _, b := range before {
		if b.pool.service == c.pool.service && b.pool.priority < c.pool.priority && (c.pool.bestEffort || !b.pool.bestEffort) {
			in.Ahead = in.Ahead.Add(b.unstarted)
		}
	}
	in.MaxDelayed = m.delays.maxDelayed(c)
	for _, x := range c.waiting {
		in.Jobs = append(in.Jobs, x.job)
	}
	d := delay.Decide(in)
	if !d.Short {
		m.endShortage(c, "all work fits")
		return
	}
	m.applyDelays(c, d, in)
}

// applyDelays puts a decision with a shortage into effect.
func (m *Machine) applyDelays(c *contenders, d delay.Decision, in delay.Input) {
	s := m.delays.shortage(c.pool)
	began := s == nil
	if began {
		s = &shortage{pool: c.pool, since: m.now}
		m.delays.shortages = append(m.delays.shortages, s)
	}
	s.kept, s.delayed, s.lack = 0, 0, d.Lack
	for i := range c.waiting {
		if d.Delayed[i] {
			s.delayed++
		} else {
			s.kept++
		}
	}
	if began {
		m.logShortageBegin(s, c, in)
	}
	lines := 0
	for i, x := range c.waiting {
		if m.setDelayed(x, d.Delayed[i], lines < maxDelayLines) {
			lines++
		}
	}
}

// logShortageBegin logs a shortage with what the decision was based on.
func (m *Machine) logShortageBegin(s *shortage, c *contenders, in delay.Input) {
	capacity := in.Free
	for _, h := range in.Held {
		capacity = capacity.Add(h.Amount)
	}
	m.log("shortage begins", "service", c.pool.service, "priority", c.pool.priority, "bestEffort", c.pool.bestEffort,
		"kept", s.kept, "delayed", s.delayed, "queued", c.queued, "work", c.unstarted.Cores, "ahead", in.Ahead.Cores,
		"capacity", capacity.Cores, "free", in.Free.Cores, "memory", capacity.Memory, "lack", s.lack)
}

// setDelayed delays an occurrence or keeps it again. It reports whether that is a
// change.
func (m *Machine) setDelayed(x waiting, delayed, log bool) bool {
	if x.o.delay.delayed == delayed {
		return false
	}
	x.o.delay.delayed = delayed
	if log {
		event := "job kept again"
		if delayed {
			event = "job delayed"
		}
		m.log(event, "id", x.o.job.spec.ID, "queue", x.o.job.queue, "occurrence", x.o.index,
			"due", x.job.Parts[len(x.job.Parts)-1].Due, "work", x.o.delay.size, "value", x.job.Value, "sizeGroup", x.sizeGroup)
	}
	return true
}

// endShortage ends the shortage of a pool, if there is one.
func (m *Machine) endShortage(c *contenders, why string) {
	s := m.delays.shortage(c.pool)
	if s == nil {
		return
	}
	m.delays.shortages = slices.DeleteFunc(m.delays.shortages, func(o *shortage) bool { return o == s })
	for _, x := range c.waiting {
		m.setDelayed(x, false, false)
	}
	m.log("shortage ends", "service", c.pool.service, "priority", c.pool.priority, "bestEffort", c.pool.bestEffort,
		"why", why, "lasted", m.now.Sub(s.since), "kept", s.kept, "delayed", s.delayed, "work", c.unstarted.Cores)
}

// totals returns how many jobs are delayed and how many cores are missing.
func (d *delays) totals() (jobs int, cores float64) {
	for _, s := range d.shortages {
		jobs += s.delayed
		cores += s.lack
	}
	return jobs, cores
}
