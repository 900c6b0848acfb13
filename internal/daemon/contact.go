package daemon

import (
	"context"
	"time"

	"github.com/mangoslip/mangoslip/internal/guard"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/relay"
)

const (
	// maxContactAsks bounds the entries that are asked at a time when the store last
	// answered them. With eight of them it is unlikely that all belong to a group
	// that the store does not answer.
	maxContactAsks = 8
	// contactTimeout bounds the wait for their answers.
	contactTimeout = 300 * time.Millisecond
)

// askPeersForContact implements [leader.AskPeers]. It also reports when the store last
// answered this entry, which may record cancellations while its leader cannot read them.
func (e *Entry) askPeersForContact(ctx context.Context, report func(since time.Duration)) bool {
	if since, ok := e.jobs.Health().SinceAnswer(); ok {
		report(since)
	}
	peers := e.peers.list(e.Name)
	if len(peers) == 0 {
		return true
	}
	peers = peers[:min(maxContactAsks, len(peers))]
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	answers := make(chan relay.Answer, len(peers))
	for _, p := range peers {
		guard.Go(e.log, "ask for contact with the store", func() { answers <- e.askForContact(ctx, p) })
	}
	return collectContact(ctx, answers, len(peers), report)
}

// collectContact reports the answers of the given number of entries as they arrive,
// until ctx ends. It returns whether at least half of them told something about the
// store.
func collectContact(ctx context.Context, answers <-chan relay.Answer, asked int, report func(since time.Duration)) bool {
	usable := 0
	for range asked {
		select {
		case a := <-answers:
			if a.StoreAnswered {
				report(max(a.SinceStore, 0))
			}
			// An entry of an older build gives neither.
			if a.StoreAnswered || a.Reason != "" {
				usable++
			}
		case <-ctx.Done():
			return 2*usable >= asked
		}
	}
	return 2*usable >= asked
}

// askForContact asks an entry how long ago the store last answered it, and records
// the leader that it names. Without an answer it returns the zero value.
func (e *Entry) askForContact(ctx context.Context, p layout.Entry) relay.Answer {
	a, err := e.client.Ask(ctx, p.Addr, relay.Question{Verb: relay.VerbLeader, Leader: e.leader.Current()})
	e.log.Debug("asked for contact with the store", "peer", p.Name, "answered", a.StoreAnswered, "since", a.SinceStore, "error", err)
	if err != nil {
		return relay.Answer{}
	}
	e.leader.ObserveLeader(a.Leader)
	return a
}
