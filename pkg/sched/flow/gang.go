package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// The tasks of a gang work only together. They start in one pass with one run
// number, and the success of one run is the success of all. If a run of a gang
// ends in any other way, the others cannot continue. They are stopped so that
// the gang starts again before its members time out waiting for each other.

const (
	// gangReserveAfter is how long a gang waits before capacity is reserved for
	// it. gangReserveFor is how long a reservation lasts. Short tasks that come
	// later in a pass wait during it.
	gangReserveAfter = 700 * time.Millisecond
	gangReserveFor   = 2 * time.Second
	// gangSearchInterval is the pause between two searches for one gang.
	gangSearchInterval = 60 * time.Millisecond
)

// gangDone ends all tasks of a gang after the success of one run, and stops
// runs of the gang with other numbers.
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

// breakGang stops the remaining runs of a gang after the run with the given
// number ended. Runs of a later start of the gang continue.
func (m *Machine) breakGang(s *step, number uint64) {
	if number <= s.broken {
		return
	}
	s.broken = number // Each stop below breaks the gang again.
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.number <= number {
				m.stop(r, "another run of the gang ended")
			}
		}
	}
}

// failures returns how often a task, or the gang it belongs to, has failed.
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

// placeGang places all tasks of a gang, or none.
func (p *pass) placeGang(s *step, q sched.Queue) {
	number := uint64(0)
	for _, t := range s.tasks {
		if t.phase == phaseDone {
			continue
		}
		if t.phase != phaseQueued || t.mayBeRunning() {
			return
		}
		number = max(number, p.m.nextNumber(t))
	}
	if q.Advised {
		p.advised = append(p.advised, advisedStep{s, q})
	}
	if s.queued > p.m.freeRunsFor(s.occ.job) {
		p.m.setBlocked(s, "too many runs")
		return
	}
	if p.m.now.Sub(s.searchedAt) < gangSearchInterval {
		p.reserveForGang(s, q)
		return
	}
	s.searchedAt = p.m.now
	chosen := p.m.chooseGang(s, q)
	if chosen == nil {
		p.m.setBlocked(s, "no free capacity for the whole gang")
		p.unplaced = append(p.unplaced, s)
		p.reserveForGang(s, q)
		return
	}
	checkpoint := newestCheckpoint(s)
	for i, t := range s.tasks {
		if t.phase != phaseQueued {
			continue
		}
		t.checkpoint = checkpoint
		p.starts++
		p.m.startRun(t, chosen[i], number)
	}
	s.blocked = ""
}

// reserveForGang makes later steps of short tasks wait so that a gang can start.
// Otherwise small tasks would take every piece of free capacity before there is
// enough for the gang. The reservation is repeated with pauses of the same
// length.
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

// newestCheckpoint returns the checkpoint that all members of a gang resume
// from. The checkpoint whose name sorts last counts as the newest.
func newestCheckpoint(s *step) string {
	newest := ""
	for _, t := range s.tasks {
		newest = max(newest, t.checkpoint)
	}
	return newest
}

// chooseGang returns a worker for each waiting task of a gang, or nil. A gang
// that prefers one rack is spread over several only after it has waited for
// one, or if no rack can hold it.
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

// gangFitsEmptyWorkers reports whether the usable workers could hold the gang
// if they were empty, within one rack if the gang prefers that.
func (m *Machine) gangFitsEmptyWorkers(s *step, q sched.Queue) bool {
	slots := map[string]int{}
	for _, w := range m.order {
		if !m.usable(w) || w.member.Service != q.Service {
			continue
		}
		most := s.spec.Count
		if s.spec.AntiAffinity > 0 {
			most = min(most, s.spec.AntiAffinity)
		}
		rack := ""
		if s.spec.SameRack {
			rack = w.member.Rack()
		}
		slots[rack] += w.member.Capacity.Slots(s.spec.Need(), most)
	}
	for _, n := range slots {
		if n >= s.spec.Count {
			return true
		}
	}
	return false
}

// racks returns the racks of the usable workers, those with the most free
// processors first.
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
