// Package layout names the keys that entries share in the metadata store and
// encodes their values.
//
//	Mangoslip/Leader           the leader, under a lease
//	Mangoslip/Work/Term        the newest term; a leader writes every record on
//	                           the condition that it is unchanged
//	Mangoslip/Work/Jobs/ID     an accepted job
//	Mangoslip/Work/Cancels/ID  the cancellation of a job
//	Mangoslip/Progress/ID      the progress of a job
//	Mangoslip/Roster           the workers that may have received orders
//	Mangoslip/Beliefs          estimates of the interference between images
//	Mangoslip/Handover         what the last leader that resigned knew of runs
//	Mangoslip/Entries/NAME     a running entry, under a lease
//
// The term and the jobs share a prefix, so that one watch delivers them in the
// order of their versions. A leader thus learns that it was replaced before it
// learns of any job that was accepted afterwards.
//
// # Usage
//
//	b := layout.Encode(layout.Job{Workflow: w, Accepted: now.UnixMilli()})
//	txn.Writes = append(txn.Writes, sched.Write{Key: layout.JobKey(w.ID), Value: b})
package layout

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// The keys and the prefixes of keys.
const (
	Root         = "Mangoslip/"
	LeaderKey    = Root + "Leader"
	WorkPrefix   = Root + "Work/"
	TermKey      = WorkPrefix + "Term"
	jobPrefix    = WorkPrefix + "Jobs/"
	cancelPrefix = WorkPrefix + "Cancels/"
	EntryPrefix  = Root + "Entries/"
)

// Leader is the value of [LeaderKey].
type Leader struct {
	Name sched.EntryName `cbor:"1,keyasint"`
	Addr netip.AddrPort  `cbor:"2,keyasint"`
	Term uint64          `cbor:"3,keyasint"`
}

// Term is the value of [TermKey].
type Term struct {
	Number uint64          `cbor:"1,keyasint"`
	Name   sched.EntryName `cbor:"2,keyasint"`
	// ID distinguishes two attempts to begin the same term.
	ID uint64 `cbor:"3,keyasint"`
}

// Job is the value of a job's key. Accepted is the time at which the job was
// accepted, in Unix milliseconds.
type Job struct {
	Workflow *sched.Workflow `cbor:"1,keyasint"`
	Accepted int64           `cbor:"2,keyasint"`
}

// Entry is the value of an entry's key.
type Entry struct {
	Name sched.EntryName `cbor:"1,keyasint"`
	Addr netip.AddrPort  `cbor:"2,keyasint"`
	// Processors is the processor time that the entry may use, in cores.
	Processors float64 `cbor:"3,keyasint"`
}

// JobKey returns the key of a job.
func JobKey(id sched.JobID) string { return jobPrefix + string(id) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id sched.JobID) string { return cancelPrefix + string(id) }

// JobIDFromKey returns the job whose key is given. It reports false for any
// other key.
func JobIDFromKey(key string) (sched.JobID, bool) {
	id, ok := strings.CutPrefix(key, jobPrefix)
	return sched.JobID(id), ok
}

// CancelledJobFromKey returns the job whose cancellation has the given key. It
// reports false for any other key.
func CancelledJobFromKey(key string) (sched.JobID, bool) {
	id, ok := strings.CutPrefix(key, cancelPrefix)
	return sched.JobID(id), ok
}

// Encode returns the stored form of a value.
func Encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // Values of the types in this package can always be encoded.
	}
	return b
}

// DecodeJob reads and checks the stored form of a job.
func DecodeJob(b []byte) (Job, error) {
	var j Job
	if err := Decode(b, &j); err != nil {
		return Job{}, err
	}
	if j.Workflow == nil {
		return Job{}, errNoWorkflow
	}
	return j, j.Workflow.Check()
}

var errNoWorkflow = errors.New("job has no workflow")

// maxProcessors bounds the processor time of an entry, in cores.
const maxProcessors = 1 << 20

// DecodeEntry reads and checks the stored form of an entry at its key. An entry that
// others could not call, or could not compare themselves with, is an error.
func DecodeEntry(key string, b []byte) (Entry, error) {
	var e Entry
	if err := Decode(b, &e); err != nil {
		return Entry{}, err
	}
	switch {
	case e.Name == "" || key != EntryPrefix+string(e.Name):
		return Entry{}, errOtherEntry
	case !e.Addr.IsValid() || e.Addr.Port() == 0 || e.Addr.Addr().IsUnspecified():
		return Entry{}, fmt.Errorf("no entry can listen on %s", e.Addr)
	case math.IsNaN(e.Processors) || e.Processors < 0 || e.Processors > maxProcessors:
		return Entry{}, fmt.Errorf("impossible processor time of %g cores", e.Processors)
	}
	return e, nil
}

var errOtherEntry = errors.New("the record is that of another entry")

// Decode reads the stored form of a value.
func Decode(b []byte, v any) error { return cbor.Unmarshal(b, v) }
