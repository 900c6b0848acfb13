package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// answerer answers every question with the same answer.
type answerer relay.Answer

func (a answerer) Answer(context.Context, relay.Question) relay.Answer { return relay.Answer(a) }

// servePeer serves the answers of another entry and returns its address.
func servePeer(t *testing.T, a relay.Answer) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(relay.Handler(answerer(a)))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// contact is what other entries told about the store.
type contact struct {
	since    []time.Duration
	answered bool
}

// collect collects the answers of other entries. The zero value is no answer.
func collect(t *testing.T, answers ...relay.Answer) (c contact) {
	arriving := make(chan relay.Answer, len(answers))
	for _, a := range answers {
		arriving <- a
	}
	c.answered = collectContact(t.Context(), arriving, len(answers), func(since time.Duration) { c.since = append(c.since, since) })
	return c
}

func TestCollectContact(t *testing.T) {
	recent := relay.Answer{StoreAnswered: true, SinceStore: time.Second}
	old := relay.Answer{StoreAnswered: true, SinceStore: time.Minute, Reason: sched.ReasonStoreUnavailable}
	noContact := relay.Answer{Reason: sched.ReasonStoreUnavailable}
	none := relay.Answer{}
	// Guards against a leader that overlooks an entry with a recent answer of the store.
	t.Run("every answer is reported", func(t *testing.T) {
		require.Equal(t, contact{[]time.Duration{time.Minute, time.Second}, true}, collect(t, old, recent, noContact))
	})
	// Guards against a leader that takes the store to be down because it reaches few entries.
	t.Run("most entries do not answer", func(t *testing.T) {
		require.Equal(t, contact{}, collect(t, noContact, none, none))
		require.Equal(t, contact{nil, true}, collect(t, noContact, none))
	})
	// Guards against a negative age, which would hold starts for its whole length.
	t.Run("negative age", func(t *testing.T) {
		require.Equal(t, contact{[]time.Duration{0}, true}, collect(t, relay.Answer{StoreAnswered: true, SinceStore: -time.Hour}))
	})
	// Guards against a report that comes late because another entry does not answer.
	t.Run("reported as they arrive", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		answers := make(chan relay.Answer, 1)
		answers <- recent
		var since []time.Duration
		collectContact(ctx, answers, 2, func(s time.Duration) {
			since = append(since, s)
			cancel() // The second answer never comes.
		})
		require.Equal(t, []time.Duration{time.Second}, since)
	})
}

// Guards against a single entry that starts no tasks while the store is down.
func TestNoOtherEntryToAsk(t *testing.T) {
	require.True(t, newEntry(nil).askPeersForContact(t.Context(), func(time.Duration) {}))
}

// Guards against a leader that does not know that its own entry records cancellations.
func TestOwnContactIsReported(t *testing.T) {
	e := newEntry(nil)
	e.jobs.Health().Record(nil)
	reports := 0
	e.askPeersForContact(t.Context(), func(time.Duration) { reports++ })
	require.Equal(t, 1, reports)
}

// Guards against a leader without the store that issues orders although it could know its successor.
func TestPeerContactNamesNewerLeader(t *testing.T) {
	e := newEntry(nil)
	next := layout.Leader{Name: "a", Term: 7}
	e.askForContact(t.Context(), layout.Entry{Name: "a", Addr: servePeer(t, relay.Answer{Leader: next})})
	require.Equal(t, next, e.leader.Current())
}
