package leader

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// campaignJitter bounds the random delay before a campaign.
	campaignJitter = 40 * time.Millisecond
	// lowCPUDelay is the additional delay before a campaign of an entry with
	// less than lowCPUShare of a core.
	lowCPUDelay = 120 * time.Millisecond
	lowCPUShare = 0.3
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

// campaignDelay returns the delay before a campaign. It is random, so that
// entries do not all campaign at once, and shorter for entries with more
// processor time, so that they campaign first.
func (l *Leader) campaignDelay(ctx context.Context) time.Duration {
	d := rand.N(campaignJitter)
	switch {
	case len(l.strongerEntries(ctx)) > 0:
		d += weakDelay
	case l.Processors < lowCPUShare:
		d += lowCPUDelay
	}
	return d
}
