package flow

import "time"

// restoreHandover applies what the last leader handed over. The record is used only if
// the term of that leader was the one before this one, because runs may have been
// started in any term between.
func (m *Machine) restoreHandover(msg TakeoverMsg) {
	if len(msg.Handover) == 0 {
		return
	}
	h, err := decodeHandover(msg.Handover)
	if err != nil {
		m.log("stored handover is damaged", "error", err)
		return
	}
	if h.Term != m.term-1 {
		return
	}
	began := msg.Began
	if began.IsZero() {
		began = m.now
	}
	workers := m.restoreHolders(h, began)
	for _, j := range m.live {
		j.setUnresolved(false)
	}
	for _, x := range h.Jobs {
		if m.jobs[x.ID] == nil {
			continue
		}
		m.restoreHandoverJob(x, workers)
		m.restoreWaiting(x, began)
	}
}

// restoreHolders replaces the holders by those of the record, and returns its workers
// in their order. The leases last from the beginning of the term, which was after the
// record was made.
func (m *Machine) restoreHolders(h *handover, began time.Time) []*worker {
	r := &m.recovery
	r.handedOver, r.holders = !h.EarlierLeader, map[*worker]bool{}
	var out []*worker
	for _, x := range h.Workers {
		w := m.workers[x.Name]
		if w == nil {
			m.log("worker of the handover is unknown", "worker", x.Name, "left", x.Left)
			w = &worker{}
			w.member.Worker = x.Name
			r.awaited = append(r.awaited, w)
		}
		if x.Holder {
			r.holders[w] = true
		}
		if x.Left != unknownLeft {
			r.expiry[w] = began.Add(x.Left)
		}
		out = append(out, w)
	}
	return out
}

// restoreHandoverJob applies what the record says of a job.
func (m *Machine) restoreHandoverJob(x handoverJob, workers []*worker) {
	if x.Unresolved {
		m.jobs[x.ID].setUnresolved(true)
	}
	for _, y := range x.Tasks {
		t := m.task(y.id(x.ID))
		switch {
		case t == nil:
		case y.Worker == anyHolder:
			t.unresolved = true
		default:
			w := workers[y.Worker]
			m.recovery.named[w] = append(m.recovery.named[w], t)
			t.mayRunOn++
		}
	}
}

// restoreWaiting restores since when tasks wait for a worker, and from which checkpoint
// they resume.
func (m *Machine) restoreWaiting(x handoverJob, began time.Time) {
	for _, y := range x.Waiting {
		t := m.task(y.id(x.ID))
		if t == nil || t.phase != phaseQueued {
			continue
		}
		t.queuedAt = began.Add(-min(max(y.Waited, 0), m.now.Sub(t.job().acceptedAt)))
		if t.step.spec.Checkpoint && y.Checkpoint != "" {
			t.checkpoint = y.Checkpoint
		}
	}
}

// setUnresolved sets whether an earlier leader may have started any of the job's tasks
// on any holder.
func (j *job) setUnresolved(unresolved bool) {
	j.inherited = unresolved
	for _, t := range j.tasks() {
		t.unresolved = unresolved
	}
}
