package flow

import "time"

// maxAway is how long a perpetual task whose run has ended waits behind short tasks.
// Its users expect it to run again within 6 s; the other half is for its start.
// Perpetual tasks that have not run yet stay behind short ones.
const maxAway = 3 * time.Second

// noteAway records that a run of a perpetual task has ended. The time is durable, so
// that the wait does not begin again with each leader. It is not recorded again within
// maxAway, because a task may fail again and again.
func (m *Machine) noteAway(t *task) {
	if !t.step.spec.Perpetual || t.job().state.Final() {
		return
	}
	t.awaySince = m.now
	millis := m.wallMillis(m.now)
	if age := time.Duration(millis-t.awayMillis) * time.Millisecond; age.Abs() < maxAway {
		return
	}
	t.awayMillis = millis
	m.markChanged(t.job())
}

// noteInherited records that an earlier leader may have started a perpetual task whose
// end is unknown. If its job has started, the task counts as one that lost its run when
// this term began.
func (m *Machine) noteInherited(t *task) {
	if t.step.spec.Perpetual && t.job().inherited && t.awaySince.IsZero() {
		t.awaySince = m.now
	}
}

// awayTooLong reports whether a task waits that lost its run longer ago than maxAway.
func (m *Machine) awayTooLong(t *task) bool {
	return t.phase == phaseQueued && t.job().started && !t.awaySince.IsZero() && m.now.Sub(t.awaySince) >= maxAway
}

// awayLongest returns since when the task of a step has been away that lost its run
// first, of those that have been away too long. It is zero if there is none.
func (m *Machine) awayLongest(s *step) time.Time {
	var since time.Time
	if !s.spec.Perpetual {
		return since
	}
	for _, t := range s.tasks {
		if m.awayTooLong(t) && (since.IsZero() || t.awaySince.Before(since)) {
			since = t.awaySince
		}
	}
	return since
}

// restoreAway restores the time since which a task has been away. The time of day may
// have been changed since it was recorded.
func (m *Machine) restoreAway(t *task, millis int64) {
	if millis == 0 {
		return
	}
	age := time.Duration(m.wallMillis(m.now)-millis) * time.Millisecond
	t.awaySince, t.awayMillis = m.now.Add(-min(max(age, 0), maxAway)), millis
}
