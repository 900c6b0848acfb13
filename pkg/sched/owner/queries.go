package owner

import (
	"net/netip"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Serving reports whether an effect of the shard may start now: a request, a
// grant, a task start or a lease renewal. It does not allocate memory. The
// runner must also wait for the recovery that AcquiredCmd started.
func (m *Machine) Serving(now time.Time, shard sched.ShardID) bool {
	i, ok := m.index[shard]
	if !ok || !m.shards[shard].serving() {
		return false
	}
	return now.Before(m.expiry(&m.table.Shards[i]))
}

// ServeUntil returns the time from which no effect of the shard may start. It
// returns the zero time if the entry does not serve the shard.
func (m *Machine) ServeUntil(shard sched.ShardID) time.Time {
	i, ok := m.index[shard]
	if !ok || !m.shards[shard].serving() {
		return time.Time{}
	}
	return m.expiry(&m.table.Shards[i])
}

// ServedShards returns the shards that the entry serves now, in table order.
func (m *Machine) ServedShards(now time.Time) []sched.ShardID {
	var served []sched.ShardID
	for i := range m.table.Shards {
		if id := m.table.Shards[i].ID; m.Serving(now, id) {
			served = append(served, id)
		}
	}
	return served
}

// AssignedShards returns the shards that this process owns in the table as last
// read, whether it serves them or not. A graceful shutdown is complete when there
// are none.
func (m *Machine) AssignedShards() []sched.ShardID {
	var assigned []sched.ShardID
	for i := range m.table.Shards {
		if row := &m.table.Shards[i]; m.isOwner(row) {
			assigned = append(assigned, row.ID)
		}
	}
	return assigned
}

// OwnerOf returns the owner of the shard in the table as last read. It reports
// false if the shard has none.
func (m *Machine) OwnerOf(shard sched.ShardID) (sched.EntryName, bool) {
	i, ok := m.index[shard]
	if !ok || m.table.Shards[i].Owner.Name == "" {
		return "", false
	}
	return m.table.Shards[i].Owner.Name, true
}

// Epoch returns the epoch of the shard in the table as last read.
func (m *Machine) Epoch(shard sched.ShardID) sched.Epoch {
	i, ok := m.index[shard]
	if !ok {
		return 0
	}
	return m.table.Shards[i].Epoch
}

// Layout returns all shards in table order. It is empty before the first table
// read.
func (m *Machine) Layout() sched.Layout { return m.table.Layout() }

// KeyShard returns the shard that an idempotency key or a job maps to. It
// reports false before the first table read.
func (m *Machine) KeyShard(name string) (sched.ShardID, bool) {
	if m.table.KeyShards == 0 {
		return sched.ShardID{}, false
	}
	return m.keyLayout.ShardOf(name), true
}

// LastTable returns the table as last read, its version, and the send time
// of the latest request that confirmed it. Heartbeats relay them to peers.
func (m *Machine) LastTable() (value []byte, version sched.Version, sentAt time.Time) {
	if m.version == 0 {
		return nil, 0, time.Time{}
	}
	return m.table.Encode(), m.version, m.tableReadAt
}

// ListedGeneration returns the generation under which the entry's own latest
// list read shows a peer, and the send time of that read. The generation is 0
// if the list does not show the peer, or shows it at another address than the one
// given: another process has replaced it then. A peer of an older build gives no
// address.
func (m *Machine) ListedGeneration(peer sched.EntryName, address netip.AddrPort) (generation uint64, sentAt time.Time) {
	in := m.entries[peer]
	if address.IsValid() && in.Control != address {
		return 0, m.ownListReadAt
	}
	return in.Generation, m.ownListReadAt
}
