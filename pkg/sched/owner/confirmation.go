package owner

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// onTableRead handles the answer to the entry's own read of the table.
func (m *Machine) onTableRead(now time.Time, msg TableReadMsg) {
	m.reading = false
	if msg.Version == 0 {
		// A table that was seen once is never created again. Its epochs
		// would start from zero and no longer fence earlier owners.
		m.tableMissing = m.version == 0
		return
	}
	t, err := ParseTable(msg.Value)
	if err != nil {
		return
	}
	if m.readBack && !msg.SentAt.Before(m.readBackFrom) {
		m.readBack = false
	}
	m.acceptTable(now, t, msg.Version, msg.SentAt)
}

// onRelayed handles what a peer read. Each read counts with the age that the
// peer stated. A relayed read never starts a claim; only the entry's own list
// reads do.
func (m *Machine) onRelayed(now time.Time, msg RelayedMsg) {
	if msg.TableAge >= 0 && msg.Version > 0 && msg.Version >= m.version {
		if t, err := ParseTable(msg.Table); err == nil {
			m.acceptTable(now, t, msg.Version, msg.SentAt.Add(-msg.TableAge))
		}
	}
	if msg.ListAge >= 0 {
		m.acceptListing(now, msg.SentAt.Add(-msg.ListAge), msg.ListedGeneration)
	}
}

// acceptTable updates the machine from a table that a request sent at sentAt
// returned. It ignores a version below the known one, which comes from an
// earlier read.
func (m *Machine) acceptTable(now time.Time, t Table, v sched.Version, sentAt time.Time) {
	if v < m.version {
		return
	}
	if now.Before(sentAt.Add(ConfirmationAge)) {
		for _, st := range m.shards {
			st.needRead = false
		}
	}
	// The known version was committed after every read that showed a lower
	// one. So the latest send time of all reads confirms the highest version.
	// This matters for a watch, whose request is old when it reports a change.
	if sentAt.After(m.tableReadAt) {
		m.tableReadAt = sentAt
	}
	if v == m.version {
		return
	}
	m.table, m.version, m.tableMissing = t, v, false
	m.keyLayout = t.Layout()[:t.KeyShards]
	m.reindex(now)
}

// reindex updates the state of each shard and of each owner's listing from a new
// version of the table.
func (m *Machine) reindex(now time.Time) {
	listings := make(map[listing]listingStatus, len(m.ownerListings))
	for i := range m.table.Shards {
		row := &m.table.Shards[i]
		m.index[row.ID] = i
		st := m.shards[row.ID]
		if st == nil {
			st = &shardState{}
			m.shards[row.ID] = st
		}
		st.observe(now, row)
		if row.Owner.Name == "" {
			continue
		}
		l := row.Owner.listing()
		status, ok := m.ownerListings[l]
		if !ok {
			status.namedAt = now
		}
		listings[l] = status
	}
	m.ownerListings = listings
}

// observe records since when the shard has been vacant or claimed.
func (st *shardState) observe(now time.Time, row *Shard) {
	switch {
	case row.Owner.Name != "":
		st.vacantSince = time.Time{}
	case st.vacantSince.IsZero():
		st.vacantSince = now
	}
	switch {
	case row.Claim == nil:
		st.claimID = ""
	case st.claimID != row.Claim.ID:
		st.claimID, st.claimSeenAt = row.Claim.ID, now
	}
}

// onListRead handles the answer to the entry's own read of the instance list. It
// ignores an answer to a request that was sent before one already answered.
func (m *Machine) onListRead(now time.Time, msg ListReadMsg) {
	if msg.SentAt.Before(m.ownListReadAt) {
		return
	}
	m.ownListReadAt = msg.SentAt
	clear(m.entries)
	for _, in := range msg.Instances {
		if in.Role == sched.RoleEntry {
			m.entries[sched.EntryName(in.Name)] = in
		}
	}
	own, ok := m.entries[m.name]
	ok = ok && (!m.address.IsValid() || own.Control == m.address)
	generation := uint64(0)
	if ok {
		generation = own.Generation
	}
	m.live = ok && own.State == sched.StateLive
	if generation != m.generation {
		m.generation, m.generationAt = generation, now
	}
	m.acceptListing(now, msg.SentAt, generation)
	m.recordAbsences(now, msg.SentAt)
}

// recordAbsences records for each owner's listing when the first list read
// without it arrived. A listing appears in the list before the table names it.
// So a list read that is sent at least the lag of the list after the table named
// the listing shows it, unless it was removed. Earlier reads may predate the
// listing, and the wait of a takeover must not start from them.
func (m *Machine) recordAbsences(now, sentAt time.Time) {
	for l, status := range m.ownerListings {
		switch {
		case m.isListed(l):
			status.absentSince = time.Time{}
		case status.absentSince.IsZero() && !sentAt.Before(status.namedAt.Add(m.listLag)):
			status.absentSince = now
		}
		m.ownerListings[l] = status
	}
}

// isListed reports whether the entry's own latest list read shows a listing.
func (m *Machine) isListed(l listing) bool {
	in, ok := m.entries[l.name]
	return ok && in.Generation == l.generation && (!l.address.IsValid() || in.Control == l.address)
}

// acceptListing records the generation of this entry, 0 if it is not listed,
// from an own or relayed list read. The argument at is when the read was sent.
// A read that is earlier than the latest one or too old to confirm ownership is
// ignored.
func (m *Machine) acceptListing(now, at time.Time, generation uint64) {
	if at.Before(m.listReadAt) || !now.Before(at.Add(ConfirmationAge)) {
		return
	}
	m.listReadAt, m.listedGeneration = at, generation
}

// isOwner reports whether the row names this process as owner.
func (m *Machine) isOwner(row *Shard) bool {
	return row.Owner.Process == m.process && row.Owner.Name == m.name
}

// unlisted reports whether the latest list read, own or relayed, does not show
// this entry or shows it under another generation than the row names.
func (m *Machine) unlisted(row *Shard) bool {
	return !m.listReadAt.IsZero() && m.listedGeneration != row.Owner.Generation
}

// expiry returns when the latest confirmation of a row that names this process
// expires.
func (m *Machine) expiry(row *Shard) time.Time {
	at := m.tableReadAt
	if m.listedGeneration == row.Owner.Generation && m.listReadAt.After(at) {
		at = m.listReadAt
	}
	return at.Add(ConfirmationAge)
}

// stopExpired stops serving the shards whose latest confirmation has expired.
func (m *Machine) stopExpired(now time.Time) {
	for i := range m.table.Shards {
		row := &m.table.Shards[i]
		st := m.shards[row.ID]
		if st.serving() && !now.Before(m.expiry(row)) {
			m.stopServing(row.ID, st, LostExpired)
		}
	}
}

func (st *shardState) serving() bool { return st.held && !st.stopped && !st.yielding }

// stopServing stops a shard until a table read permits serving to resume.
func (m *Machine) stopServing(id sched.ShardID, st *shardState, reason LostReason) {
	st.stopped, st.needRead = true, true
	m.emit(LostCmd{Shard: id, Epoch: st.epoch, Reason: reason})
}

// reconcile updates the state of each shard to match the table and the
// confirmations, and emits a command for each change.
func (m *Machine) reconcile(now time.Time) {
	for i := range m.table.Shards {
		row := &m.table.Shards[i]
		m.reconcileShard(now, row, m.shards[row.ID])
	}
}

func (m *Machine) reconcileShard(now time.Time, row *Shard, st *shardState) {
	owned := m.isOwner(row)
	if st.held && (!owned || row.Epoch != st.epoch) {
		m.endEpoch(row, st)
	}
	if !owned {
		st.yielding, st.releasing = false, false
		return
	}
	switch {
	case st.serving() && row.Claim != nil:
		m.stopServing(row.ID, st, LostClaimed)
	case st.serving() && m.unlisted(row):
		m.stopServing(row.ID, st, LostUnlisted)
	case st.serving() || st.needRead || !m.mayStart(now, row, st):
	case st.held:
		st.stopped = false
		m.emit(ResumedCmd{Shard: row.ID, Epoch: st.epoch})
	default:
		st.held, st.stopped, st.epoch = true, false, row.Epoch
		m.emit(AcquiredCmd{Shard: row.ID, Epoch: row.Epoch})
	}
}

// endEpoch ends the epoch in which the shard was held.
func (m *Machine) endEpoch(row *Shard, st *shardState) {
	reason := LostReplaced
	if st.releasing && row.Owner.Name == "" {
		reason = LostReleased
	}
	m.emit(LostCmd{Shard: row.ID, Epoch: st.epoch, Reason: reason, Final: true})
	st.held, st.stopped, st.needRead = false, false, false
}

// mayStart reports whether serving may start or resume: a table read that was
// sent within ConfirmationAge shows no claim, the shard is not being given up,
// and the list does not contradict the row.
func (m *Machine) mayStart(now time.Time, row *Shard, st *shardState) bool {
	return row.Claim == nil &&
		!st.yielding &&
		!m.unlisted(row) &&
		now.Before(m.tableReadAt.Add(ConfirmationAge))
}

// onRelease marks a shard that the runner reports idle, so that the next write
// releases it.
func (m *Machine) onRelease(id sched.ShardID) {
	i, ok := m.index[id]
	if !ok || !m.isOwner(&m.table.Shards[i]) {
		return
	}
	st := m.shards[id]
	st.yielding, st.releasing = true, true
}
