// Package quota bounds the memory that accepted jobs take in the leader. Any entry may
// accept a job, but only the leader knows what it keeps. It grants room to the other
// entries, which accept jobs as long as their grant suffices, and then ask again.
//
// A grant is worth more than one ordinary job, so an entry asks about once in
// [grantTime]. While no leader answers, each entry may accept its share of the bound, so
// that jobs are accepted during a takeover. The bound can therefore be exceeded by as much
// again, and the memory of a machine has room for that.
//
// # Usage
//
// On the leader:
//
//	l := quota.NewLedger(quota.Bound(memory))
//	granted, verdict := l.Grant(keptJobs, cost, entries)
//
// On each entry:
//
//	a := quota.NewAccount(asker, quota.Bound(memory), quota.WithLogger(log), quota.WithStats(st))
//	if v := a.Reserve(ctx, cost); v != quota.Granted {
//		// refuse the job
//	}
//	a.Publish() // once a second
package quota

import (
	"time"

	"github.com/mangoslip/mangoslip/internal/intake"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Verdict says whether there is room for a job.
type Verdict uint8

// The verdicts.
const (
	// Unknown means that no leader answers.
	Unknown Verdict = iota
	Granted
	// Full means that there is no room now, and TooLarge that there never is.
	Full
	TooLarge
)

// String returns the name of the verdict in Pascal case.
func (v Verdict) String() string {
	return [...]string{"Unknown", "Granted", "Full", "TooLarge"}[min(v, TooLarge)]
}

const (
	// memoryShare is the part of the memory that is left to clients for the jobs that
	// the leader keeps. The garbage collector needs as much again, and so do the jobs
	// that are accepted while no leader answers.
	memoryShare = 4
	minBound    = 8 << 20
	// defaultBound applies if the memory of the machine is not known.
	defaultBound = 128 << 20
	// chunkShare is how many grants for each entry the free room has to suffice for.
	chunkShare = 8
	// grantTime is how long an entry may use a grant. The leader counts a grant for at
	// least countTime, in which the jobs are stored and delivered to it.
	grantTime = 4 * time.Second
	countTime = 6 * time.Second
	// refusalTime is how long an entry refuses jobs without asking after it was refused
	// room for one that takes as much or less.
	refusalTime = 250 * time.Millisecond
)

const (
	// runShare is the part of the memory that is left to clients for the runs that the
	// leader follows, and runCost what one takes.
	runShare = 8
	runCost  = 1 << 10
	// defaultRuns applies if the memory of the machine is not known.
	defaultRuns = 1 << 17
)

// MaxRuns returns the bound on the runs that a leader follows on a machine with the given
// memory, 0 if that is not known.
func MaxRuns(memory sched.Bytes) int {
	if memory <= 0 {
		return defaultRuns
	}
	return int(max(intake.ClientMemory(memory), minBound) / runShare / runCost)
}

// Bound returns the bound on what accepted jobs take on a machine with the given memory,
// 0 if that is not known.
func Bound(memory sched.Bytes) sched.Bytes {
	if memory <= 0 {
		return defaultBound
	}
	return max(intake.ClientMemory(memory)/memoryShare, minBound)
}
