package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// load reads the stored state and delivers it to the state machine, which then
// asks the workers for their runs. It returns the version of the store from which
// to watch for further work.
func (t *term) load() (sched.Version, error) {
	t.spawn("renew lease", t.renewWhileLoading)
	prefixes := []string{
		layout.Root + flow.KeyProgress, layout.Root + flow.KeyRoster, layout.Root + flow.KeyInterference,
		layout.Root + flow.KeyHandover, t.l.MembersPrefix,
	}
	if t.readsEvacuations() {
		prefixes = append(prefixes, t.l.EvacuationsPrefix)
	}
	stored, err := t.rangeAll(prefixes...)
	if err != nil {
		return 0, err
	}
	// stored has the order of prefixes.
	storedProgress, members := stored[0], stored[4]
	takeover := t.takeover(stored[1:4])
	// The work comes last, so that cancellations are not older than necessary when
	// tasks are started. No earlier leader can change the progress any more.
	progress := storedProgress.byKey()
	work, err := t.rangeWithRetry(layout.WorkPrefix, shortenEnded(progress))
	if err != nil {
		return 0, err
	}
	read := t.l.now()
	t.post(flow.ConfirmedMsg{Asked: t.contact.confirmed(time.Time{})})
	t.l.mu.Lock()
	fleet := t.l.fleet
	t.l.mu.Unlock()
	t.post(flow.ConfigMsg{Fleet: fleet})
	t.postMembers(members)
	if t.readsEvacuations() {
		t.postEvacuations(stored[5])
	}
	for _, i := range work.items {
		t.postWork(sched.Change{Item: i}, progress)
	}
	t.recordWorkRead(work.asked)
	t.post(takeover)
	t.l.log.Info("state loaded", "term", t.number, "items", len(work.items), "progress", len(storedProgress.items),
		"members", len(members.items), "roster", len(takeover.Roster), "handover", len(takeover.Handover),
		"took", t.l.now().Sub(t.started), "applied", t.l.now().Sub(read))
	t.l.mu.Lock()
	t.loaded = true
	t.l.mu.Unlock()
	return work.version, nil
}

// takeover returns what earlier leaders recorded apart from the progress of jobs.
func (t *term) takeover(stored []reading) flow.TakeoverMsg {
	msg := flow.TakeoverMsg{Began: t.started}
	for _, r := range stored {
		for _, i := range r.items {
			switch i.Key {
			case layout.Root + flow.KeyRoster:
				msg.Roster, msg.Version = t.decodeRoster(i), i.Version
			case layout.Root + flow.KeyInterference:
				msg.Interference, msg.InterferenceVersion = i.Value, i.Version
			case layout.Root + flow.KeyHandover:
				msg.Handover = i.Value
			}
		}
	}
	return msg
}

// decodeRoster returns the workers of a stored roster, or nil if it is damaged.
func (t *term) decodeRoster(i sched.Item) []sched.Member {
	members, err := flow.DecodeRoster(i.Value)
	if err != nil {
		t.l.log.Error("roster is damaged", "version", i.Version, "error", err)
		return nil
	}
	return members
}

// rangeAll reads the items under several prefixes at once, like rangeWithRetry.
func (t *term) rangeAll(prefixes ...string) ([]reading, error) {
	out := make([]reading, len(prefixes))
	errs := make([]error, len(prefixes))
	var wg sync.WaitGroup
	for i, p := range prefixes {
		wg.Go(func() {
			t.guarded("load state", func() { out[i], errs[i] = t.rangeWithRetry(p, wholePage) })
		})
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

// rangeWithRetry reads the items under a prefix, and retries until this succeeds
// or the term ends. It keeps what filter returns of each page.
func (t *term) rangeWithRetry(prefix string, filter pageFilter) (reading, error) {
	began := t.l.now()
	for {
		r, err := t.readFiltered(prefix, filter)
		if err == nil {
			t.l.log.Info("state read", "term", t.number, "prefix", prefix, "items", len(r.items), "took", t.l.now().Sub(began))
			return r, nil
		}
		t.l.log.Warn("state not loaded", "term", t.number, "prefix", prefix, "error", err)
		pause(t.ctx, retryPause)
		if t.ctx.Err() != nil {
			return reading{}, context.Cause(t.ctx)
		}
	}
}
