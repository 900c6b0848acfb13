// Package peer implements the calls between entries over connect-go. Messages
// are typed; the generated code is in package peerpb.
//
// # Usage
//
//	mux.Handle(peer.Handler(backend, token))
//	pool := peer.NewPool(token)
//	res := pool.Dial(addr).Forward(ctx, call, sink)
//
// A peer authenticates with the bearer token that operators use. A forwarded
// request is never forwarded again. [Client.Forward] returns the outcome NotRun
// only if the peer reported it or if the connection could not be established.
package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// View is the content of a heartbeat: what an entry has read from the store and
// the instance list, with the age of each read, and its free slots.
type View struct {
	From sched.EntryName
	// Address is set in requests: the peer address that the sender has bound. It is
	// zero in requests of an older build.
	Address netip.AddrPort
	// Revision is the revision of the configuration in force at the entry.
	Revision sched.Revision
	// Stopping is true during a graceful shutdown of the entry.
	Stopping bool
	// Slots is the number of free slots by service.
	Slots map[sched.ServiceName]int
	// Table is the ownership table as last read; empty if it was not read.
	Table        []byte
	TableVersion sched.Version
	// TableAge is the age of the read of the table; negative if there was none.
	TableAge time.Duration
	// ListedGeneration is set in responses: the generation under which the
	// responder's last read of the instance list shows the sender of the
	// heartbeat as live at its address; 0 if it does not.
	ListedGeneration uint64
	// ListAge is the age of the last read of the instance list; negative if there
	// was none.
	ListAge time.Duration
}

// KeyCall asks the owner of an idempotency key's shard whether a request with
// the key may run.
type KeyCall struct {
	Shard     sched.ShardID
	Key       string
	RequestID string
	// Fingerprint is a hash of method, path and body of the request.
	Fingerprint uint64
	// Timeout is the time that is left until the deadline of the request.
	Timeout time.Duration
	// From is the entry that received the request.
	From sched.EntryName
}

// Verdict is the decision of the owner on a [KeyCall].
type Verdict string

// The decisions on a [KeyCall].
const (
	// VerdictGo means that the intent to run the request is stored durably and
	// that the request may run.
	VerdictGo Verdict = "Go"
	// VerdictRepeat means that an earlier request with the key has completed and
	// that its answer is returned instead.
	VerdictRepeat Verdict = "Repeat"
	// VerdictRefused means that the request must not run, for the reason given.
	VerdictRefused Verdict = "Refused"
)

// KeyVerdict is the response to a [KeyCall].
type KeyVerdict struct {
	Verdict Verdict
	// Reason is set with VerdictRefused.
	Reason sched.Reason
	// Answer is set with VerdictRepeat.
	Answer Answer
}

// Answer is a complete HTTP response of a target.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// KeyOutcome reports the outcome of a request that was allowed with [VerdictGo].
type KeyOutcome struct {
	Shard     sched.ShardID
	Key       string
	RequestID string
	Outcome   sched.Outcome
	Answer    Answer
}

// Backend is the part of an entry that serves the calls of peers. The
// [sched.Reason] that some methods return is empty if the entry accepted the
// call, otherwise it is the reason for the refusal.
type Backend interface {
	// Heartbeat takes the view of a peer and returns that of this entry.
	Heartbeat(ctx context.Context, v View) View
	// ServeForwarded runs a request on the slots that this entry owns.
	ServeForwarded(ctx context.Context, c call.Call, sink call.Sink) call.Result
	// BeginKey decides whether a request with an idempotency key may run.
	BeginKey(ctx context.Context, k KeyCall) KeyVerdict
	// FinishKey records the outcome of a request with an idempotency key.
	FinishKey(ctx context.Context, k KeyOutcome) sched.Reason
	// StoredConfig returns the configuration in force as stored, with its
	// revision.
	StoredConfig() (sched.Revision, []byte)
	// SubmitJobAt durably records an encoded job in a home shard that this
	// entry owns and returns the encoded status of the job.
	SubmitJobAt(ctx context.Context, shard sched.ShardID, job []byte) ([]byte, sched.Reason)
	// CancelJobAt cancels a job in a home shard that this entry owns and returns
	// the encoded status of the job.
	CancelJobAt(ctx context.Context, shard sched.ShardID, id sched.JobID) ([]byte, sched.Reason)
	// LocalJobs returns the encoded statuses of the jobs in the home shards that
	// this entry owns: of the job with the ID or, if the ID is empty, of all jobs
	// up to a limit for each shard.
	LocalJobs(ctx context.Context, id sched.JobID) [][]byte
	// TaskEvents delivers encoded events of one shard to another that this entry
	// owns.
	TaskEvents(ctx context.Context, from, to sched.ShardID, events [][]byte) sched.Reason
}
