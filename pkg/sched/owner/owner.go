// Package owner decides which shards an entry owns.
//
// The ownership table in the store records an owner, an epoch and at most one
// claim for each shard. Ownership does not expire, so an outage of the store
// does not end it, however long it lasts. Two rules keep two entries from
// serving the same shard:
//
//   - Stop rule: an owner serves a shard only while its ownership is
//     confirmed. Two kinds of reads confirm it: a table read that shows the
//     entry as owner without a claim, and a read of the platform's instance
//     list that shows the entry under the generation in the table. A
//     confirmation is valid for [ConfirmationAge] from the time its request was
//     sent. An owner that stopped resumes only when a table read shows it as
//     owner without a claim.
//   - Takeover rule: a claimant first commits a claim, which every later table
//     read shows. It completes the claim only when every confirmation that the
//     owner may still have has expired.
//
// Three kinds of shards are taken without the wait of a takeover: a shard that
// its owner released, a shard whose owner is an earlier process with the same
// name, generation and address, and a shard that this process owns under an
// earlier generation.
//
// The state of the machine always follows from the table as last read. The
// answer to a write only saves a read. A lost or late answer changes nothing,
// because the next read shows whether the write took effect.
//
// # Usage
//
//	m := owner.New("entry-1", processID,
//		owner.WithDataCentre("north"),
//		owner.WithAddress(peerAddress),
//		owner.WithLayout(dataCentres, 2))
//	for _, cmd := range m.Update(now, sched.TickMsg{}) {
//		switch cmd := cmd.(type) {
//		case owner.ReadTableCmd:
//			// get owner.Key, then send a TableReadMsg
//		case owner.WriteTableCmd:
//			// put owner.Key with cmd.Prev, then send a TableWrittenMsg
//		case owner.AcquiredCmd:
//			// recover the journal of cmd.Shard, then serve
//		}
//	}
//	if m.Serving(now, shard) {
//		// start an effect
//	}
//
// The runner is the code that calls Update and executes the commands. It polls
// the instance list every 250 ms and sends each answer as a [ListReadMsg]. A
// Machine is not safe for concurrent use.
package owner

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// listing identifies one presence of an entry in the instance list. An entry
// that is listed again after it was removed gets a new generation. One that is
// replaced while it is listed keeps its generation, but has another address. The
// address is zero if it is not known; the entry is then recognized without it.
type listing struct {
	name       sched.EntryName
	generation uint64
	address    netip.AddrPort
}

// listingStatus records whether this entry's own list reads show the listing
// of an owner.
type listingStatus struct {
	// namedAt is when a table read first showed the listing as an owner.
	namedAt time.Time
	// absentSince is when the first list read without the listing arrived. It
	// is zero while the listing is present.
	absentSince time.Time
}

// shardState is the state that the machine keeps for one shard, besides its
// row in the table.
type shardState struct {
	// held is set from AcquiredCmd until the epoch ends.
	held bool
	// stopped is set when serving stops because a confirmation has expired,
	// the table shows a claim or the list does not show the entry. It is
	// cleared when serving resumes or the epoch ends.
	stopped bool
	// yielding is set by a handover or a ReleaseMsg and stays set as long as
	// the table names this process as owner, because a release that was sent
	// may take effect late.
	yielding bool
	// releasing is set by a ReleaseMsg: the next write gives up the shard.
	releasing bool
	// needRead is set by a stop until a table read arrives that was sent
	// within ConfirmationAge.
	needRead bool
	// epoch is the epoch in which the shard is held.
	epoch sched.Epoch
	// vacantSince is when the shard was first seen without an owner.
	vacantSince time.Time
	// claimID is the id of the claim in the table, and claimSeenAt is when
	// that claim was first seen.
	claimID     string
	claimSeenAt time.Time
}

// write is a table write that waits for its answer.
type write struct {
	id     string
	table  Table
	sentAt time.Time
}

// Machine manages the shards that one entry owns. It implements
// [sched.Machine].
type Machine struct {
	name          sched.EntryName
	process       string
	dataCentre    sched.DataCentre
	address       netip.AddrPort
	dataCentres   []sched.DataCentre
	perDataCentre int
	listLag       time.Duration
	seed          uint64
	rng           *rand.Rand

	// table is the table as last read, and version is its version in the
	// store, 0 before the first read.
	table   Table
	version sched.Version
	// index holds the position of each shard in the table.
	index  map[sched.ShardID]int
	shards map[sched.ShardID]*shardState
	// tableReadAt is the latest send time of the requests that showed this
	// version of the table or an earlier one.
	tableReadAt time.Time
	// tableMissing is set when a read found no table in the store and none has
	// been seen before.
	tableMissing bool
	// keyLayout holds the shards that keys and jobs map to.
	keyLayout sched.Layout

	// listReadAt and listedGeneration describe the latest list read, own
	// or relayed by a peer: when its request was sent, and the generation
	// under which it shows this entry. Generation 0 means not listed.
	listReadAt       time.Time
	listedGeneration uint64
	// generation, live and entries come from the latest own list read, which
	// was sent at ownListReadAt: the generation of this entry, whether it is
	// live, and all entries. generationAt is when generation last changed.
	generation    uint64
	generationAt  time.Time
	live          bool
	ownListReadAt time.Time
	entries       map[sched.EntryName]sched.Instance
	// ownerListings holds the status of each listing that owns a shard.
	ownerListings map[listing]listingStatus
	// stoppingPeers holds the peers that reported a graceful shutdown.
	stoppingPeers map[sched.EntryName]bool

	// reading is set while a table read that was sent at readSentAt waits for
	// its answer.
	reading    bool
	readSentAt time.Time
	// readAtOnce requests a table read without waiting for the interval.
	readAtOnce bool
	// readBack delays writes until the answer to a read arrives that was sent
	// at readBackFrom or later.
	readBack     bool
	readBackFrom time.Time
	// pending is the write that waits for its answer, nil if there is none.
	pending *write
	// failures counts consecutive failed writes, and writeAfter is when the
	// backoff after the last one ends.
	writeAfter time.Time
	failures   int
	// lastID is the number in the last id that nextID returned.
	lastID uint64
	// draining is set by a DrainMsg.
	draining bool
	// handedOverAt is when balance last started a handover.
	handedOverAt time.Time
	// cmds collects the commands that the current Update returns.
	cmds []sched.Cmd
}

// New returns the machine of an entry. The argument process is a random id that
// is unique to this process.
func New(name sched.EntryName, process string, opts ...Option) *Machine {
	m := &Machine{
		name:          name,
		process:       process,
		listLag:       ListLag,
		index:         make(map[sched.ShardID]int),
		shards:        make(map[sched.ShardID]*shardState),
		entries:       make(map[sched.EntryName]sched.Instance),
		ownerListings: make(map[listing]listingStatus),
		stoppingPeers: make(map[sched.EntryName]bool),
	}
	for _, o := range opts {
		o(m)
	}
	m.rng = rand.New(rand.NewPCG(m.seed, m.seed^0x9e3779b97f4a7c15))
	return m
}

// Update implements [sched.Machine].
func (m *Machine) Update(now time.Time, msg sched.Msg) []sched.Cmd {
	m.cmds = nil
	// Expired confirmations are handled before the message, which may carry a
	// new one. So a shard stops, and needs a table read to resume, even if the
	// process was paused while the confirmation expired.
	m.stopExpired(now)
	switch msg := msg.(type) {
	case TableReadMsg:
		m.onTableRead(now, msg)
	case TableReadFailedMsg:
		m.reading = false
	case ListReadMsg:
		m.onListRead(now, msg)
	case RelayedMsg:
		m.recordStopping(msg)
		m.onRelayed(now, msg)
	case TableWrittenMsg:
		m.onTableWritten(now, msg)
	case TableWriteFailedMsg:
		m.onTableWriteFailed(now, msg)
	case DrainMsg:
		m.draining = true
	case ReleaseMsg:
		m.onRelease(msg.Shard)
	}
	m.reconcile(now)
	m.balance(now)
	m.maybeWrite(now)
	m.maybeRead(now)
	return m.cmds
}

func (m *Machine) emit(c sched.Cmd) { m.cmds = append(m.cmds, c) }

// nextID returns an id that is unique among the writes and claims of all
// processes.
func (m *Machine) nextID() string {
	m.lastID++
	return m.process + "." + strconv.FormatUint(m.lastID, 10)
}
