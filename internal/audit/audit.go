// Package audit checks the guarantees of the scheduler against what the
// stand-ins for the workers recorded and what clients were told. It shares no
// logic with the scheduler, so a fault there cannot hide the violations that it
// causes.
//
// # Usage
//
//	var log audit.Log
//	log.AddAnswer(audit.Answer{RequestID: id, Outcome: sched.NotRun})
//	…
//	result := audit.Check(audit.Evidence{
//		Workers: []fake.WorkerRecords{w1.Records(), w2.Records()},
//		Log:     log.Snapshot(),
//	})
//	if result.Counts.Total() > 0 {
//		fmt.Println(result.Findings)
//	}
//
// Every call of a client needs its own request id: a repeat has a new id and the
// same key. Call Check after the traffic has ended. Requests that still run
// count as started. Add the last listing of a task only after there was time to
// record its end, because a success that is not listed counts as a lost task.
package audit

import (
	"fmt"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Answer is what a client was told about one call.
type Answer struct {
	// Service is the service that was called. The scope of an idempotency key
	// is one service.
	Service   sched.ServiceName
	RequestID string
	// Key is the idempotency key, empty if the call had none.
	Key string
	// Idempotent means that the call may run more than once.
	Idempotent bool
	Outcome    sched.Outcome
	// Reason is set if the call was refused, if it failed, or if its answer has
	// expired.
	Reason sched.Reason
	// Token was sent with the call; repeats with the same key send the same
	// token. Got is the token in the answer, empty if there was none.
	Token, Got string
}

// TaskListing is what a client was told about a task of an accepted job.
type TaskListing struct {
	Task sched.TaskID
	// Listed is false if the last listing did not show the task.
	Listed bool
	// Phase is the phase of the last listing.
	Phase sched.TaskPhase
}

// RevisionInForce is the configuration revision that was in force at an entry
// at a point in time.
type RevisionInForce struct {
	Entry    sched.EntryName
	At       time.Time
	Revision sched.Revision
}

// LogContent is what clients were told.
type LogContent struct {
	Answers   []Answer
	Tasks     []TaskListing
	Revisions []RevisionInForce
}

// Log collects what clients were told. It is safe for concurrent use. The zero
// value is an empty log.
type Log struct {
	mu      sync.Mutex
	content LogContent
}

// AddAnswer adds an answer.
func (l *Log) AddAnswer(a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.content.Answers = append(l.content.Answers, a)
}

// AddTask adds what the last listing said of a task of an accepted job.
func (l *Log) AddTask(t TaskListing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.content.Tasks = append(l.content.Tasks, t)
}

// AddRevision adds a configuration revision that was in force at an entry.
func (l *Log) AddRevision(r RevisionInForce) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.content.Revisions = append(l.content.Revisions, r)
}

// Snapshot returns a copy of the log.
func (l *Log) Snapshot() LogContent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogContent{
		Answers:   append([]Answer(nil), l.content.Answers...),
		Tasks:     append([]TaskListing(nil), l.content.Tasks...),
		Revisions: append([]RevisionInForce(nil), l.content.Revisions...),
	}
}

// Evidence is the input of [Check].
type Evidence struct {
	Workers []fake.WorkerRecords
	Log     LogContent
}

// Counts are the numbers of violations by kind.
type Counts struct {
	// DuplicateRuns counts calls and keys that are not idempotent and were
	// started more than once.
	DuplicateRuns int
	// LostTasks counts accepted tasks that are no longer listed, that are
	// listed as succeeded although they succeeded on no worker, or that
	// succeeded on a worker and are not listed with a final phase.
	LostTasks int
	// Overcommits counts services with more busy slots than the limit,
	// workers with more connections than the limit, and starts that exceeded
	// processors, memory or accelerators.
	Overcommits int
	// FalseNotRun counts calls that were answered with NotRun although a target
	// started them.
	FalseNotRun int
	// ConfigReversions counts decreases of the revision in force at an entry.
	ConfigReversions int
	// OverlappingRuns counts pairs of attempts of one task that overlap in time.
	OverlappingRuns int
	// WrongAnswers counts answers with the token of another call.
	WrongAnswers int
}

// Total returns the sum of all counts.
func (c Counts) Total() int {
	return c.DuplicateRuns + c.LostTasks + c.Overcommits + c.FalseNotRun +
		c.ConfigReversions + c.OverlappingRuns + c.WrongAnswers
}

// Result holds the violations that [Check] found.
type Result struct {
	Counts Counts
	// Findings has one line for each violation.
	Findings []string
}

func (r *Result) add(count *int, format string, args ...any) {
	*count++
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// Check counts and describes all violations in the evidence.
func Check(e Evidence) Result {
	var r Result
	starts := startsOf(e.Workers)
	checkDuplicates(&r, e.Log.Answers, starts)
	checkNotRun(&r, e.Log.Answers, starts)
	checkAnswers(&r, e.Log.Answers)
	checkCapacity(&r, e.Workers)
	checkRevisions(&r, e.Log.Revisions)
	runs := taskRunsOf(e.Workers)
	checkOverlaps(&r, runs)
	checkLost(&r, e.Log.Tasks, runs)
	return r
}
