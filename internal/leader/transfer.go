package leader

import (
	"context"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
)

// In some deployments the processor time of entries differs by more than a
// factor of seven. A leader with too little of it is worse than a short time
// without a leader: workers' leases expire while it processes their answers.

const (
	// weakShare is the share of the processor time of the strongest entry below
	// which an entry counts as weak.
	weakShare = 0.5
	// transferAfter is how long a weak entry leads before it transfers
	// leadership, and transferCheckInterval is the interval at which it looks
	// for a stronger entry.
	transferAfter         = 3 * time.Second
	transferCheckInterval = 2 * time.Second
)

// strongerEntries returns the entries compared with which this one is weak. The
// list may be some seconds old. It is empty if the store cannot be read.
func (l *Leader) strongerEntries(ctx context.Context) []layout.Entry {
	var out []layout.Entry
	for _, e := range l.entries(ctx, "look for stronger entries") {
		if e.Name != l.Name && l.Processors < weakShare*e.Processors {
			out = append(out, e.Entry)
		}
	}
	return out
}

// transferToStronger transfers leadership to a stronger entry that answers and can
// reach the store.
func (t *term) transferToStronger() {
	for t.ctx.Err() == nil {
		pause(t.ctx, transferCheckInterval)
		if t.l.now().Sub(t.started) < transferAfter || t.ctx.Err() != nil {
			continue
		}
		for _, e := range t.l.strongerEntries(t.ctx) {
			if !t.l.reachable(t.ctx, e) {
				continue
			}
			t.l.log.Info("transferring leadership to a stronger entry", "term", t.number, "to", e.Name,
				"processors", t.l.Processors, "theirs", e.Processors)
			t.resign(context.WithoutCancel(t.ctx), "leadership transferred to a stronger entry")
			return
		}
	}
}
