package flow

import (
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// commitGap is the shortest time between two commits, so that ends that
	// arrive close together share a call to the store.
	commitGap = 25 * time.Millisecond
	// commitSize is the most records of one commit. The store takes 32 rows in
	// a transaction: a condition and a write for each record, and one
	// condition for the term.
	maxCommitRecords = 15
	// commitRetry is the pause after a commit that failed.
	commitRetry = 150 * time.Millisecond
	// commitLanes is how many commits may be in progress at once. They touch
	// different jobs.
	maxCommitsInFlight = 4
)

// commits groups the progress of jobs into transactions. A job is in one
// transaction at a time, so a later record never overtakes an earlier one.
type commits struct {
	// marks numbers the changes that need a record.
	lastChange uint64
	// changed holds the jobs with changes that are not durable.
	changed   map[*job]bool
	queue     []*job
	inFlight  map[uint64]*flight
	seq       uint64
	notBefore time.Time
	failing   bool
}

// flight is a transaction in progress.
type flight struct {
	seq    uint64
	jobs   []*job
	states []sched.JobState
	// roster and beliefs tell a record of these from one of jobs.
	roster      bool
	estimates   bool
	lastChanges []uint64
	sent        time.Time
}

// roster is the durable list of workers that may have been given orders.
type roster struct {
	dirty    bool
	inFlight bool
	version  sched.Version
	names    map[sched.WorkerName]bool
}

func (c *commits) init() {
	c.inFlight = map[uint64]*flight{}
	c.changed = map[*job]bool{}
}

// touch marks a job whose progress has to be recorded.
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

// requeue lets a job wait for a commit.
func (m *Machine) queueCommit(j *job) {
	if j.dirty {
		return
	}
	j.dirty = true
	m.commits.queue = append(m.commits.queue, j)
}

// commit sends what has to be recorded.
func (m *Machine) commit() {
	c := &m.commits
	if !m.loaded || m.now.Before(c.notBefore) || len(c.inFlight) >= maxCommitsInFlight {
		return
	}
	if m.roster.dirty && !m.roster.inFlight {
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

// pick takes changed jobs that are in no commit.
func (m *Machine) nextCommit() *flight {
	c := &m.commits
	f := &flight{sent: m.now}
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

func (m *Machine) sendCommit(f *flight) {
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

// sendRoster records the workers that may be given orders from now on.
func (m *Machine) sendRoster() {
	c := &m.commits
	c.seq++
	m.roster.dirty, m.roster.inFlight = false, true
	members := make([]sched.Member, 0, len(m.order))
	m.roster.names = map[sched.WorkerName]bool{}
	for _, w := range m.order {
		members = append(members, w.member)
		m.roster.names[w.name()] = true
	}
	c.inFlight[c.seq] = &flight{seq: c.seq, roster: true, sent: m.now}
	m.emit(CommitCmd{Seq: c.seq, Records: []Record{{
		Key: KeyRoster, Value: EncodeRoster(members), Version: m.roster.version,
	}}})
}

// committed takes in a durable commit.
func (m *Machine) handleCommitted(msg CommittedMsg) {
	f := m.commits.inFlight[msg.Seq]
	if f == nil {
		return
	}
	delete(m.commits.inFlight, msg.Seq)
	if m.commits.failing {
		m.commits.failing = false
		m.log("records are durable again", "version", msg.Version, "waiting", len(m.commits.queue))
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
			m.log("job's end recorded", "id", j.spec.ID, "state", f.states[i], "version", msg.Version,
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

func (m *Machine) rosterDone(v sched.Version) {
	m.roster.inFlight, m.roster.version = false, v
	for _, w := range m.order {
		if m.roster.names[w.name()] {
			w.rostered = true
		}
	}
	m.stale = true
}

// oldestMark returns the lowest mark that is not durable.
func (m *Machine) oldestChange() uint64 {
	oldest := m.commits.lastChange + 1
	for j := range m.commits.changed {
		oldest = min(oldest, j.firstChange)
	}
	return oldest
}

// confirmEnds lets workers forget the ends whose effect is durable.
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

// commitFailed handles a commit that did not, or may not, take effect.
func (m *Machine) handleCommitFailed(msg CommitFailedMsg) {
	f := m.commits.inFlight[msg.Seq]
	if f == nil {
		return
	}
	if msg.Deposed {
		m.endTerm("a newer term exists in the store")
		return
	}
	delete(m.commits.inFlight, msg.Seq)
	if !m.commits.failing {
		m.log("records are not durable", "conflict", msg.Conflict, "error", msg.Err)
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
			// Only this term writes the key, so what is there is an earlier
			// commit whose answer was lost.
			j.version = msg.Versions[KeyProgress+string(j.spec.ID)]
		}
		m.queueCommit(j)
	}
}
