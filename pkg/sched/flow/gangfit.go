package flow

import (
	"container/heap"
	"math"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// gangFit chooses workers for the members of a gang. All members need the same, so each
// worker is rated once, and again only after it took a member.
type gangFit struct {
	need sched.Resources
	// best holds the workers that can take another member.
	best ranks
	// room holds, by the order of the workers, what is left on each.
	room map[int]*gangRoom
}

// gangRoom is what is left on a worker for members of a gang.
type gangRoom struct {
	free sched.Resources
	// members is how many more members the worker may take by anti-affinity.
	members int
	penalty float64
}

// fitGang chooses workers for a gang within a rack, or on any rack if rack is
// empty. It returns nil if the gang does not fit.
func (m *Machine) fitGang(s *step, q sched.Queue, rack string) []*worker {
	f := gangFit{need: s.spec.Need(), room: map[int]*gangRoom{}}
	avoided := s.avoided()
	slots := 0
	for i, w := range m.order {
		if rack != "" && w.member.Rack() != rack || !m.permitted(s.tasks[0], w, q) {
			continue
		}
		r := &gangRoom{free: w.freeFor(s), members: math.MaxInt, penalty: m.workerPenalty(w)}
		if s.spec.AntiAffinity > 0 {
			r.members = s.spec.AntiAffinity - s.placedOn[w]
		}
		if avoided[w.name()] {
			r.penalty += avoidedPenalty
		}
		slots += r.free.Slots(f.need, min(r.members, s.queued))
		f.room[i] = r
		f.best = append(f.best, rank{w, r.rate(w), i})
	}
	if slots < s.queued {
		return nil
	}
	heap.Init(&f.best)
	chosen := make([]*worker, len(s.tasks))
	for i, t := range s.tasks {
		if t.phase == phaseQueued {
			chosen[i] = f.take()
		}
	}
	return chosen
}

// take takes a place for one member on the best worker.
func (f *gangFit) take() *worker {
	top := &f.best[0]
	w, r := top.w, f.room[top.order]
	r.free = r.free.Sub(f.need)
	r.members--
	if r.members == 0 || !f.need.Fits(r.free) {
		heap.Pop(&f.best)
		return w
	}
	top.score = r.rate(w)
	heap.Fix(&f.best, 0)
	return w
}

// rate rates a worker by its free processors.
func (r *gangRoom) rate(w *worker) float64 {
	return float64(r.free.CPU)/max(float64(w.member.Capacity.CPU), 1) - r.penalty
}

// avoided returns the workers that any member of a gang avoids, because a failure of one
// member fails the whole gang.
func (s *step) avoided() map[sched.WorkerName]bool {
	out := map[sched.WorkerName]bool{}
	for _, t := range s.tasks {
		for _, name := range t.avoid {
			out[name] = true
		}
	}
	return out
}
