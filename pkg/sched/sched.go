// Package sched defines the types that all packages of the scheduler share:
// names, resources, services, jobs and tasks, outcomes and refusal reasons. It
// also defines the interfaces of everything that can be replaced: the store,
// the instance list, the workers and the policies.
//
// State machines in the packages below this one make all decisions. A machine
// does no I/O, starts no goroutine and reads no clock: it consumes a message
// together with the current time, changes its state and returns commands. A
// runner executes the commands and feeds their results back as messages.
// Tests, fuzzers and benchmarks drive the same machines directly.
//
// # Terms
//
// An entry is an instance of this scheduler. Callers send it requests and
// jobs.
//
// A worker is an instance that runs targets and tasks. A target is the process
// on a worker that answers the requests of one service. An incarnation of a
// worker lasts from the start of its process to its end: a restarted worker has
// the same name, but is another incarnation.
//
// A shard is the unit of ownership. It holds some workers, idempotency keys and
// jobs, and at most one entry owns it at a time. The [Epoch] of a shard is the
// fencing token of its owner.
//
// The leader is the one entry that schedules workflows. A [Workflow] is a job
// whose steps depend on each other, and a [Run] is one start of one of its
// tasks. The number of the leader's term is the fencing token of its orders.
//
// A latency-critical task answers requests and has a tail latency target. A
// best-effort task uses the processor time that others leave unused. A
// perpetual task runs until its job is cancelled.
//
// # Usage
//
//	m := dedup.New(dedup.WithAnswerTTL(15 * time.Minute))
//	m.Update(now, dedup.AcquiredMsg{})
//	begin := dedup.BeginMsg{Waiter: 1, Key: key, RequestID: id, Deadline: deadline}
//	for _, cmd := range m.Update(now, begin) {
//		switch cmd := cmd.(type) {
//		case sched.AppendCmd:
//			// Write cmd.Record to the journal. Once it is durable, pass a
//			// sched.CommittedMsg with cmd.Ticket to Update.
//		case dedup.ReplyCmd:
//			// Send cmd.Verdict to the caller that cmd.Waiter identifies.
//		}
//	}
//
// Internal packages implement [Store], [InstanceList] and [WorkerClient], and
// packages below platform implement [MetadataStore], [Orders] and [Adviser]. The
// stand-ins that replace the platform in tests are internal packages too.
package sched

import "time"

// Msg is an event that a state machine consumes. Message types are named
// with the suffix Msg.
type Msg any

// Cmd is a side effect that a state machine asks its runner to execute.
// Command types are named with the suffix Cmd.
type Cmd any

// Machine is a deterministic state machine. Update is not safe for concurrent
// use; the runner calls it from one goroutine at a time, for example under the
// lock of the shard that the machine belongs to.
type Machine interface {
	// Update consumes one message at time now and returns the commands to
	// execute, in order. Times passed to one machine never decrease.
	Update(now time.Time, msg Msg) []Cmd
}

// TickMsg tells a machine that time has passed. Runners send it at least
// every 100 ms.
type TickMsg struct{}
