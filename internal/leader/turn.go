package leader

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// The entries campaign one after the other, so that the store gets few campaigns and
// the most suitable entry wins. In a planned restart of all entries, one after the
// other, the entry that started last is the last that will be restarted again.

const (
	// campaignJitter bounds the random delay before a campaign.
	campaignJitter = 40 * time.Millisecond
	// turnDelay is the additional delay for each entry that started later. It exceeds
	// campaignJitter by the time that a campaign takes. Beyond maxTurn such entries
	// the delay does not grow, because some of them may be down.
	turnDelay = 60 * time.Millisecond
	maxTurn   = 2
	// lowCPUDelay is the additional delay before a campaign of an entry with
	// less than lowCPUShare of a core.
	lowCPUDelay = 120 * time.Millisecond
	lowCPUShare = 0.3
	// weakDelay is the additional delay before a campaign of a weak entry. After
	// an outage of the store the other entries need up to 1.5 s to campaign, and
	// they should do so first.
	weakDelay = 2 * time.Second
	// outageGrace is the additional delay before a campaign after an outage of
	// the store, so that the previous leader can write the leader's key again.
	outageGrace = 600 * time.Millisecond
)

// awaitTurn waits until it is this entry's turn to campaign. It reports false if the
// entry must not campaign: another one began a term meanwhile, this one resigned, or
// ctx ended.
func (l *Leader) awaitTurn(ctx context.Context, in campaignInput, outage bool) bool {
	last, _ := in.term() // A damaged term makes the campaign fail.
	delay := l.campaignDelay(ctx)
	if outage {
		delay += outageGrace
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-l.leaderLearned:
			if known := l.Current(); known.Term > last.Number {
				l.log.Info("campaign is not needed", "leader", known.Name, "term", known.Term)
				return false
			}
		case <-timer.C:
			return l.mayCampaign()
		}
	}
}

// campaignDelay returns the delay before a campaign. It is partly random, so that
// entries do not all campaign at once.
func (l *Leader) campaignDelay(ctx context.Context) time.Duration {
	d := rand.N(campaignJitter)
	entries := l.entries(ctx, "find the turn to campaign")
	strongest := l.Processors
	for _, e := range entries {
		strongest = max(strongest, e.Processors)
	}
	switch {
	case l.Processors < weakShare*strongest:
		return d + weakDelay
	case l.Processors < lowCPUShare:
		d += lowCPUDelay
	}
	return d + time.Duration(min(l.turn(entries, weakShare*strongest), maxTurn))*turnDelay
}

// turn returns how many other entries should campaign before this one: those with
// enough processor time that registered later, because they started later. The last
// leader does not count. An entry that is not listed yet has just started. An entry
// without a configuration could not lead yet and lets the others go first.
func (l *Leader) turn(entries []registered, enough float64) int {
	l.mu.Lock()
	last, configured := l.knownLeader.Name, l.fleet != nil
	l.mu.Unlock()
	own := slices.IndexFunc(entries, func(e registered) bool { return e.Name == l.Name })
	switch {
	case !configured:
		return maxTurn
	case own < 0:
		return 0
	}
	later := 0
	for _, e := range entries {
		if e.version > entries[own].version && e.Name != last && e.Processors >= enough {
			later++
		}
	}
	return later
}

// registered is an entry in the store's list, with the version at which it registered.
// An entry registers once when it starts, and again only if its lease ends. The versions
// thus order the entries by their starts without comparing the clocks of machines.
type registered struct {
	layout.Entry
	version sched.Version
}

// entries returns the registered entries. The list may be some seconds old. It is empty
// if the store cannot be read.
func (l *Leader) entries(ctx context.Context, step string) []registered {
	items, _, err := l.store.Range(ctx, layout.EntryPrefix, true)
	if err != nil {
		l.log.Info("entries could not be read", "step", step, "error", err)
		return nil
	}
	var out []registered
	for _, i := range items {
		e, err := layout.DecodeEntry(i.Key, i.Value)
		if err != nil {
			if l.damagedEntries.First(i.Key) {
				l.log.Warn("entry's key is damaged", "key", i.Key, "error", err)
			}
			continue
		}
		out = append(out, registered{e, i.Version})
	}
	return out
}
