package flow

import "time"

const (
	// slowPenalty outweighs differences in free capacity, so that a slow worker is used
	// only if there is no other.
	slowPenalty = 20
	// recentlySlowRuns is how many runs that end by themselves a worker that was slow
	// shortly before has at a time, until one of them shows normal speed.
	recentlySlowRuns = 1
	// maxSlowWait and midSlowWait bound how long a task waits for another worker
	// than a slow one.
	maxSlowWait = 2 * time.Second
	midSlowWait = time.Second
	// minRelativeSpeed bounds the speed that is assumed of a slow worker.
	minRelativeSpeed = 0.1
	// restartMargin is by which factor a run has to end later than a new run elsewhere.
	// The expected duration is rough.
	restartMargin = 1.5
	// longestStop is how long a run occupies a worker after the order to stop it, and
	// how long its task may not start elsewhere.
	longestStop = 900 * time.Millisecond
	// maxRestartsPerTick bounds the runs that one tick restarts, and
	// maxRestartSearches those for which it searches for another worker.
	maxRestartsPerTick = 16
	maxRestartSearches = 24
)

// WithStragglers sets whether slow workers are recognised and used accordingly
// (default true).
func WithStragglers(on bool) Option { return func(o *options) { o.stragglers = on } }

// mayRestart reports whether a run may be restarted elsewhere because its worker is
// slow. Each task is restarted once, so that a wrong estimate costs one run.
func (m *Machine) mayRestart(r *run) bool {
	t := r.task
	s := t.step.spec
	return r.state == runRunning && !t.restartedFromSlow && !s.Perpetual && !s.Gang && len(t.runs) == 1 &&
		!m.fleet.Queues[t.job().queue].Advised && t.phase == phaseActive
}

// restartStragglers stops runs on slow workers that would end later than new runs on
// other workers, so that their tasks start there.
func (m *Machine) restartStragglers() {
	for _, c := range m.speeds.Update(m.now) {
		m.log("worker speed changed", "worker", c.Worker, "slow", c.Slow, "speed", c.Speed, "tasks", c.Tasks, "stale", c.Stale)
		m.stale = true
	}
	if m.speeds.SlowWorkers() == 0 {
		return
	}
	p := restarts{m: m}
	for _, w := range m.order {
		if !m.speeds.Slow(w.name()) {
			continue
		}
		for _, r := range w.snapshot() {
			if p.made == maxRestartsPerTick || p.searches == maxRestartSearches {
				return
			}
			p.consider(r)
		}
	}
}

// restarts is one search for runs to restart.
type restarts struct {
	m              *Machine
	made, searches int
}

// consider restarts a run if that makes its task end earlier.
func (p *restarts) consider(r *run) {
	m := p.m
	if !m.mayRestart(r) || m.now.Sub(r.searchedAt) < searchInterval {
		return
	}
	there, known := r.remainingAtRate(m.now)
	elsewhere := m.timeElsewhere(r)
	if !known || float64(there) < restartMargin*float64(elsewhere) {
		return
	}
	p.searches++
	r.searchedAt = m.now
	to := p.target(r)
	if to == nil {
		return
	}
	p.made++
	m.runsMovedSlow++
	r.task.restartedFromSlow = true
	m.log("run restarted elsewhere", "id", r.task.job().spec.ID, "task", r.task.name(), "run", r.number, "worker", r.worker.name(),
		"speed", m.speeds.Speed(r.worker.name()), "remaining", there, "elsewhere", elsewhere, "percent", r.percent, "free", to.name())
	m.stop(r, "its worker is slow")
}

// target returns a worker on which the task would start now, or nil. There has to be
// free capacity for the restarts before this one, too.
func (p *restarts) target(r *run) *worker {
	m := p.m
	to := m.chooseWorker(r.task, m.fleet.Queues[r.task.job().queue])
	if to == nil || to == r.worker || m.speeds.Slow(to.name()) || m.countFitting(r.task.step, p.made+1) <= p.made {
		return nil
	}
	return to
}

// timeElsewhere returns how long a task would take from now if its run were stopped
// and a new one started on another worker.
func (m *Machine) timeElsewhere(r *run) time.Duration {
	full := m.fullDuration(r)
	if r.pace.saved == "" {
		return longestStop + full
	}
	return longestStop + m.resumeTime + full*time.Duration(100-r.pace.savedPercent)/100
}

// fullDuration returns how long a whole run of the task takes on other workers, 0 if that
// is not known.
func (m *Machine) fullDuration(r *run) time.Duration {
	if d := m.speeds.Duration(r.task.id(), r.worker.name()); d != 0 {
		return d
	}
	return m.longDuration(r.task.step)
}

// longDuration returns the longer one of the submitter's estimate and the observed
// average.
func (m *Machine) longDuration(s *step) time.Duration {
	mean, _ := m.runtimes.of(s)
	return max(s.spec.Estimate, mean)
}

// speedPenalty returns the penalty of a slow worker for a task that ends by itself and is
// not part of a gang. It reports false if the task had better wait for another worker.
func (m *Machine) speedPenalty(t *task, w *worker) (float64, bool) {
	s := t.step.spec
	if s.Perpetual || s.Gang {
		return 0, true
	}
	switch {
	case m.speeds.Slow(w.name()):
		// Waiting is better until the time lost equals what the task takes longer.
		loss := time.Duration(float64(m.duration(t.step)) * (1/max(m.speeds.Speed(w.name()), minRelativeSpeed) - 1))
		return slowPenalty, m.now.Sub(t.queuedAt) >= slowWait(loss)
	case m.speeds.Recent(m.now, w.name()) && w.finiteRuns() >= recentlySlowRuns:
		return slowPenalty, true
	}
	return 0, true
}

// slowWait returns how long a task waits rather than lose the given time. There are few
// values because a pass tells tasks apart by how many of them they have exceeded.
func slowWait(loss time.Duration) time.Duration {
	switch {
	case loss >= maxSlowWait:
		return maxSlowWait
	case loss >= midSlowWait:
		return midSlowWait
	default:
		return 0
	}
}

// finiteRuns returns the number of runs that end by themselves, best-effort ones
// included.
func (w *worker) finiteRuns() int {
	n := 0
	for _, r := range w.list {
		if !r.task.step.spec.Perpetual {
			n++
		}
	}
	return n
}
