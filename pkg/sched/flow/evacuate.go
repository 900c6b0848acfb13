package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// An evacuated data centre gets no starts. What runs there continues, and its leases are
// renewed. Its workers are not usable, so their capacity does not count and no step
// waits for their racks.

// maxEvacuationLines bounds the lines about one read of the evacuations, since anyone
// who can write to the store can name any number of data centres.
const maxEvacuationLines = 16

// EvacuationsMsg tells which data centres the operators evacuate now. Asked is when the
// store was asked.
type EvacuationsMsg struct {
	DataCentres []sched.DataCentre
	Asked       time.Time
}

// evacuations holds since when this machine knows that a data centre is evacuated.
type evacuations struct {
	since map[sched.DataCentre]time.Time
	// readAt is when the store was last asked for the evacuations and answered.
	readAt time.Time
}

// evacuated reports whether the data centre of a worker is evacuated.
func (m *Machine) evacuated(w *worker) bool {
	_, ok := m.evacuations.since[w.member.DataCentre]
	return ok
}

// takesStarts reports whether neither the worker nor the operators have asked for no
// more starts there.
func (m *Machine) takesStarts(w *worker) bool { return !w.member.Draining && !m.evacuated(w) }

// knowsEvacuations reports whether the evacuations are known well enough to start tasks.
// Half of the time within which an evacuation takes effect is left for the order. Before
// the first read nothing is started, because any data centre may be evacuated.
func (m *Machine) knowsEvacuations() bool {
	return m.evacuateTime == 0 || !m.evacuations.readAt.IsZero() && m.isCurrent(m.evacuations.readAt, m.evacuateTime/2)
}

// setEvacuations applies which data centres are evacuated.
func (m *Machine) setEvacuations(msg EvacuationsMsg) {
	before, now := m.evacuations.since, map[sched.DataCentre]time.Time{}
	var began []sched.DataCentre
	for _, d := range msg.DataCentres {
		if _, ok := now[d]; ok {
			continue
		}
		since, known := before[d]
		if !known {
			since = m.now
			began = append(began, d)
		}
		now[d] = since
	}
	m.evacuations.since = now
	m.logEvacuations("evacuation begins", began, now)
	maps.DeleteFunc(before, func(d sched.DataCentre, _ time.Time) bool { _, ok := now[d]; return ok })
	m.logEvacuations("evacuation ends", slices.Sorted(maps.Keys(before)), before)
	m.stale = m.stale || len(began) > 0 || len(before) > 0
	m.noteLatest(&m.evacuations.readAt, msg.Asked)
}

// logEvacuations logs the begin or the end of evacuations. An evacuation without workers
// names a data centre that is not known.
func (m *Machine) logEvacuations(event string, dataCentres []sched.DataCentre, since map[sched.DataCentre]time.Time) {
	for i, d := range dataCentres {
		if i == maxEvacuationLines {
			m.log("further evacuations are not logged", "event", event, "number", len(dataCentres)-i)
			return
		}
		workers, runs := 0, 0
		for _, w := range m.order {
			if w.listed && w.member.DataCentre == d {
				workers++
				runs += len(w.runs)
			}
		}
		m.log(event, "dataCentre", d, "workers", workers, "runs", runs, "lasted", m.now.Sub(since[d]))
	}
}

// countEvacuated returns how many data centres of known workers are evacuated, and how
// many runs are in progress there.
func (m *Machine) countEvacuated() (dataCentres, runs int) {
	known := map[sched.DataCentre]bool{}
	for _, w := range m.order {
		if m.evacuated(w) {
			known[w.member.DataCentre] = true
			runs += len(w.runs)
		}
	}
	return len(known), runs
}
