package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// BenchmarkLatePass measures a pass over 1,000 late jobs of two steps of 20 tasks.
func BenchmarkLatePass(b *testing.B) {
	m := New(1)
	m.Update(time.Unix(1_700_000_000, 0), ConfigMsg{Fleet: &sched.FleetConfig{Revision: 1, Queues: map[sched.QueueName]sched.Queue{"Q": {Stretch: 2}}}})
	step := sched.StepSpec{Count: 20, Estimate: 2 * time.Second}
	for i := range 1000 {
		m.Update(m.now, JobMsg{Accepted: m.now.UnixMilli(), Job: &sched.Workflow{ID: sched.JobID(fmt.Sprintf("%016x", i)), Queue: "Q", Steps: []sched.StepSpec{step, step}}})
	}
	m.now, m.loaded = m.now.Add(time.Minute), true
	for b.Loop() {
		m.late.at, m.cmds = time.Time{}, nil
		m.updateLate()
	}
}
