package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// setWorkers applies a new instance list.
func (m *Machine) setWorkers(now time.Time, msg WorkersMsg) {
	m.fleet = msg.Fleet
	for _, w := range m.sortedWorkers {
		w.listed = false
	}
	for i := range msg.Workers {
		in := &msg.Workers[i]
		if in.Role != sched.RoleWorker {
			continue
		}
		w := m.workers[sched.WorkerName(in.Name)]
		if w == nil {
			w = m.addWorker(sched.WorkerName(in.Name))
		}
		if in.Generation != w.Generation {
			w.health = health{}
		}
		w.Instance = *in
		w.listed = true
	}
	m.setTargets(now)
	for _, w := range slices.Clone(m.sortedWorkers) {
		m.removeIfUnused(w)
	}
	m.expireUntracked(now)
	m.requestInventories(now)
	for _, s := range m.services {
		m.dispatch(now, s)
	}
}

// addWorker adds a worker whose load is unknown. A worker that is listed soon
// after a takeover may carry load of the earlier owner.
func (m *Machine) addWorker(name sched.WorkerName) *worker {
	w := &worker{name: name}
	m.workers[name] = w
	at, _ := slices.BinarySearchFunc(m.sortedWorkers, name, func(w *worker, n sched.WorkerName) int {
		return strings.Compare(string(w.name), string(n))
	})
	m.sortedWorkers = slices.Insert(m.sortedWorkers, at, w)
	return w
}

// removeIfUnused removes a worker that is not listed any more once no grant and
// no task uses it.
func (m *Machine) removeIfUnused(w *worker) {
	if w.listed || !w.idle() || m.workers[w.name] != w {
		return
	}
	for _, t := range w.targets {
		m.setSlots(t, 0)
	}
	delete(m.workers, w.name)
	m.sortedWorkers = slices.DeleteFunc(m.sortedWorkers, func(o *worker) bool { return o == w })
}

// setTargets updates the targets of all workers from the instance list and the
// configuration.
func (m *Machine) setTargets(now time.Time) {
	for _, s := range m.services {
		s.targets = 0
	}
	for _, w := range m.sortedWorkers {
		for _, t := range w.targets {
			t.unlisted = true
		}
		for _, name := range w.Services {
			if s := m.servicesByName[name]; s != nil && w.listed {
				m.ensureTarget(now, w, s).unlisted = false
			}
		}
		m.pruneTargets(w)
		m.refresh(w)
	}
	for _, s := range m.services {
		m.setHardLimit(s)
	}
}

// ensureTarget returns the target of a service on a worker and adds it if it is
// missing.
func (m *Machine) ensureTarget(now time.Time, w *worker, s *service) *target {
	if t := w.target(s); t != nil {
		return t
	}
	t := &target{worker: w, service: s, pos: -1, unlisted: true}
	t.load.Worker = w.name
	t.load.DataCentre = w.DataCentre
	t.load.FirstSeen = now
	w.targets = append(w.targets, t)
	return t
}

// pruneTargets removes the unlisted targets of a worker that are not in use. It
// adds the listed ones of a live worker to the count of their service.
func (m *Machine) pruneTargets(w *worker) {
	kept := w.targets[:0]
	for _, t := range w.targets {
		if t.unlisted && t.busy == 0 && t.untracked() == 0 {
			m.setSlots(t, 0)
			continue
		}
		if !t.unlisted && w.State == sched.StateLive {
			t.service.targets++
		}
		kept = append(kept, t)
	}
	w.targets = kept
}

// setHardLimit sets the hard limit of a service: the slots of its live workers,
// or their connections if these are fewer.
func (m *Machine) setHardLimit(s *service) {
	n := s.Slots
	if s.Connections > 0 {
		n = min(n, s.Connections)
	}
	if hard := s.targets * n; hard != s.hardLimit {
		s.hardLimit = hard
		s.limit.SetHardLimit(hard)
	}
}
