package sched

// RecordKind identifies the machine that a journal record belongs to.
type RecordKind uint8

// The record kinds. Values are part of the journal format and never change.
const (
	RecordDedup RecordKind = 1
	RecordTask  RecordKind = 2
)

// Record is one durable state transition of a shard. The machine that the kind
// identifies encodes and decodes the data.
type Record struct {
	Kind RecordKind
	Data []byte
}

// Ticket identifies an append that a machine waits for. Tickets are unique
// within one machine.
type Ticket uint64

// AppendCmd asks the runner to make a record durable in the shard's journal.
// The runner answers with a CommittedMsg or a CommitFailedMsg that carries the
// same ticket. It commits the records of one machine in the order of their
// commands.
type AppendCmd struct {
	Ticket Ticket
	Record Record
}

// CommittedMsg reports that the record of a ticket is durable.
type CommittedMsg struct{ Ticket Ticket }

// CommitFailedMsg reports that a commit failed because the entry stopped owning
// the shard or gave up on the store. If Lost is set, the record may have become
// durable all the same; otherwise it has not.
type CommitFailedMsg struct {
	Ticket Ticket
	Reason Reason
	Lost   bool
}

// Durable is a machine whose state can be restored from the journal.
type Durable interface {
	Machine
	// Restore applies a record while a journal is replayed.
	Restore(Record) error
	// Snapshot returns records that rebuild the current durable state when
	// they are restored in order.
	Snapshot() []Record
}
