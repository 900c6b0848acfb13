package flow

import (
	"errors"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// cancelRetention is how long the cancellation of a job that is not in the store is
	// kept. The write of the job may take effect seconds after its caller has left, and
	// callers may repeat it.
	cancelRetention = 2 * time.Minute
	// forgetInterval is the shortest time between two removals of cancellations.
	forgetInterval = 250 * time.Millisecond
	// forgetRetry is the pause after a removal that failed.
	forgetRetry = 5 * time.Second
	// maxForgottenCancels is the most cancellations that one transaction removes. It
	// needs a condition and a removal for each, and the store accepts 32 rows.
	maxForgottenCancels = 15
)

// cancellations holds the cancellations of jobs that have not been delivered.
type cancellations struct {
	byJob map[sched.JobID]cancellation
	// order holds the jobs in the order of arrival. A job whose cancellation is not
	// kept any more is left out later.
	order []sched.JobID
	// removing means that a removal has no result yet.
	removing  bool
	notBefore time.Time
}

// cancellation is a recorded cancellation. recorded is as in [CancelMsg], and since is
// when it arrived.
type cancellation struct {
	recorded int64
	since    time.Time
}

// ForgetCancelsCmd removes recorded cancellations of jobs from the store, on the
// condition that none of the jobs is in the store and that the term is the newest one.
// The runner answers with a ForgotCancelsMsg.
type ForgetCancelsCmd struct{ Jobs []sched.JobID }

// ForgotCancelsMsg answers a ForgetCancelsCmd. Without Err, all are removed. Stored
// lists the jobs that are in the store, if there are any; nothing is removed then.
type ForgotCancelsMsg struct {
	Jobs   []sched.JobID
	Stored []sched.JobID
	// Superseded means that a newer term exists.
	Superseded bool
	Err        error
}

// add keeps a cancellation until its job is delivered.
func (c *cancellations) add(id sched.JobID, x cancellation) {
	if _, ok := c.byJob[id]; ok {
		return
	}
	c.byJob[id] = x
	c.order = append(c.order, id)
}

// take returns the cancellation of a job, which is not kept any more.
func (c *cancellations) take(id sched.JobID) (cancellation, bool) {
	x, ok := c.byJob[id]
	delete(c.byJob, id)
	return x, ok
}

// expired returns the first jobs whose cancellation was kept long enough.
func (c *cancellations) expired(now time.Time) []sched.JobID {
	var out []sched.JobID
	n := 0
	for _, id := range c.order {
		x, kept := c.byJob[id]
		if kept && (now.Sub(x.since) < cancelRetention || len(out) == maxForgottenCancels) {
			break
		}
		if kept {
			out = append(out, id)
		}
		n++
	}
	if n > 0 {
		// The expired ones come first again until they are removed.
		c.order = slices.Concat(out, c.order[n:])
	}
	return out
}

// cancelJob cancels a job that has not ended. A cancellation of an unknown job
// is kept until the job arrives. recorded is as in [CancelMsg].
func (m *Machine) cancelJob(id sched.JobID, recorded int64) {
	j := m.jobs[id]
	if j == nil {
		m.cancels.add(id, cancellation{recorded, m.now})
		return
	}
	if j.state.Final() {
		return
	}
	m.log("cancellation takes effect", "id", id, "delay", time.Duration(m.wallMillis(m.now)-recorded)*time.Millisecond)
	m.endJob(j, sched.JobCancelled, "cancelled by its owner")
}

// forgetCancels removes the oldest cancellations of jobs that did not arrive.
func (m *Machine) forgetCancels() {
	c := &m.cancels
	if !m.loaded || c.removing || m.now.Before(c.notBefore) {
		return
	}
	c.notBefore = m.now.Add(forgetInterval)
	jobs := c.expired(m.now)
	if len(jobs) == 0 {
		return
	}
	c.removing = true
	m.emit(ForgetCancelsCmd{Jobs: jobs})
}

// handleForgotCancels handles the result of a removal. After an unknown outcome the
// removal is repeated, which has no further effect.
func (m *Machine) handleForgotCancels(msg ForgotCancelsMsg) {
	c := &m.cancels
	c.removing = false
	if msg.Superseded {
		m.endTerm("a newer term exists in the store")
		return
	}
	gone := msg.Stored // A job that is stored was delivered, or ended long ago.
	if msg.Err == nil || errors.Is(msg.Err, sched.ErrRefused) {
		gone = msg.Jobs // Another attempt would be refused, too.
	} else if len(gone) == 0 {
		c.notBefore = m.now.Add(forgetRetry)
	}
	for _, id := range gone {
		delete(c.byJob, id)
	}
	m.log("cancellations of unknown jobs removed", "asked", len(msg.Jobs), "stored", len(msg.Stored), "left", len(c.byJob), "error", msg.Err)
}
