package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// BenchmarkLatePass measures a pass over 1,000 late jobs of two steps of 20 tasks, and
// the longest answer to another entry.
func BenchmarkLatePass(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	m := New(1)
	m.Update(now, ConfirmedMsg{Asked: now})
	m.Update(now, ConfigMsg{Fleet: &sched.FleetConfig{
		Revision: 1, Queues: map[sched.QueueName]sched.Queue{"best-effort": {Name: "best-effort", Stretch: 2, Target: time.Second}},
	}})
	m.Update(now, TakeoverMsg{})
	step := sched.StepSpec{Count: 20, Estimate: 2 * time.Second, Resources: sched.Resources{CPU: 1000}}
	next := step
	next.After = []int{0}
	for i := range 1000 {
		m.Update(now, JobMsg{Accepted: now.UnixMilli(), Job: &sched.Workflow{
			ID: sched.JobID(fmt.Sprintf("%016x", i)), Queue: "best-effort", Steps: []sched.StepSpec{step, next},
		}})
	}
	m.now = now.Add(time.Minute)
	for b.Loop() {
		m.late.at = time.Time{}
		m.updateLate()
		m.cmds = nil
	}
	m.mayIssueOrders = true
	list, known := m.LateJobs(m.now, "", sched.MaxLateJobs)
	require.True(b, known)
	require.Equal(b, 800, list.More)
	encoded, err := cbor.Marshal(list)
	require.NoError(b, err)
	b.ReportMetric(float64(len(encoded)), "answer-bytes")
}
