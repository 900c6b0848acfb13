// Package sched defines the types that all packages of the scheduler share:
// names, resources, services, jobs and tasks, outcomes and refusal reasons. It
// also defines the interfaces of everything that can be replaced: the stores,
// the instance list, the calls to workers, the adviser and the policies, which
// are routers, limiters, retriers and placers.
//
// State machines in the packages below this one make all decisions. A machine
// does no I/O, starts no goroutine and reads no clock: it consumes a message
// together with the current time, changes its state and returns commands. A
// runner executes the commands and feeds their results back as messages.
// Tests, fuzzers and benchmarks drive the same machines directly.
//
// # Terms
//
// An instance is an entry or a worker. An entry is an instance of this
// scheduler. Callers send it requests and jobs. There are two kinds of entries.
// Those of package internal/entry own shards, forward requests to targets and
// run batch tasks; they use [Store] and [InstanceList]. Those of package
// internal/daemon elect a leader, which runs workflows; they use
// [MetadataStore], [Orders] and [Adviser].
//
// A worker is an instance that runs targets and tasks. A target is the process
// on a worker that answers the requests of one service. An incarnation of a
// worker lasts from the start of its process to its end: a restarted worker has
// the same name, but is another incarnation. The generation of an instance
// changes when it is listed again after it was removed from the instance list. A
// slot is the right to run one request on a worker.
//
// A shard is the unit of ownership. It holds some workers, idempotency keys and
// jobs, and at most one entry owns it at a time. The [Epoch] of a shard is the
// fencing token of its owner. The journal of a shard holds its durable records
// ([Record]). The home shard of a job owns the job, and a hosting shard runs
// tasks of it.
//
// The [Outcome] of a request says whether it ran, and a [Reason] says why a
// request, an edit or a task was refused or failed. A batch task is a task of a
// job that a shard owns ([JobSpec]). A class consists of batch tasks with similar
// behaviour ([BatchClass]). The services text is the operators' TOML file, from
// which [Config] is parsed. A [Revision] is the number of an accepted
// configuration. It is in force at an entry that has applied it.
//
// The leader is the one entry that schedules workflows. A [Workflow] is a job
// whose steps depend on each other, and a [Run] is one start of one of its
// tasks. An occurrence is one execution of the steps of a repeated job. The
// number of the leader's term is the fencing token of its orders. A dispatcher is
// an entry that sends orders of the leader to workers. The register of workers
// holds the [Member] of each worker, and the roster is the list of the workers
// that may have received orders. The [Adviser] alone knows which workers may run
// the steps of some queues. It gives a ticket for each of these workers, which an
// order to start a run there has to carry.
//
// A latency-critical task answers requests and has a tail latency target. A
// best-effort task uses the processor time that others leave unused. A
// perpetual task runs until its job is cancelled. A gang consists of the tasks
// of a step that make progress only while all of them run. An image is the
// program that tasks run. An interference estimate is the probability that a
// best-effort image interferes with a latency-critical one. To throttle a task
// is to limit its speed.
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
// stand-ins that replace the platform in tests are internal packages and
// platform/stand.
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
