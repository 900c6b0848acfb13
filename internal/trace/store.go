package trace

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// Store is a key-value store in memory that can lose responses.
type Store struct {
	t               *Trace
	items           map[string]sched.Item
	watchers        map[string][]func(sched.Item)
	responsesToLose int
}

// NewStore returns an empty store.
func NewStore(t *Trace) *Store {
	return &Store{t: t, items: map[string]sched.Item{}, watchers: map[string][]func(sched.Item){}}
}

// Watch calls changed with each new value of a key.
func (s *Store) Watch(key string, changed func(sched.Item)) {
	s.watchers[key] = append(s.watchers[key], changed)
}

// LoseNextResponse makes the next write take effect and report [sched.ErrLost],
// as if its response were lost.
func (s *Store) LoseNextResponse() {
	s.t.Record("Store", "LoseNextAnswer", nil)
	s.responsesToLose++
}

// Put writes a value by compare-and-swap with the version prev. The write
// happens after the latency of the call, and done is called after the latency
// of the response.
func (s *Store) Put(key string, value []byte, prev sched.Version, done func(sched.Version, error)) {
	s.t.After(latency, func() {
		version, err := s.put(key, value, prev)
		if err == nil && s.responsesToLose > 0 {
			s.responsesToLose--
			version, err = 0, sched.ErrLost
		}
		s.t.After(latency, func() { done(version, err) })
	})
}

func (s *Store) put(key string, value []byte, prev sched.Version) (sched.Version, error) {
	if s.items[key].Version != prev {
		return 0, sched.ErrConflict
	}
	it := sched.Item{Key: key, Value: value, Version: prev + 1}
	s.items[key] = it
	s.recordShared(it)
	for _, changed := range s.watchers[key] {
		changed(it)
	}
	return it.Version, nil
}

// recordShared records in the transcript a value that all entries read: the
// ownership table or the current configuration.
func (s *Store) recordShared(it sched.Item) {
	switch it.Key {
	case owner.Key:
		s.t.Record("Store", "Table"+tableLine(it.Value), nil)
	case config.CurrentKey:
		if v, err := config.DecodeStored(it.Value); err == nil {
			v.Text, v.Time = "", time.Time{}
			s.t.Record("Store", it.Key, v)
		}
	}
}

// tableLine formats the owner, epoch and claim of each shard in the ownership
// table.
func tableLine(value []byte) string {
	table, err := owner.ParseTable(value)
	if err != nil {
		return " " + err.Error()
	}
	var b strings.Builder
	for _, row := range table.Shards {
		fmt.Fprintf(&b, " %s=%s@%d", row.ID, row.Owner.Name, row.Epoch)
		if row.Claim != nil {
			fmt.Fprintf(&b, ",Claim=%s@%d", row.Claim.Claimant, row.Claim.Epoch)
		}
	}
	return b.String()
}

// Get reads a value after the latency of the call, and calls done after the
// latency of the response.
func (s *Store) Get(key string, done func(sched.Item, error)) {
	s.t.After(latency, func() {
		it, ok := s.items[key]
		var err error
		if !ok {
			err = sched.ErrNotFound
		}
		s.t.After(latency, func() { done(it, err) })
	})
}

// List returns all items whose key has the prefix, sorted by key, without
// latency.
func (s *Store) List(prefix string) []sched.Item {
	var out []sched.Item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b sched.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}
