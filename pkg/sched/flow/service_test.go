package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// asked delivers a message and returns the workers that get a renewal.
func asked(m *flow.Machine, now time.Time, msg sched.Msg) (workers []sched.WorkerName) {
	for _, c := range m.Update(now, msg) {
		if r, ok := c.(flow.RenewCmd); ok {
			workers = append(workers, r.Member.Worker)
		}
	}
	return workers
}

// Guards against orders to a member of the register that is no worker, and against a
// takeover that waits for its answer.
func TestMemberOfUnknownServiceIsNotUsed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	config := func(revision uint64, services ...sched.ServiceName) flow.ConfigMsg {
		f := &sched.FleetConfig{Revision: revision, Pools: map[sched.ServiceName]sched.Pool{}}
		for _, s := range services {
			f.Pools[s] = sched.Pool{Name: s}
		}
		return flow.ConfigMsg{Fleet: f}
	}
	members := flow.MembersMsg{Members: []sched.Member{{Worker: "w", Service: "Pool"}, {Worker: "odd", Service: "Other"}}}
	m := flow.New(2)
	m.Update(now, flow.ConfirmedMsg{Asked: now})
	m.Update(now, config(1, "Pool"))
	m.Update(now, members)
	require.Equal(t, []sched.WorkerName{"w"}, asked(m, now, flow.TakeoverMsg{}))
	require.Equal(t, 1, m.Workers())

	// Guards against a worker of an added service that gets no tasks, and against one
	// whose runs are forgotten because its service is removed.
	m.Update(now, config(2, "Pool", "Other"))
	require.Equal(t, []sched.WorkerName{"odd"}, asked(m, now, members))
	m.Update(now, config(3, "Pool"))
	m.Update(now, members)
	require.Equal(t, 2, m.Workers())
}

// Guards against a new leader that does not ask a worker of a removed service, which may
// still run tasks of an earlier leader.
func TestRosterOfUnknownServiceIsAsked(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := flow.New(2)
	m.Update(now, flow.ConfirmedMsg{Asked: now})
	m.Update(now, flow.ConfigMsg{Fleet: &sched.FleetConfig{Revision: 1, Pools: map[sched.ServiceName]sched.Pool{"Pool": {}}}})
	old := sched.Member{Worker: "old", Service: "Other"}
	m.Update(now, flow.MembersMsg{Members: []sched.Member{old}})
	require.Equal(t, []sched.WorkerName{"old"}, asked(m, now, flow.TakeoverMsg{Roster: []sched.Member{old}}))
}
