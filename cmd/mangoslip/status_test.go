package main

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

var sampleStatus = client.Status{
	Revision: 8, InForce: 8,
	Entries: []client.EntryStatus{
		{Name: "e1", DataCentre: "Nyarugenge", State: sched.StateLive, InForce: 8, Shards: []sched.ShardID{{DataCentre: "Nyarugenge"}}},
		{Name: "e2", DataCentre: "Kicukiro", State: sched.StateLive, InForce: 7},
		{Name: "e3", DataCentre: "Gasabo", State: sched.StateLeaving, InForce: 7},
	},
	Services: []client.ServiceStatus{
		{Name: "Quotes", State: sched.ServiceDraining, Busy: 3, Slots: 400},
		{Name: "Commissions", State: sched.ServiceStarted, BlockedBy: "Quotes", Slots: 400, Queued: 2},
	},
}

// Guards against status output that does not show a lagging entry or a blocked
// service, and against colour sequences in output to a file.
func TestStatusOutput(t *testing.T) {
	out := renderStatus(&sampleStatus, false)
	require.NotContains(t, out, "\x1b")
	goldie.New(t).Assert(t, "status", []byte(out))
	require.Equal(t, 4, strings.Count(renderStatus(&sampleStatus, true), colourOn))
}

// Guards against apply -wait returning while a live entry lags, or waiting for an
// entry that is leaving.
func TestWaitNamesLaggingEntries(t *testing.T) {
	cl := newTestClient(t, &fakeBackend{status: sampleStatus})
	err := waitInForce(t.Context(), cl, 8, time.Nanosecond)
	require.ErrorContains(t, err, "not yet in force at [e2];")
	require.NoError(t, waitInForce(t.Context(), cl, 7, 10*time.Second))
	empty := newTestClient(t, &fakeBackend{})
	require.ErrorContains(t, waitInForce(t.Context(), empty, 7, time.Nanosecond), "lists no entries")
}

// Guards against a wait reason that has no explanation.
func TestExplainOutput(t *testing.T) {
	j := &sched.JobStatus{ID: "j1", Team: "Research", Tasks: []sched.TaskStatus{
		{Index: 0, Phase: sched.PhaseRunning, Worker: "w7", Attempts: 1},
		{Index: 1, Phase: sched.PhaseFailed, Attempts: 3, Error: "exit 1"},
	}}
	for _, w := range []sched.WaitReason{
		sched.WaitQuota, sched.WaitCapacity, sched.WaitNoWorkerFits, sched.WaitBackoff, sched.WaitRecovery, sched.WaitAssignment,
	} {
		require.NotEmpty(t, waitAdvice[w])
		j.Tasks = append(j.Tasks, sched.TaskStatus{Index: len(j.Tasks), Phase: sched.PhaseQueued, Wait: w})
	}
	goldie.New(t).Assert(t, "explain", []byte(explain(j)))
}
