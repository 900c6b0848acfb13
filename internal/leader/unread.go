package leader

import (
	"context"
	"time"
)

const (
	// maxUnreadTime is how long the leader may renew its lease without reading the
	// work, the register of workers or the evacuations. Shorter disturbances end by
	// themselves, and another leader costs a takeover.
	maxUnreadTime = 5 * time.Second
	// maxLoadTime is the same for loading the stored state, without another page of it.
	// However many pages there are, each next leader would have to read as many.
	maxLoadTime = 15 * time.Second
	// unreadPause is how long an entry that gave up a term because of that does not
	// campaign, so that an entry that can read leads next.
	unreadPause = 5 * time.Second
)

// resignIfUnread ends the term if the lease can be renewed while the store does not
// answer the reads that the leader needs: it starts no tasks then, and no other entry
// takes over. It returns whether the term ended.
func (t *term) resignIfUnread() bool {
	unread, limit := t.unread()
	if unread <= limit {
		return false
	}
	t.l.log.Warn("the store does not answer the leader's reads", "term", t.number, "for", unread)
	t.l.pauseCampaigns(unreadPause)
	t.resign(context.WithoutCancel(t.ctx), "the store does not answer the leader's reads")
	return true
}

// unread returns for how long the leader has renewed its lease without a complete read
// of all that it has to know, and the limit of that time. While the lease cannot be
// renewed, the time is 0.
func (t *term) unread() (unread, limit time.Duration) {
	t.l.mu.Lock()
	loaded := t.loaded
	t.l.mu.Unlock()
	since, limit := t.contact.lastPage(t.started), maxLoadTime
	if loaded {
		since, limit = t.contact.oldestRead(), maxUnreadTime
	}
	renewedSince := t.contact.renewals()
	if renewedSince.IsZero() {
		return 0, limit
	}
	if renewedSince.After(since) {
		since = renewedSince
	}
	return t.l.now().Sub(since), limit
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// pauseCampaigns keeps the entry from campaigning for d.
func (l *Leader) pauseCampaigns(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.campaignsPausedUntil = l.now().Add(d)
}

// mayCampaign reports whether the entry may campaign.
func (l *Leader) mayCampaign() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.resigned && !l.now().Before(l.campaignsPausedUntil)
}
