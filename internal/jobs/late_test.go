package jobs_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/jobs"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// follower is an entry that believes another one to be the leader.
type follower struct {
	noLeader
	leader layout.Leader
}

func (f follower) Current() layout.Leader { return f.leader }

// lateJobs is a state machine with a number of late jobs.
type lateJobs struct {
	jobs         int
	known, leads bool
}

func (l lateJobs) LateJobs(q sched.QueueName, limit int) (sched.LateJobs, bool, bool) {
	list := sched.LateJobs{Jobs: make([]sched.LateJob, l.jobs)}
	for i := range list.Jobs {
		list.Jobs[i] = sched.LateJob{Job: "job", Queue: q, Late: 1}
	}
	return list.Bounded(limit), l.known, l.leads
}

// overLoopback asks the entry at an address.
type overLoopback struct{ *relay.Client }

func (overLoopback) List() []layout.Entry { return nil }
func (o overLoopback) Ask(ctx context.Context, e layout.Entry, q relay.Question) (relay.Answer, error) {
	return o.Client.Ask(ctx, e.Addr, q)
}

// oldBuild is a leader that does not know the verb.
type oldBuild struct{}

func (oldBuild) Answer(context.Context, relay.Question) relay.Answer { return relay.Answer{} }

// slowLeader answers after the asking entry has given up.
type slowLeader struct{}

func (slowLeader) Answer(ctx context.Context, _ relay.Question) relay.Answer {
	<-ctx.Done()
	return relay.Answer{Late: &sched.LateJobs{}}
}

// newAsker returns an entry that asks a leader over the loopback address.
func newAsker(t *testing.T, leader relay.Answerer) *jobs.Service {
	path, handler := relay.Handler(leader)
	require.NotEmpty(t, path)
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	client := relay.NewClient()
	t.Cleanup(client.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	return jobs.New(memory.New().Client(), follower{leader: layout.Leader{Name: "b", Addr: addr, Term: 1}}, overLoopback{client})
}

// newLateEntry returns an entry with a state machine.
func newLateEntry(l lateJobs) *jobs.Service {
	return jobs.New(memory.New().Client(), noLeader{}, fakePeers{}, jobs.WithLateSource(l))
}

// Guards against late jobs that are lost between entries, and against an answer without
// bound.
func TestLateJobsOfTheLeader(t *testing.T) {
	s := newAsker(t, newLateEntry(lateJobs{jobs: 300, known: true, leads: true}))
	for _, limit := range []int{3, sched.MaxLateJobs, 1000} {
		list, leader, err := s.Late(t.Context(), "Q", limit)
		require.NoError(t, err)
		require.Equal(t, sched.EntryName("b"), leader)
		want := min(limit, sched.MaxLateJobs)
		require.Len(t, list.Jobs, want)
		require.Equal(t, 300-want, list.More)
		require.Equal(t, sched.LateJob{Job: "job", Queue: "Q", Late: 1}, list.Jobs[0])
	}
	list, _, err := newAsker(t, newLateEntry(lateJobs{known: true, leads: true})).Late(t.Context(), "", 5)
	require.NoError(t, err, "nothing is late, which is known")
	require.Empty(t, list.Jobs)
}

// Guards against an entry that shows an empty list, as if nothing were late, when no
// leader can tell.
func TestLateJobsAreUnknown(t *testing.T) {
	for name, s := range map[string]*jobs.Service{
		"no leader":         newLateEntry(lateJobs{}),
		"loading itself":    newLateEntry(lateJobs{leads: true}),
		"leader is loading": newAsker(t, newLateEntry(lateJobs{leads: true})),
		"leader replaced":   newAsker(t, newLateEntry(lateJobs{})),
		"older build":       newAsker(t, oldBuild{}),
		"no answer":         newAsker(t, slowLeader{}),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := s.Late(t.Context(), "", 5)
			requireRefused(t, err, sched.ReasonNoOwner, sched.NotRun)
		})
	}
}
