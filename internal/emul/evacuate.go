package emul

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// evacuateTime is how long after an evacuation was acknowledged tasks may start in the
// data centre.
const evacuateTime = 5 * time.Second

// Evacuate lets the operators evacuate exactly the given data centres from now on. The
// leaders read the evacuations if the operators can ask for any, which the first call
// means; it has to come before the first leader.
func (e *Emulator) Evacuate(dataCentres ...sched.DataCentre) {
	before := e.evacuations
	e.evacuations = map[sched.DataCentre]time.Time{}
	for _, d := range dataCentres {
		at, ok := before[d]
		if !ok {
			at = e.now
		}
		e.evacuations[d] = at
	}
}

// machineOptions returns the options of the state machines.
func (e *Emulator) machineOptions() []flow.Option {
	out := []flow.Option{flow.WithWallClock(func(now time.Time) int64 { return now.UnixMilli() })}
	if e.evacuations != nil {
		out = append(out, flow.WithEvacuateTime(evacuateTime))
	}
	return out
}

// readEvacuations delivers the evacuations to the leader.
func (l *Leader) readEvacuations() {
	if l.e.evacuations == nil {
		return
	}
	msg := flow.EvacuationsMsg{Asked: l.e.now}
	for _, w := range l.e.Workers {
		if _, ok := l.e.evacuations[w.Member.DataCentre]; ok {
			msg.DataCentres = append(msg.DataCentres, w.Member.DataCentre)
		}
	}
	l.post(msg)
}

// checkEvacuation checks that a start comes soon enough after the evacuation of the data
// centre.
func (e *Emulator) checkEvacuation(w *Worker, t sched.RunTask) {
	if at, ok := e.evacuations[w.Member.DataCentre]; ok && e.now.Sub(at) > evacuateTime {
		e.violate("%s starts on %s %s after the evacuation of %s", taskName(t), w.Member.Worker, e.now.Sub(at), w.Member.DataCentre)
	}
}
