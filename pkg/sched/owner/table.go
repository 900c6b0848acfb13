package owner

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Key is the store key of the ownership table.
const Key = "Table"

// Table is the ownership table as the store holds it, encoded as JSON.
type Table struct {
	// WriteID is the id of the write that stored this value.
	WriteID string `json:"WriteId"`
	// KeyShards is the number of shards at the start of Shards that
	// idempotency keys and jobs map to. Shards of data centres that are
	// added later only host workers.
	KeyShards int     `json:"KeyShards"`
	Shards    []Shard `json:"Shards"`
}

// Shard is the row of one shard in the table.
type Shard struct {
	ID sched.ShardID `json:"Id"`
	// Owner is empty if the shard was released or never had an owner.
	Owner Holder      `json:"Owner"`
	Epoch sched.Epoch `json:"Epoch"`
	Claim *Claim      `json:"Claim,omitempty"`
}

// Holder identifies the process that owns a shard.
type Holder struct {
	Name       sched.EntryName `json:"Name,omitempty"`
	Generation uint64          `json:"Generation,omitempty"`
	// Process is a random id that distinguishes a restarted process from an
	// earlier one with the same name and generation.
	Process string `json:"Process,omitempty"`
	// Address is the peer address that the process has bound. It is zero if an older
	// build wrote the row or the process does not know its address.
	Address netip.AddrPort `json:"Address,omitzero"`
}

// listing returns the presence in the instance list that confirms the holder.
func (h *Holder) listing() listing { return listing{h.Name, h.Generation, h.Address} }

// Claim announces a takeover. The owner stops serving when it reads a table with
// a claim.
type Claim struct {
	Claimant   sched.EntryName `json:"Claimant"`
	Generation uint64          `json:"Generation"`
	// Epoch is the epoch that starts when the claim is completed.
	Epoch sched.Epoch `json:"Epoch"`
	ID    string      `json:"Id"`
}

// ErrTable means that a stored table cannot be used.
var ErrTable = errors.New("ownership table is malformed")

// NewTable returns a table without owners.
func NewTable(dcs []sched.DataCentre, shardsPerDataCentre int) Table {
	layout := sched.NewLayout(dcs, shardsPerDataCentre)
	t := Table{KeyShards: len(layout)}
	t.appendShards(layout)
	return t
}

// ParseTable decodes a stored table and checks that each shard appears once.
func ParseTable(b []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(b, &t); err != nil {
		return Table{}, errors.Join(ErrTable, err)
	}
	if t.KeyShards < 1 || t.KeyShards > len(t.Shards) {
		return Table{}, fmt.Errorf("%w: KeyShards %d of %d shards", ErrTable, t.KeyShards, len(t.Shards))
	}
	seen := make(map[sched.ShardID]bool, len(t.Shards))
	for _, s := range t.Shards {
		if seen[s.ID] {
			return Table{}, fmt.Errorf("%w: shard %s appears twice", ErrTable, s.ID)
		}
		seen[s.ID] = true
	}
	return t, nil
}

// Encode returns the table as the store holds it.
func (t Table) Encode() []byte {
	b, err := json.Marshal(t)
	if err != nil {
		// Every field is a string or a number, so encoding cannot fail.
		panic(err)
	}
	return b
}

// Layout returns the shards in table order.
func (t Table) Layout() sched.Layout {
	l := make(sched.Layout, len(t.Shards))
	for i, s := range t.Shards {
		l[i] = s.ID
	}
	return l
}

// appendShards appends shards without an owner.
func (t *Table) appendShards(layout sched.Layout) {
	for _, id := range layout {
		t.Shards = append(t.Shards, Shard{ID: id})
	}
}

// clone returns a copy whose rows can be edited. The copies share their claims,
// because a claim is replaced and never changed in place.
func (t Table) clone() Table {
	t.Shards = slices.Clone(t.Shards)
	return t
}

// counts returns the number of shards that each entry owns.
func (t Table) counts() map[sched.EntryName]int {
	n := make(map[sched.EntryName]int)
	for _, s := range t.Shards {
		if s.Owner.Name != "" {
			n[s.Owner.Name]++
		}
	}
	return n
}

// hasDataCentre reports whether the table has a shard of the data centre.
func (t Table) hasDataCentre(dc sched.DataCentre) bool {
	return slices.ContainsFunc(t.Shards, func(s Shard) bool { return s.ID.DataCentre == dc })
}
