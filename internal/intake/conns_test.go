package intake

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more connections than the bound, against closing one whose request
// is being handled or has only begun, and against refusing a new one while another is
// idle.
func TestVictim(t *testing.T) {
	now := time.Now()
	at := func(p phase, age time.Duration) conn {
		return conn{TCPConn: &net.TCPConn{}, phase: p, since: now.Add(-age)}
	}
	for _, c := range []struct {
		name   string
		open   []conn
		want   int // index of the connection that is closed, or -1
		reason Reason
	}{
		{"Room", []conn{at(idle, time.Hour)}, -1, ""},
		{"IdleLongest", []conn{at(receiving, time.Hour), at(idle, 2*time.Second), at(idle, 3*time.Second)}, 2, IdleClosed},
		{"IncompleteLongest", []conn{at(handling, time.Hour), at(receiving, 4*time.Second), at(receiving, 3*time.Second)}, 1, IncompleteClosed},
		{"OnlyYoung", []conn{at(handling, time.Hour), at(receiving, time.Millisecond), at(handling, 0)}, -1, ConnRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			var counted Reason
			s := conns{bound: 3, open: map[*conn]struct{}{}, count: func(r Reason) { counted = r }}
			for i := range c.open {
				s.open[&c.open[i]] = struct{}{}
			}
			admitted := s.admit(&net.TCPConn{}, now)
			require.Equal(t, c.reason != ConnRefused, admitted != nil)
			require.LessOrEqual(t, s.number(), s.bound)
			require.Equal(t, c.reason, counted)
			for i := range c.open {
				_, open := s.open[&c.open[i]]
				require.Equal(t, i != c.want, open, "connection %d", i)
			}
		})
	}
}

// Guards against limits that take the descriptors or the memory that other work
// needs, and against limits that ordinary callers and other entries meet.
func TestLimits(t *testing.T) {
	small := ForCallers(184<<20, 4100, DefaultReserve)
	require.Equal(t, 1280, small.Conns)
	require.Equal(t, int64(10<<20), small.Bytes)
	require.Greater(t, small.BodyGrace, 3*time.Second)
	large := ForCallers(536<<20, 8192, DefaultReserve)
	require.LessOrEqual(t, large.Conns+ForPeers(8192).Conns+2*ForChecks().Conns, 8192-200-1400)
	require.GreaterOrEqual(t, ForPeers(4100).Conns, 39*8)
	require.GreaterOrEqual(t, ForCallers(1<<20, 0, DefaultReserve).Bytes, int64(4<<20))
}
