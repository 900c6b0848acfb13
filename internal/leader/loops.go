package leader

import (
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// watchWork watches the jobs, the cancellations and the term in the store. It
// delivers jobs and cancellations to the state machine. A newer term ends this
// one.
func (t *term) watchWork(after sched.Version) {
	lost := false
	retry := newStoreBackoff()
	for t.ctx.Err() == nil {
		wait := workWatchWait
		if t.workAge() > overdueWorkAge {
			wait = 0
		}
		asked := t.l.now()
		var progress map[string]sched.Item
		changes, next, err := t.l.store.Watch(t.ctx, layout.WorkPrefix, after, wait)
		if errors.Is(err, sched.ErrCompacted) {
			var work reading
			work, progress, err = t.reread()
			changes, next, asked = work.changes(), work.version, work.asked
		}
		if err != nil {
			if !lost && t.ctx.Err() == nil {
				t.l.log.Warn("store lost", "step", "watch work", "after", after, "error", err)
			}
			lost = true
			pause(t.ctx, retry.NextBackOff())
			continue
		}
		if lost {
			t.l.log.Info("store regained", "step", "watch work", "after", after)
			lost = false
			retry.Reset()
		}
		after = next
		t.postChanges(changes, progress)
		t.recordWorkRead(asked)
	}
}

// postChanges handles the changes of one answer. A newer term comes first, so that
// nothing is started that its leader may start. After it come the cancellations, so
// that no task of a job is started whose cancellation is known. Items that are read
// again are in the order of their keys, not of their versions. progress is as in
// postWork.
func (t *term) postChanges(changes []sched.Change, progress map[string]sched.Item) {
	for _, kind := range []workKind{termItem, cancellationItem, jobItem} {
		for _, c := range changes {
			if t.ctx.Err() == nil && kindOf(c) == kind {
				t.postWork(c, progress)
			}
		}
	}
}

// workKind is what an item under the work prefix holds.
type workKind uint8

const (
	termItem workKind = iota
	cancellationItem
	jobItem
)

func kindOf(c sched.Change) workKind {
	if c.Key == layout.TermKey {
		return termItem
	}
	if _, ok := layout.CancelledJobFromKey(c.Key); ok {
		return cancellationItem
	}
	return jobItem
}

// recordWorkRead records that all jobs and cancellations up to asked were
// delivered.
func (t *term) recordWorkRead(asked time.Time) {
	t.contact.workRead(asked)
	t.post(flow.WorkReadMsg{Asked: asked})
}

// reread reads all jobs and their progress again after the store has dropped the
// history from which the watch would continue. The state machine has forgotten the
// jobs that ended long ago, and without their progress it would run them again.
func (t *term) reread() (work reading, progress map[string]sched.Item, err error) {
	stored, err := t.read(layout.Root + flow.KeyProgress)
	progress = stored.byKey()
	if err == nil {
		work, err = t.readFiltered(layout.WorkPrefix, shortenEnded(progress))
	}
	t.l.log.Info("watch history was compacted; jobs are read again", "items", len(work.items),
		"progress", len(stored.items), "version", work.version, "error", err)
	return work, progress, err
}

// postWork handles a change under the work prefix. progress holds the stored
// progress of jobs by its key.
func (t *term) postWork(c sched.Change, progress map[string]sched.Item) {
	if c.Removed {
		return
	}
	if c.Key == layout.TermKey {
		if c.Version > t.version {
			t.end("a newer term exists in the store")
		}
		return
	}
	if id, ok := layout.CancelledJobFromKey(c.Key); ok {
		t.post(flow.CancelMsg{Job: id, Recorded: t.recordedAt(c)})
		return
	}
	id, ok := layout.JobIDFromKey(c.Key)
	if !ok {
		return
	}
	job, err := layout.DecodeJob(c.Value)
	if err == nil && job.Workflow.ID != id {
		err = errOtherJob
	}
	if err == nil && t.l.isSuspectJob(id) {
		err = errSuspectJob
	}
	p, ok := progress[layout.Root+flow.KeyProgress+string(id)]
	if ok && len(p.Value) == 0 {
		err = errNoProgress
	}
	if err != nil {
		t.l.stats.Count("DamagedRecords", 1)
		t.l.log.Error("stored job is not run", "id", id, "version", c.Version, "error", err)
		t.mu.Lock()
		t.skipped[id] = true
		t.mu.Unlock()
		return
	}
	t.post(flow.JobMsg{
		Job: job.Workflow, Accepted: job.Accepted, Inherited: c.Version < t.version,
		Progress: p.Value, Version: p.Version,
	})
}

// recordedAt returns when a cancellation was recorded, as Unix time in
// milliseconds. The time is used for logs only; it is 0 if it cannot be decoded.
func (t *term) recordedAt(c sched.Change) int64 {
	var recorded int64
	if err := layout.Decode(c.Value, &recorded); err != nil {
		t.l.log.Warn("time of a cancellation is damaged", "key", c.Key, "version", c.Version, "error", err)
	}
	return recorded
}

var (
	errOtherJob   = errors.New("the record is that of another job")
	errNoProgress = errors.New("the progress could not be read, so the job may have ended")
	errSuspectJob = errors.New("the state machine panicked repeatedly when it got the job")
)

// maxJobPanics is how often the state machine may panic when it gets a job before
// this entry leaves the job out. A single panic may have another cause.
const maxJobPanics = 2

// suspectJob counts a panic of the state machine when it got a job.
func (l *Leader) suspectJob(id sched.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobPanics == nil {
		l.jobPanics = map[sched.JobID]int{}
	}
	l.jobPanics[id]++
}

func (l *Leader) isSuspectJob(id sched.JobID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobPanics[id] >= maxJobPanics
}

// pollMembers polls the register of workers. A watch would deliver every
// heartbeat of every worker as an event.
func (t *term) pollMembers() {
	t.poll("read workers", t.l.MembersPrefix, membersInterval, t.postMembers)
}

// poll reads the items under a prefix at intervals and delivers them.
func (t *term) poll(step, prefix string, interval time.Duration, deliver func(reading)) {
	lost := false
	retry := newStoreBackoff()
	for t.ctx.Err() == nil {
		r, err := t.read(prefix)
		if err != nil {
			if !lost && t.ctx.Err() == nil {
				t.l.log.Warn("store lost", "step", step, "error", err)
			}
			lost = true
			pause(t.ctx, retry.NextBackOff())
			continue
		}
		if lost {
			t.l.log.Info("store regained", "step", step)
		}
		lost = false
		retry.Reset()
		deliver(r)
		pause(t.ctx, interval-t.l.now().Sub(r.asked))
	}
}

func (t *term) postMembers(r reading) {
	members, invalid := t.l.DecodeMembers(r.items)
	t.logInvalid("register of workers", invalid)
	t.contact.registerRead(r.asked)
	t.post(flow.MembersMsg{Members: members, Asked: r.asked})
}

// tick delivers ticks to the state machine, so that it acts on the passage of
// time.
func (t *term) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
			t.post(sched.TickMsg{})
		}
	}
}

// renewWhileLoading renews the leader's lease until the stored state is loaded.
func (t *term) renewWhileLoading() {
	for t.ctx.Err() == nil {
		t.l.mu.Lock()
		loaded := t.loaded
		t.l.mu.Unlock()
		if loaded {
			return
		}
		t.renewLease()
		if t.resignIfUnread() {
			return
		}
		pause(t.ctx, renewInterval)
	}
}

// maintainLease renews the leader's lease at intervals. It never waits for the state
// machine.
func (t *term) maintainLease() {
	for t.ctx.Err() == nil {
		pause(t.ctx, renewInterval)
		t.renewLease()
		if t.resignIfUnread() {
			return
		}
	}
}

// confirm reads the term when its last confirmation is too old.
func (t *term) confirm() {
	for t.ctx.Err() == nil {
		pause(t.ctx, renewInterval)
		if t.l.now().Sub(t.contact.confirmed(time.Time{})) > maxConfirmationAge {
			t.confirmTerm()
		}
	}
}

// workAge returns the age of the last complete read of the jobs and cancellations.
func (t *term) workAge() time.Duration {
	return t.l.now().Sub(t.contact.lastWorkRead())
}

// checkPeerContact asks other entries about the store while this entry has not read
// the jobs and cancellations for some time. If the store answers others, they may
// have recorded cancellations that this leader does not know.
func (t *term) checkPeerContact() {
	for t.ctx.Err() == nil {
		pause(t.ctx, peerCheckInterval)
		if t.workAge() <= peerCheckAge {
			continue
		}
		asked := t.l.now()
		answered := t.l.askPeers(t.ctx, func(since time.Duration) {
			t.post(flow.StoreAnsweredMsg{At: asked.Add(-since)})
		})
		if answered {
			t.post(flow.PeersAskedMsg{Asked: asked})
		}
	}
}

// renewLease renews the leader's lease. If the lease has ended, it writes the
// leader's key again under a new lease: the term continues as long as no entry
// has begun a newer one.
func (t *term) renewLease() {
	var lease sched.LeaseID
	select {
	case lease = <-t.lease:
	case <-t.ctx.Done():
		return
	}
	defer func() { t.lease <- lease }()
	asked := t.l.now()
	err := t.l.store.Renew(t.ctx, lease)
	t.contact.renewed(asked, err == nil, t.l.ttl)
	if !errors.Is(err, sched.ErrNoLease) {
		return // The next renewal follows soon, and other calls confirm the term.
	}
	t.l.log.Warn("leader's lease has ended", "term", t.number)
	next, _, err := t.l.store.Grant(t.ctx, t.l.ttl)
	if err != nil {
		t.l.log.Warn("lease not granted", "term", t.number, "error", err)
		return
	}
	me := layout.Leader{Name: t.l.Name, Addr: t.l.Addr, Term: t.number}
	_, err = t.l.store.Commit(t.ctx, sched.Txn{
		Conditions: []sched.Condition{{Key: layout.LeaderKey}, {Key: layout.TermKey, Version: t.version}},
		Writes:     []sched.Write{{Key: layout.LeaderKey, Value: layout.Encode(me), Lease: next}},
	})
	if conflict := (*sched.ConflictError)(nil); errors.As(err, &conflict) && conflict.Version(layout.TermKey) != t.version {
		t.end("a newer term exists in the store")
		return
	}
	t.l.log.Info("tried to write the leader's key again", "term", t.number, "error", err)
	lease = next
}

// confirmTerm reads the term from the store to confirm that it is the newest.
func (t *term) confirmTerm() {
	asked := t.l.now()
	item, err := t.l.store.Get(t.ctx, layout.TermKey)
	switch {
	case err != nil:
		return // Without a confirmation the state machine relies on the workers' answers.
	case item.Version != t.version:
		t.end("a newer term exists in the store")
	default:
		t.recordConfirmation(asked)
	}
}
