package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// commitGap is the shortest time between two commits, so that run ends that
	// arrive close together share a call to the store.
	commitGap = 25 * time.Millisecond
	// maxCommitRecords is the most records of one commit. The store accepts 32
	// rows in a transaction: a condition and a write for each record, and one
	// condition for the term.
	maxCommitRecords = 15
	// commitRetry is the pause after a failed commit.
	commitRetry = 150 * time.Millisecond
	// maxCommitsInFlight bounds the commits of job progress in flight. Each job is
	// in at most one of them.
	maxCommitsInFlight = 4
)

// commits groups the progress of jobs into transactions. A job is in one
// transaction at a time, so a later record never overtakes an earlier one.
type commits struct {
	// lastChange is the number of the last change that needs a record.
	lastChange uint64
	// changed holds the jobs with changes that are not durable.
	changed   map[*job]bool
	queue     []*job
	inFlight  map[uint64]*inFlightCommit
	seq       uint64
	notBefore time.Time
	failing   bool
}

// inFlightCommit is a commit that the store has not answered yet.
type inFlightCommit struct {
	seq    uint64
	jobs   []*job
	states []sched.JobState
	// roster and estimates mark a commit of the roster or of the interference
	// estimates. Any other commit records the progress of jobs.
	roster      bool
	estimates   bool
	lastChanges []uint64
	sent        time.Time
}

func (c *commits) init() {
	c.inFlight = map[uint64]*inFlightCommit{}
	c.changed = map[*job]bool{}
}

// markChanged numbers a change of a job's progress and queues the job for a
// commit.
func (m *Machine) markChanged(j *job) {
	c := &m.commits
	c.lastChange++
	j.lastChange = c.lastChange
	if j.firstChange == 0 {
		j.firstChange = c.lastChange
		c.changed[j] = true
	}
	m.queueCommit(j)
}

// queueCommit queues a job for a commit.
func (m *Machine) queueCommit(j *job) {
	if j.dirty {
		return
	}
	j.dirty = true
	m.commits.queue = append(m.commits.queue, j)
}

// commit sends the records that are due.
func (m *Machine) commit() {
	c := &m.commits
	if !m.loaded || m.now.Before(c.notBefore) || len(c.inFlight) >= maxCommitsInFlight {
		return
	}
	if m.roster.dirty && !m.roster.inFlight && !m.resignation.began {
		m.sendRoster()
	}
	m.saveEstimates()
	for len(c.queue) > 0 && len(c.inFlight) < maxCommitsInFlight {
		f := m.nextCommit()
		if f == nil {
			return
		}
		m.sendCommit(f)
		c.notBefore = m.now.Add(commitGap)
	}
}

// nextCommit returns a commit of queued jobs that are in no other commit, or nil
// if there are none.
func (m *Machine) nextCommit() *inFlightCommit {
	c := &m.commits
	f := &inFlightCommit{sent: m.now}
	keep := c.queue[:0]
	for _, j := range c.queue {
		if len(f.jobs) < maxCommitRecords && !j.inFlight {
			f.jobs = append(f.jobs, j)
			continue
		}
		keep = append(keep, j)
	}
	clear(c.queue[len(keep):])
	c.queue = keep
	if len(f.jobs) == 0 {
		return nil
	}
	return f
}

func (m *Machine) sendCommit(f *inFlightCommit) {
	c := &m.commits
	c.seq++
	f.seq = c.seq
	c.inFlight[f.seq] = f
	cmd := CommitCmd{Seq: f.seq}
	for _, j := range f.jobs {
		j.dirty, j.inFlight = false, true
		f.states = append(f.states, j.state)
		f.lastChanges = append(f.lastChanges, j.lastChange)
		cmd.Records = append(cmd.Records, Record{
			Key: KeyProgress + string(j.spec.ID), Value: encodeProgress(j), Version: j.version,
		})
	}
	m.emit(cmd)
}

// handleCommitted handles a commit that became durable.
func (m *Machine) handleCommitted(msg CommittedMsg) {
	f := m.commits.inFlight[msg.Seq]
	if f == nil {
		return
	}
	delete(m.commits.inFlight, msg.Seq)
	if m.commits.failing {
		m.commits.failing = false
		m.log("commits succeed again", "version", msg.Version, "waiting", len(m.commits.queue))
	}
	if f.roster {
		m.rosterDone(msg.Version)
		return
	}
	if f.estimates {
		m.estimateRecord.inFlight, m.estimateRecord.version = false, msg.Version
		return
	}
	for i, j := range f.jobs {
		j.version, j.inFlight = msg.Version, false
		if f.states[i].Final() && !j.durable.Final() {
			m.log("job end recorded", "id", j.spec.ID, "state", f.states[i], "version", msg.Version,
				"took", m.now.Sub(f.sent))
		}
		j.durable = f.states[i]
		j.firstChange = f.lastChanges[i] + 1
		if j.lastChange == f.lastChanges[i] {
			j.firstChange = 0
			delete(m.commits.changed, j)
		}
	}
	m.acknowledgeEnds()
}

// hasUnrecordedChange reports whether a job has changes that are not durable.
func (m *Machine) hasUnrecordedChange(id sched.JobID) bool {
	j := m.jobs[id]
	return j != nil && j.firstChange != 0
}

// oldestChange returns the number of the oldest change that is not durable.
func (m *Machine) oldestChange() uint64 {
	oldest := m.commits.lastChange + 1
	for j := range m.commits.changed {
		oldest = min(oldest, j.firstChange)
	}
	return oldest
}

// acknowledgeEnds marks the run ends whose effect is durable, so that the next
// renewal acknowledges them to their worker.
func (m *Machine) acknowledgeEnds() {
	oldest := m.oldestChange()
	for _, w := range m.order {
		n := 0
		for n < len(w.pending) && w.pending[n].change < oldest {
			w.durable = max(w.durable, w.pending[n].seq)
			n++
		}
		if n == 0 {
			continue
		}
		w.pending = slices.Delete(w.pending, 0, n)
		m.maintainWorker(w)
	}
}

// handleCommitFailed handles a commit that did not take effect, or may not
// have.
func (m *Machine) handleCommitFailed(msg CommitFailedMsg) {
	f := m.commits.inFlight[msg.Seq]
	if f == nil {
		return
	}
	if msg.Superseded {
		m.endTerm("a newer term exists in the store")
		return
	}
	delete(m.commits.inFlight, msg.Seq)
	if !m.commits.failing {
		m.log("commit failed; records are not durable", "conflict", msg.Conflict, "error", msg.Err)
	}
	m.commits.failing = true
	m.commits.notBefore = m.now.Add(commitRetry)
	if f.roster {
		m.roster.inFlight, m.roster.dirty = false, true
		if msg.Conflict {
			m.roster.version = msg.Versions[KeyRoster]
		}
		return
	}
	if f.estimates {
		m.estimatesNotSaved(msg)
		return
	}
	for _, j := range f.jobs {
		j.inFlight = false
		if msg.Conflict {
			// Only this term writes the key, so the stored value is that of an earlier
			// commit whose answer was lost.
			j.version = msg.Versions[KeyProgress+string(j.spec.ID)]
		}
		m.queueCommit(j)
	}
}
