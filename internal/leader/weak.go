package leader

import (
	"context"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
)

// Entries differ in processor time by more than a factor of seven on some
// deployments, and one that is too weak to lead is slower than a moment without
// a leader: leases lapse while it works through its answers.

const (
	// weakShare is the share of the strongest entry's processor time below which
	// an entry counts as weak.
	weakShare = 0.5
	// weakDelay is how much longer a weak entry waits until it campaigns. After
	// an outage of the store the others need up to 1.5 s.
	weakDelay = 2 * time.Second
	// transferAfter is how long a weak entry leads before it hands the lead over,
	// and yieldEvery how often it looks for a stronger one.
	transferAfter         = 3 * time.Second
	transferCheckInterval = 2 * time.Second
)

// strongerEntries returns the entries next to which this one is weak. The list may be
// some seconds old; an entry that is not reached has none.
func (l *Leader) strongerEntries(ctx context.Context) []layout.Entry {
	items, _, err := l.store.Range(ctx, layout.EntryPrefix, true)
	if err != nil {
		l.log.Info("entries not read", "step", "look for stronger entries", "error", err)
		return nil
	}
	var out []layout.Entry
	for _, i := range items {
		var e layout.Entry
		if err := layout.Decode(i.Value, &e); err != nil {
			l.log.Warn("entry's key is damaged", "key", i.Key, "error", err)
			continue
		}
		if e.Name != l.Name && l.Processors < weakShare*e.Processors {
			out = append(out, e)
		}
	}
	return out
}

// transferToStronger hands the lead over to a stronger entry that answers.
func (t *term) transferToStronger() {
	for t.ctx.Err() == nil {
		pause(t.ctx, transferCheckInterval)
		if time.Since(t.started) < transferAfter || t.ctx.Err() != nil {
			continue
		}
		for _, e := range t.l.strongerEntries(t.ctx) {
			if !t.l.reachable(t.ctx, e) {
				continue
			}
			t.l.log.Info("lead is handed over to a stronger entry", "term", t.number, "to", e.Name,
				"processors", t.l.Processors, "theirs", e.Processors)
			t.resign(context.WithoutCancel(t.ctx), "a stronger entry can lead")
			return
		}
	}
}
