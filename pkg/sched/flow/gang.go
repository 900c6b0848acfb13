package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// The tasks of a gang work only together. They start in one pass with one run
// number, and one end with success stands for all of them. If a run of a gang
// ends in any other way, the others cannot go on; they are stopped, so that the
// gang starts anew before they give up waiting by themselves.

const (
	// gangPatience is how long a gang waits until room is kept free for it, and
	// gangHold how long later tasks wait for its sake.
	gangReserveAfter = 700 * time.Millisecond
	gangReserveFor   = 2 * time.Second
	// gangRetry is the pause between two searches for room for one gang: each
	// rates all workers for each of its tasks.
	gangSearchInterval = 60 * time.Millisecond
)

// gangDone ends all tasks of a gang with the success of one run, and stops the
// other runs that it has.
func (m *Machine) gangDone(s *step, number uint64) {
	for _, t := range s.tasks {
		m.taskDone(t)
		for _, r := range t.runs {
			if r.number != number {
				m.stop(r, "another run of the gang succeeded")
			}
		}
	}
}

// breakGang stops the other runs of a gang of which one has ended.
func (m *Machine) breakGang(s *step, number uint64) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.number <= number {
				m.stop(r, "another run of the gang ended")
			}
		}
	}
}

// failures returns how often a task has failed, or its gang.
func (t *task) failures() int {
	if !t.step.spec.Gang {
		return len(t.failed)
	}
	var numbers []uint64
	for _, o := range t.step.tasks {
		numbers = append(numbers, o.failed...)
	}
	slices.Sort(numbers)
	return len(slices.Compact(numbers))
}

// gang places all tasks of a gang, or none.
func (p *pass) placeGang(s *step, q sched.Queue) {
	number := uint64(0)
	for _, t := range s.tasks {
		if t.phase == phaseDone {
			continue
		}
		if t.phase != phaseQueued || (t.mayBeRunning && p.m.recovery.active) {
			return
		}
		number = max(number, p.m.nextNumber(t))
	}
	if q.Advised {
		defer p.m.askAdvice(s, q)
	}
	if p.m.now.Sub(s.searchedAt) < gangSearchInterval {
		p.reserveForGang(s, q)
		return
	}
	s.searchedAt = p.m.now
	chosen := p.m.chooseGang(s, q)
	if chosen == nil {
		p.m.setBlocked(s, "no room for the whole gang")
		p.unplaced = append(p.unplaced, s)
		p.reserveForGang(s, q)
		return
	}
	saved := newestCheckpoint(s)
	for i, t := range s.tasks {
		if t.phase != phaseQueued {
			continue
		}
		t.checkpoint = saved
		p.starts++
		p.m.startRun(t, chosen[i], number)
	}
	s.blocked = ""
}

// keepRoom lets the steps that come after a gang wait for its sake, for a while
// and again and again, as small tasks would otherwise take all room before
// there is enough for a gang.
func (p *pass) reserveForGang(s *step, q sched.Queue) {
	waited := p.m.now.Sub(s.queuedSince()) - gangReserveAfter
	if waited >= 0 && waited%(2*gangReserveFor) < gangReserveFor && p.m.gangFitsEmptyWorkers(s, q) {
		p.reserved = true
	}
}

// queuedSince returns when the first of the waiting tasks began to wait.
func (s *step) queuedSince() time.Time {
	var first time.Time
	for _, t := range s.tasks {
		if t.phase == phaseQueued && (first.IsZero() || t.queuedAt.Before(first)) {
			first = t.queuedAt
		}
	}
	return first
}

// newestSaved returns the progress that all members of a gang resume from.
func newestCheckpoint(s *step) string {
	newest := ""
	for _, t := range s.tasks {
		newest = max(newest, t.checkpoint)
	}
	return newest
}

// chooseGang returns a worker for each task of a gang, or nil. A gang that
// wants one rack takes several only if no rack has room.
func (m *Machine) chooseGang(s *step, q sched.Queue) []*worker {
	if rack := s.spec.Affinity; rack != "" {
		if chosen := m.fitGang(s, q, rack); chosen != nil {
			return chosen
		}
		if m.now.Sub(s.readyAt) < m.remoteWait(s) && m.rackUsable(rack) {
			return nil
		}
	}
	if s.spec.SameRack {
		for _, rack := range m.racks() {
			if chosen := m.fitGang(s, q, rack); chosen != nil {
				return chosen
			}
		}
		if m.now.Sub(s.readyAt) < m.remoteWait(s) && m.gangFitsEmptyWorkers(s, q) {
			return nil
		}
	}
	return m.fitGang(s, q, "")
}

// gangFitsEmpty reports whether empty workers would hold the gang, of one rack
// if it wants that.
func (m *Machine) gangFitsEmptyWorkers(s *step, q sched.Queue) bool {
	slots := map[string]int{}
	for _, w := range m.order {
		if !m.usable(w) || w.member.Service != q.Service {
			continue
		}
		n := 0
		for r := s.spec.Need(); r.Fits(w.member.Capacity) && n < s.spec.Count; r = r.Add(s.spec.Need()) {
			n++
		}
		if s.spec.AntiAffinity > 0 {
			n = min(n, s.spec.AntiAffinity)
		}
		rack := ""
		if s.spec.SameRack {
			rack = w.member.Rack()
		}
		slots[rack] += n
	}
	for _, n := range slots {
		if n >= s.spec.Count {
			return true
		}
	}
	return false
}

// fitGang places a gang within a rack, or anywhere if rack is empty.
func (m *Machine) fitGang(s *step, q sched.Queue, rack string) []*worker {
	chosen := make([]*worker, len(s.tasks))
	taken := map[*worker]sched.Resources{}
	count := map[*worker]int{}
	need := s.spec.Need()
	for i, t := range s.tasks {
		if t.phase != phaseQueued {
			continue
		}
		var best *worker
		var bestRate float64
		for _, w := range m.order {
			if rack != "" && w.member.Rack() != rack || !m.permitted(t, w, q) {
				continue
			}
			if s.spec.AntiAffinity > 0 && t.step.placedOn[w]+count[w] >= s.spec.AntiAffinity {
				continue
			}
			free := w.free().Sub(taken[w])
			if !need.Fits(free) {
				continue
			}
			rate := float64(free.CPU)/max(float64(w.member.Capacity.CPU), 1) - m.gangPenalty(s, w)
			if best == nil || rate > bestRate {
				best, bestRate = w, rate
			}
		}
		if best == nil {
			return nil
		}
		chosen[i] = best
		taken[best] = taken[best].Add(need)
		count[best]++
	}
	return chosen
}

// gangPenalty rates how little a worker is trusted with a gang: a failure of one
// member is one of all.
func (m *Machine) gangPenalty(s *step, w *worker) float64 {
	worst := 0.0
	for _, t := range s.tasks {
		worst = max(worst, m.failurePenalty(t, w))
	}
	return worst
}

// racks returns the racks of the workers, the one with the most free room
// first.
func (m *Machine) racks() []string {
	free := map[string]sched.MilliCPU{}
	var names []string
	for _, w := range m.order {
		if !m.usable(w) {
			continue
		}
		r := w.member.Rack()
		if _, ok := free[r]; !ok {
			names = append(names, r)
		}
		free[r] += w.free().CPU
	}
	slices.SortStableFunc(names, func(a, b string) int { return int(free[b] - free[a]) })
	return names
}
