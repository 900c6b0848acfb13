package pool

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// worker is the account of one worker.
type worker struct {
	sched.Instance
	name sched.WorkerName
	// listed is false once the list has dropped the worker; its account is
	// kept until nothing is taken any more.
	listed bool
	// loadKnown is false while load of earlier epochs may be missing.
	loadKnown     bool
	nextInventory time.Time
	batch         sched.Resources
	tasks         int
	targets       []*target
	health        health
}

// target is one service on one worker.
type target struct {
	worker  *worker
	service *service
	// busy counts grants of this machine, foreign the slots that an
	// inventory showed busy with requests of earlier epochs, and lingering
	// the slots of requests that ended with an unknown outcome.
	busy        int
	inherited   int
	unconfirmed int
	// unconfirmedSince is when the latest request was given up, lingerUntil when
	// no request that was given up can run any more.
	unconfirmedSince time.Time
	unconfirmedUntil time.Time
	// load is the router's view; a copy is in service.loads at pos while the
	// target has room.
	load  sched.TargetLoad
	pos   int
	slots int
	free  int
	// unlisted says that the list no longer shows the service on the worker.
	unlisted bool
}

// live reports whether a worker may get new work.
func (w *worker) live() bool {
	return w.listed && w.loadKnown && w.State == sched.StateLive
}

// target returns the account of a service.
func (w *worker) target(s *service) *target {
	for _, t := range w.targets {
		if t.service == s {
			return t
		}
	}
	return nil
}

// slotUse returns what the slots in use reserve.
func (w *worker) slotUse() sched.Resources {
	var sum sched.Resources
	for _, t := range w.targets {
		sum = sum.Add(t.service.SlotResources.Scale(t.busy + t.untracked()))
	}
	return sum
}

// untracked returns the slots that may be busy with requests that the machine
// does not follow.
func (t *target) untracked() int { return t.inherited + t.unconfirmed }

// idle reports whether nothing is taken.
func (w *worker) idle() bool {
	for _, t := range w.targets {
		if t.busy > 0 {
			return false
		}
	}
	return w.tasks == 0
}

// refresh recomputes the room of each service on a worker. It is called after
// every change of the worker's account.
func (m *Machine) refresh(w *worker) {
	free := w.Capacity.Sub(w.batch).Sub(w.slotUse())
	for _, t := range w.targets {
		m.setSlots(t, t.bound(free))
	}
}

// bound returns the slots that this machine may have in use on a target, given
// the free resources of its worker.
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

// fitCount returns how often r fitCount into free.
func fitCount(r, free sched.Resources) int {
	const many = 1 << 20
	n := many
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

// setSlots updates the router's view of a target and the sums of its service.
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

// removeAvailable removes a target from the ones with room.
func (s *service) removeAvailable(t *target) {
	last := len(s.available) - 1
	moved := s.available[last]
	s.available[t.pos], s.loads[t.pos] = moved, s.loads[last]
	moved.pos = t.pos
	s.available, s.loads = s.available[:last], s.loads[:last]
	t.pos = -1
}
