package owner

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// plan returns the table with all changes that are due now. It reports false if
// there are none.
func (m *Machine) plan(now time.Time) (Table, bool) {
	next := m.table.clone()
	counts := next.counts()
	changed := false
	for i := range next.Shards {
		row := &next.Shards[i]
		if m.planRow(now, row, m.shards[row.ID], counts) {
			changed = true
		}
	}
	return next, m.addMissingDataCentres(now, &next) || changed
}

// planRow edits one row if a change is due, and reports whether it did.
func (m *Machine) planRow(now time.Time, row *Shard, st *shardState, counts map[sched.EntryName]int) bool {
	owned := m.isOwner(row)
	switch {
	case owned && st.releasing:
		row.Owner, row.Claim = Holder{}, nil
		return true
	case !m.eligible(now) || (owned && st.yielding):
		return false
	case owned && row.Owner.Generation == m.generation:
		return m.clearClaim(row, st, now)
	case owned:
		// The row has an earlier generation of this process. The process
		// stopped serving when its listing changed, and no other process
		// serves under this epoch. The wait prevents a lagging replica of
		// the list from moving the generation back and forth.
		return !now.Before(m.generationAt.Add(m.listLag)) && m.assignToSelf(row, counts)
	case m.isSuccessor(row):
		return m.assignToSelf(row, counts)
	case row.Owner.Name == "":
		wait := m.rankWait(row, counts) + m.vacantWait(row, counts)
		return !now.Before(st.vacantSince.Add(wait)) && m.assignToSelf(row, counts)
	default:
		return m.planTakeover(now, row, st, counts)
	}
}

// eligible reports whether the entry may take or claim shards: it is not
// shutting down, and a recent list read of its own shows it live.
func (m *Machine) eligible(now time.Time) bool {
	return !m.draining && m.live && now.Before(m.ownListReadAt.Add(ConfirmationAge))
}

// isSuccessor reports whether this process replaces the owner, an earlier
// process with the same listing. The earlier process is dead, because this one
// has bound its address. A row of an older build has no address. There the listed
// address counts, which this process has bound.
func (m *Machine) isSuccessor(row *Shard) bool {
	return m.address.IsValid() &&
		row.Owner.Name == m.name &&
		row.Owner.Generation == m.generation &&
		(row.Owner.Address == m.address || !row.Owner.Address.IsValid()) &&
		row.Owner.Process != m.process
}

// assignToSelf makes this process the owner in the row, under the next epoch.
func (m *Machine) assignToSelf(row *Shard, counts map[sched.EntryName]int) bool {
	row.Owner = Holder{Name: m.name, Generation: m.generation, Process: m.process, Address: m.address}
	row.Epoch++
	row.Claim = nil
	counts[m.name]++
	return true
}

// planTakeover plans the next change to a shard that another entry owns. If
// the owner's listing is absent, it writes a claim and later completes it. If
// the listing is present again, it withdraws its own claim.
func (m *Machine) planTakeover(now time.Time, row *Shard, st *shardState, counts map[sched.EntryName]int) bool {
	l := row.Owner.listing()
	ownClaim := row.Claim != nil && m.isOwnClaim(row.Claim)
	since := m.ownerListings[l].absentSince
	if since.IsZero() {
		if ownClaim && m.isListed(l) {
			row.Claim = nil
			return true
		}
		return false
	}
	if ownClaim {
		return m.takeoverWaitOver(now, since, st) && m.assignToSelf(row, counts)
	}
	if row.Claim != nil && !m.claimReplaceable(now, row.Claim, st) {
		return false
	}
	if now.Before(since.Add(m.rankWait(row, counts))) {
		return false
	}
	row.Claim = &Claim{Claimant: m.name, Generation: m.generation, Epoch: row.Epoch + 1, ID: m.nextID()}
	counts[m.name]++
	return true
}

// takeoverWaitOver reports whether every confirmation that an absent owner may
// still have has expired, from the list as well as from the table.
func (m *Machine) takeoverWaitOver(now, since time.Time, st *shardState) bool {
	listExpired := since.Add(m.listLag + ConfirmationAge + Margin)
	tableExpired := st.claimSeenAt.Add(ConfirmationAge + Margin)
	return !now.Before(listExpired) && !now.Before(tableExpired)
}

// isOwnClaim reports whether this process wrote the claim.
func (m *Machine) isOwnClaim(c *Claim) bool {
	return strings.HasPrefix(c.ID, m.process+".")
}

// claimReplaceable reports whether the claim of another process may be
// replaced: its claimant is no longer listed, is an earlier process of this
// entry, or does not complete the claim in time.
func (m *Machine) claimReplaceable(now time.Time, c *Claim, st *shardState) bool {
	in, ok := m.entries[c.Claimant]
	alive := ok && in.Generation == c.Generation && c.Claimant != m.name
	if alive {
		return !now.Before(st.claimSeenAt.Add(claimTimeout))
	}
	// A claimant that was listed a moment ago may not be visible yet.
	return !now.Before(st.claimSeenAt.Add(m.listLag))
}

// clearClaim removes a claim on a shard of this process, which is still listed.
// The compare-and-swap with which the claimant completes the claim then fails.
// A claim is kept until it is older than the lag of the list and a list read
// that was sent after the claim was seen still shows this entry.
func (m *Machine) clearClaim(row *Shard, st *shardState, now time.Time) bool {
	if row.Claim == nil || now.Before(st.claimSeenAt.Add(m.listLag)) || m.ownListReadAt.Before(st.claimSeenAt) {
		return false
	}
	row.Claim = nil
	return true
}

// vacantWait returns how long to leave a vacant shard to other entries. While a
// shard is vacant, at least one entry is below its fair share. An entry that
// has its share waits, because that other entry may see the vacancy only at its
// next table read. A shard that never had an owner is left to entries of its
// data centre, which may not be listed yet.
func (m *Machine) vacantWait(row *Shard, counts map[sched.EntryName]int) time.Duration {
	switch {
	case counts[m.name] >= m.fairShare():
		return tableInterval + listStale
	case row.Epoch == 0 && row.ID.DataCentre != m.dataCentre:
		return 2 * m.listLag
	default:
		return 0
	}
}

// rankWait returns how long this entry waits so that the entries that come
// before it can take the shard first.
func (m *Machine) rankWait(row *Shard, counts map[sched.EntryName]int) time.Duration {
	return time.Duration(m.rank(row, counts)) * rankDelay
}

// rank returns how many live entries come before this one as candidates for a
// shard. Entries below their fair share come first. Among equals, entries of
// the shard's data centre come first, ordered by name, and then the others,
// ordered by a hash of the entry and the shard.
func (m *Machine) rank(row *Shard, counts map[sched.EntryName]int) int {
	fair := m.fairShare()
	own := candidate{name: m.name, atFairShare: counts[m.name] >= fair, remote: m.dataCentre != row.ID.DataCentre}
	rank := 0
	for name, in := range m.entries {
		if name == m.name || !m.mayTakeShards(name, in) {
			continue
		}
		other := candidate{name: name, atFairShare: counts[name] >= fair, remote: in.DataCentre != row.ID.DataCentre}
		if other.before(own, row.ID) {
			rank++
		}
	}
	return rank
}

// mayTakeShards reports whether an entry is a candidate for shards. It affects
// only which entry takes a shard first. The stop rule and the takeover rule do
// not depend on it.
func (m *Machine) mayTakeShards(name sched.EntryName, in sched.Instance) bool {
	return in.State == sched.StateLive && !m.stoppingPeers[name]
}

// recordStopping records whether a peer is shutting down. A new process with
// the same name clears the record, because it reports that it is not.
func (m *Machine) recordStopping(msg RelayedMsg) {
	if msg.Stopping {
		m.stoppingPeers[msg.Peer] = true
		return
	}
	delete(m.stoppingPeers, msg.Peer)
}

// fairShare returns the number of shards divided by the number of live entries,
// rounded up.
func (m *Machine) fairShare() int {
	live := 0
	for name, in := range m.entries {
		if m.mayTakeShards(name, in) {
			live++
		}
	}
	live = max(live, 1)
	return (len(m.table.Shards) + live - 1) / live
}

// candidate is an entry that may take a shard.
type candidate struct {
	name sched.EntryName
	// atFairShare is set if the entry owns its fair share of shards or more.
	atFairShare bool
	// remote is set if the entry is in another data centre than the shard.
	remote bool
}

// before reports whether c comes before o as candidate for a shard.
func (c candidate) before(o candidate, id sched.ShardID) bool {
	switch {
	case c.atFairShare != o.atFairShare:
		return !c.atFairShare
	case c.remote != o.remote:
		return !c.remote
	case c.remote:
		return c.hash(id) < o.hash(id)
	default:
		return c.name < o.name
	}
}

func (c candidate) hash(id sched.ShardID) uint64 {
	return xxhash.Sum64String(string(c.name) + "\x00" + id.String())
}

// addMissingDataCentres appends the shards of data centres that the table
// lacks. Only the live entry with the lowest name does so.
func (m *Machine) addMissingDataCentres(now time.Time, t *Table) bool {
	if !m.eligible(now) {
		return false
	}
	for name, in := range m.entries {
		if in.State == sched.StateLive && name < m.name {
			return false
		}
	}
	changed := false
	for _, dc := range m.dataCentres {
		if m.perDataCentre > 0 && !t.hasDataCentre(dc) {
			t.appendShards(sched.NewLayout([]sched.DataCentre{dc}, m.perDataCentre))
			changed = true
		}
	}
	return changed
}
