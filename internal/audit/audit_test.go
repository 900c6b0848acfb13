package audit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }

// cleanEvidence returns evidence without a violation: a call with a key, of which
// one repeat was refused and another was told that the answer has expired, an
// idempotent call that ran twice, and a task that moved between workers.
func cleanEvidence() Evidence {
	task := sched.TaskID{Job: "j", Index: 0}
	limits := []fake.ServiceLimit{{Service: "Orders", Slots: 1}}
	return Evidence{
		Workers: []fake.WorkerRecords{{
			Config: fake.WorkerConfig{Name: "w1", Services: limits, Connections: 2},
			Requests: []fake.RequestRun{
				{Service: "Orders", ID: "o1", Key: "k1"},
				{Service: "Orders", ID: "q1"}, {Service: "Orders", ID: "q1"},
			},
			Tasks:          []fake.TaskRun{{Worker: "w1", Task: task, Attempt: 1, Start: at(0), End: at(2)}},
			MaxBusy:        map[sched.ServiceName]int{"Orders": 1},
			MaxConnections: 2,
		}, {
			Config: fake.WorkerConfig{Name: "w2"},
			Tasks: []fake.TaskRun{{
				Worker: "w2", Task: task, Attempt: 2, Start: at(2), End: at(4), State: sched.TaskSucceeded,
			}},
		}},
		Log: LogContent{
			Answers: []Answer{
				{Service: "Orders", RequestID: "o1", Key: "k1", Outcome: sched.Ran, Token: "a", Got: "a"},
				{Service: "Orders", RequestID: "o2", Key: "k1", Outcome: sched.NotRun, Token: "a"},
				{
					Service: "Orders", RequestID: "o4", Key: "k1", Outcome: sched.Ran,
					Reason: sched.ReasonAnswerExpired, Token: "a",
				},
				{Service: "Orders", RequestID: "q1", Idempotent: true, Outcome: sched.Unknown, Token: "b"},
			},
			Tasks:     []TaskListing{{Task: task, Listed: true, Phase: sched.PhaseSucceeded}},
			Revisions: []RevisionInForce{{"e1", at(0), 1}, {"e1", at(1), 2}, {"e2", at(2), 1}},
		},
	}
}

// Guards against a check that misses a kind of violation or reports one where
// there is none. Each case adds one violation to evidence that has none.
func TestCheckFindsPlantedViolations(t *testing.T) {
	order := fake.RequestRun{Service: "Orders", ID: "o1", Key: "k1"}
	cases := []struct {
		name  string
		plant func(*Evidence)
		want  Counts
	}{
		{"nothing", func(*Evidence) {}, Counts{}},
		{"key started on two workers", func(e *Evidence) {
			e.Workers[1].Requests = append(e.Workers[1].Requests, order)
		}, Counts{DuplicateRuns: 1}},
		{"key started under another request id", func(e *Evidence) {
			order := order
			order.ID = "o3"
			e.Workers[1].Requests = append(e.Workers[1].Requests, order)
		}, Counts{DuplicateRuns: 1}},
		{"unkeyed request started twice", func(e *Evidence) {
			e.Log.Answers[3].Idempotent = false
		}, Counts{DuplicateRuns: 1}},
		{"request that ran told NotRun", func(e *Evidence) {
			e.Log.Answers[0].Outcome = sched.NotRun
		}, Counts{FalseNotRun: 1}},
		{"answer of another request", func(e *Evidence) {
			e.Log.Answers[0].Got = "b"
		}, Counts{WrongAnswers: 1}},
		{"empty answer told Ran", func(e *Evidence) {
			e.Log.Answers[0].Got = ""
		}, Counts{WrongAnswers: 1}},
		{"slots", func(e *Evidence) { e.Workers[0].MaxBusy["Orders"] = 2 }, Counts{Overcommits: 1}},
		{"connections", func(e *Evidence) { e.Workers[0].MaxConnections = 3 }, Counts{Overcommits: 1}},
		{"resources", func(e *Evidence) {
			e.Workers[0].Overcommits = []fake.Overcommit{{Worker: "w1"}}
		}, Counts{Overcommits: 1}},
		{"revision decreased", func(e *Evidence) {
			e.Log.Revisions = append(e.Log.Revisions, RevisionInForce{"e1", at(3), 1})
		}, Counts{ConfigReversions: 1}},
		{"task overlaps", func(e *Evidence) {
			e.Workers[1].Tasks[0].Start = at(1)
		}, Counts{OverlappingRuns: 1}},
		{"task never ended on the first worker", func(e *Evidence) {
			e.Workers[0].Tasks[0].End = time.Time{}
		}, Counts{OverlappingRuns: 1}},
		{"task no longer listed", func(e *Evidence) { e.Log.Tasks[0].Listed = false }, Counts{LostTasks: 1}},
		{"task ran to success and its end is not listed", func(e *Evidence) {
			e.Log.Tasks[0].Phase = sched.PhaseQueued
		}, Counts{LostTasks: 1}},
		{"task told succeeded but failed", func(e *Evidence) {
			e.Workers[1].Tasks[0].State = sched.TaskFailed
		}, Counts{LostTasks: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := cleanEvidence()
			c.plant(&e)
			got := Check(e)
			require.Equal(t, c.want, got.Counts, got.Findings)
			require.Len(t, got.Findings, c.want.Total())
		})
	}
}
