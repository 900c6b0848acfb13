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

// Guards against a leader without the store that overlooks an entry with a recent answer.
func TestMostRecentPeerContact(t *testing.T) {
	e := newEntry(nil)
	_, known := e.sincePeerContact(t.Context())
	require.False(t, known, "no entry is known")

	noContact := layout.Entry{Name: "a", Addr: servePeer(t, relay.Answer{})}
	unresponsive := entryOf("b", 1, 1)
	e.peers.update([]layout.Entry{noContact, unresponsive}, time.Now())
	_, known = e.sincePeerContact(t.Context())
	require.False(t, known, "no entry has had an answer")

	old := layout.Entry{Name: "c", Addr: servePeer(t, relay.Answer{StoreAnswered: true, SinceStore: time.Minute})}
	recent := layout.Entry{Name: "d", Addr: servePeer(t, relay.Answer{StoreAnswered: true, SinceStore: time.Second})}
	e.peers.update([]layout.Entry{old, recent}, time.Now())
	since, known := e.sincePeerContact(t.Context())
	require.True(t, known)
	require.Equal(t, time.Second, since)
}

// Guards against a leader without the store that issues orders although it could know its successor.
func TestPeerContactNamesNewerLeader(t *testing.T) {
	e := newEntry(nil)
	next := layout.Leader{Name: "a", Term: 7}
	e.peers.update([]layout.Entry{{Name: "a", Addr: servePeer(t, relay.Answer{Leader: next})}}, time.Now())
	e.sincePeerContact(t.Context())
	require.Equal(t, next, e.leader.Current())
}
