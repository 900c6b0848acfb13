package pool

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// worker is the state of one worker.
type worker struct {
	sched.Instance
	name sched.WorkerName
	// listed is false once the instance list has dropped the worker. The worker
	// is kept until no grant and no task uses it.
	listed bool
	// loadKnown is false while load of earlier epochs may be missing from the
	// counts.
	loadKnown bool
	// nextInventory is when the next inventory may be requested.
	nextInventory time.Time
	// batch is the resources that tasks reserve, and tasks their number.
	batch   sched.Resources
	tasks   int
	targets []*target
	health  health
}

// target is one service on one worker.
type target struct {
	worker  *worker
	service *service
	// busy counts the grants of this machine, and inherited the slots that an
	// inventory showed as busy with requests of earlier epochs. holds has an
	// element for each slot of a request that ended with an unknown outcome, the
	// oldest first.
	busy      int
	inherited int
	holds     []hold
	// load is the router's view of the target. While the target has a free
	// slot, service.loads holds a copy at index pos; otherwise pos is -1.
	load sched.TargetLoad
	pos  int
	// slots is the number of slots that this machine may have in use, and free
	// those of them that are not in use.
	slots int
	free  int
	// unlisted is true if the instance list does not show the service on the
	// worker.
	unlisted bool
}

// live reports whether a worker may get new requests and tasks, apart from its
// health.
func (w *worker) live() bool {
	return w.listed && w.loadKnown && w.State == sched.StateLive
}

// target returns the target of a service on the worker, or nil.
func (w *worker) target(s *service) *target {
	for _, t := range w.targets {
		if t.service == s {
			return t
		}
	}
	return nil
}

// slotUse returns the resources that slots in use reserve, including untracked
// ones.
func (w *worker) slotUse() sched.Resources {
	var sum sched.Resources
	for _, t := range w.targets {
		sum = sum.Add(t.service.SlotResources.Scale(t.busy + t.untracked()))
	}
	return sum
}

// untracked returns the number of slots that may be busy with requests that the
// machine does not track.
func (t *target) untracked() int { return t.inherited + len(t.holds) }

// idle reports whether no request and no task may run on the worker.
func (w *worker) idle() bool {
	for _, t := range w.targets {
		if t.busy > 0 || t.untracked() > 0 {
			return false
		}
	}
	return w.tasks == 0
}

// refresh recomputes the slots of each target on a worker. It is called after
// every change that affects them.
func (m *Machine) refresh(w *worker) {
	free := w.Capacity.Sub(w.batch).Sub(w.slotUse())
	for _, t := range w.targets {
		m.setSlots(t, t.bound(free))
	}
}

// bound returns the number of slots that this machine may have in use on a
// target, given the free resources of its worker.
func (t *target) bound(free sched.Resources) int {
	w, s := t.worker, t.service
	if !w.live() || t.unlisted {
		return 0
	}
	n := s.Slots
	if s.Connections > 0 {
		n = min(n, s.Connections)
	}
	n -= t.untracked()
	n = min(n, t.busy+fitCount(s.SlotResources, free))
	return max(w.health.bound(n), 0)
}

// fitCount returns how many times r fits into free.
func fitCount(r, free sched.Resources) int {
	const unlimited = 1 << 20
	n := unlimited
	if r.CPU > 0 {
		n = min(n, int(free.CPU/r.CPU))
	}
	if r.Memory > 0 {
		n = min(n, int(free.Memory/r.Memory))
	}
	if r.Accelerators > 0 {
		n = min(n, free.Accelerators/r.Accelerators)
	}
	return max(n, 0)
}

// setSlots sets the slots of a target. It updates the router's view of the
// target and the sums of its service.
func (m *Machine) setSlots(t *target, slots int) {
	s := t.service
	free := max(slots-t.busy, 0)
	s.free += free - t.free
	s.slots += slots - t.slots
	t.free, t.slots = free, slots
	t.load.Slots, t.load.InFlight = slots, t.busy
	switch {
	case free > 0 && t.pos < 0:
		t.pos = len(s.available)
		s.available = append(s.available, t)
		s.loads = append(s.loads, t.load)
	case free > 0:
		s.loads[t.pos] = t.load
	case t.pos >= 0:
		s.removeAvailable(t)
	}
}

// removeAvailable removes a target from those with a free slot.
func (s *service) removeAvailable(t *target) {
	last := len(s.available) - 1
	moved := s.available[last]
	s.available[t.pos], s.loads[t.pos] = moved, s.loads[last]
	moved.pos = t.pos
	s.available, s.loads = s.available[:last], s.loads[:last]
	t.pos = -1
}
