package owner

import (
	"time"
)

// balance starts the handover of one shard if this entry owns at least two more
// shards than the live entry with the fewest. Only the entry with the most
// shards does so, and only while no other shard changes its owner.
func (m *Machine) balance(now time.Time) {
	if !m.eligible(now) || now.Before(m.handedOverAt.Add(handoverInterval)) || m.ownershipChanging() {
		return
	}
	counts := m.table.counts()
	own := counts[m.name]
	least := own
	for name, in := range m.entries {
		if !m.mayTakeShards(name, in) {
			continue
		}
		n := counts[name]
		if n > own || (n == own && name < m.name) {
			return
		}
		least = min(least, n)
	}
	if own < least+2 {
		return
	}
	row := m.shardToHandOver()
	if row == nil {
		return
	}
	m.handedOverAt = now
	st := m.shards[row.ID]
	st.yielding = true
	m.emit(LostCmd{Shard: row.ID, Epoch: st.epoch, Reason: LostHandover})
}

// ownershipChanging reports whether any shard is vacant, claimed or being given
// up by this entry.
func (m *Machine) ownershipChanging() bool {
	for i := range m.table.Shards {
		row := &m.table.Shards[i]
		if row.Owner.Name == "" || row.Claim != nil || m.shards[row.ID].yielding {
			return true
		}
	}
	return false
}

// shardToHandOver returns the last served shard of another data centre. If there
// is none, it returns the last served shard, or nil if no shard is served.
func (m *Machine) shardToHandOver() *Shard {
	var found *Shard
	for i := range m.table.Shards {
		row := &m.table.Shards[i]
		if !m.shards[row.ID].serving() {
			continue
		}
		if found == nil || row.ID.DataCentre != m.dataCentre || found.ID.DataCentre == m.dataCentre {
			found = row
		}
	}
	return found
}
