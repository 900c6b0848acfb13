package fleet_test

import (
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/internal/fleet"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// list is the stand-in of the instance list, with a clock that the test advances,
// and a client of it.
type list struct {
	*fake.List
	*fleet.Client
	now atomic.Int64
}

func newList(t *testing.T, lag time.Duration) *list {
	t.Helper()
	l := &list{}
	l.now.Store(int64(time.Hour))
	l.List = fake.NewList(fake.WithListClock(func() time.Time { return time.Unix(0, l.now.Load()) }))
	l.SetFaults(fake.ListFaults{Lag: lag})
	srv := httptest.NewServer(l.List)
	l.Client = fleet.New(netip.MustParseAddrPort(srv.Listener.Addr().String()), fleet.WithTimeout(time.Minute))
	t.Cleanup(func() { l.Close(); srv.Close() })
	return l
}

func (l *list) register(t *testing.T, name string) uint64 {
	t.Helper()
	g, err := l.Client.Register(t.Context(), sched.Instance{
		Name: name, Role: sched.RoleWorker, DataCentre: "Gasabo",
		Data: netip.MustParseAddrPort("127.0.0.1:1"), Services: []sched.ServiceName{"Orders"},
	})
	require.NoError(t, err)
	return g
}

// requireStates reads the list through the client, requires that the instances
// have the given states and returns them.
func (l *list) requireStates(t *testing.T, want ...sched.InstanceState) []sched.Instance {
	t.Helper()
	got, err := l.Client.Instances(t.Context())
	require.NoError(t, err)
	states := []sched.InstanceState{}
	for _, in := range got {
		states = append(states, in.State)
	}
	require.Equal(t, append([]sched.InstanceState{}, want...), states)
	return got
}

// Guards against a stand-in that shows changes before the lag has passed, which
// would hide faults of the ownership rules.
func TestLag(t *testing.T) {
	l := newList(t, time.Second)
	l.register(t, "w1")
	l.requireStates(t)
	l.now.Add(int64(time.Second - 1))
	l.requireStates(t)
	l.now.Add(1)
	got := l.requireStates(t, sched.StateLive)
	require.Equal(t, netip.MustParseAddrPort("127.0.0.1:1"), got[0].Data)
	require.False(t, got[0].Control.IsValid())

	require.True(t, l.Leave("w1"))
	l.now.Add(int64(time.Second / 2))
	require.True(t, l.Drop("w1"))
	l.requireStates(t, sched.StateLive)
	l.now.Add(int64(time.Second / 2))
	l.requireStates(t, sched.StateLeaving)
	l.now.Add(int64(time.Second / 2))
	l.requireStates(t)
}

// Guards against an instance that is listed again with a generation that was
// used before.
func TestGeneration(t *testing.T) {
	l := newList(t, 0)
	first := l.register(t, "e1")
	require.Equal(t, first, l.register(t, "e1"), "still listed")
	other := l.register(t, "e2")
	require.True(t, l.Drop("e1"))
	again := l.register(t, "e1")
	require.NotContains(t, []uint64{0, first, other}, again)
}

// Guards against an outage that reads as an empty list instead of an error.
func TestOutage(t *testing.T) {
	l := newList(t, 0)
	l.SetFaults(fake.ListFaults{Outage: true})
	_, err := l.Client.Instances(t.Context())
	require.ErrorIs(t, err, sched.ErrUnavailable)
}
