package daemon

import (
	"context"
	"time"

	"github.com/mangoslip/mangoslip/internal/guard"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/relay"
)

// maxContactAsks bounds the entries that are asked at a time when the store last
// answered them.
const maxContactAsks = 4

// sincePeerContact asks other entries how long ago the store last answered them. It
// returns the shortest time, and whether any entry told one.
func (e *Entry) sincePeerContact(ctx context.Context) (since time.Duration, known bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	peers := e.peers.list(e.Name)
	peers = peers[:min(maxContactAsks, len(peers))]
	answers := make(chan relay.Answer, len(peers))
	for _, p := range peers {
		guard.Go(e.log, "ask for contact with the store", func() { answers <- e.askForContact(ctx, p) })
	}
	for range peers {
		select {
		case a := <-answers:
			if a.StoreAnswered && (!known || a.SinceStore < since) {
				since, known = a.SinceStore, true
			}
		case <-ctx.Done():
			return since, known
		}
	}
	return since, known
}

// askForContact asks an entry how long ago the store last answered it, and records
// the leader that it names. If it does not answer, the answer says nothing about the
// store.
func (e *Entry) askForContact(ctx context.Context, p layout.Entry) relay.Answer {
	a, err := e.client.Ask(ctx, p.Addr, relay.Question{Verb: relay.VerbLeader, Leader: e.leader.Current()})
	e.log.Debug("asked for contact with the store", "peer", p.Name, "answered", a.StoreAnswered, "since", a.SinceStore, "error", err)
	if err == nil {
		e.leader.ObserveLeader(a.Leader)
	}
	return a
}
