package flow

import "github.com/mangoslip/mangoslip/pkg/sched"

// adopt continues a run that the worker reports but this machine does not
// track: an earlier leader started it, or it was ordered and given up. It
// returns nil for a run of an unknown task. A run that is not needed is
// stopped.
func (m *Machine) adopt(w *worker, rep *sched.RunReport) *run {
	t := m.task(rep.Run.Task)
	if t == nil {
		m.log("unknown run stopped", "id", rep.Run.Task.Job, "task", taskName(rep.Run.Task), "run", rep.Run.Number, "worker", w.name())
		m.emit(StopCmd{Member: w.member, Order: sched.StopOrder{Run: rep.Run, Fence: m.token(w)}})
		return nil
	}
	r := &run{
		task: t, number: rep.Run.Number, worker: w, state: runRunning, need: t.step.spec.Need(),
		firstSent: m.now, lastSent: m.now, knownAt: m.now, progressedAt: m.now, checkpoint: rep.Saved, tries: 1,
		adopted: true,
	}
	r.throttle.init()
	if r.bestEffort() {
		// An earlier leader may have throttled the run; workers do not report speed
		// limits.
		r.throttle.have = throttleUnknown
	}
	t.number = max(t.number, r.number)
	wanted := (t.phase == phaseQueued || t.phase == phaseWaiting) && !t.job().state.Final()
	others := len(t.runs)
	m.attach(r)
	t.job().started = true
	m.log("run adopted", "id", t.job().spec.ID, "task", t.name(), "run", r.number, "worker", w.name(),
		"wanted", wanted, "others", others, "born", w.member.Born)
	switch {
	case wanted && others == 0:
		m.dequeue(t, phaseActive)
	case t.step.spec.Speculative && t.phase == phaseActive:
	default:
		m.stop(r, "run is not needed")
	}
	return r
}
