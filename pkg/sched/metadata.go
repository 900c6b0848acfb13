package sched

import (
	"context"
	"errors"
	"time"
)

// Errors of [Metadata], beside those of [Store].
var (
	// ErrCompacted means that the store no longer has the history that a
	// watch asked for. The caller reads the prefix again.
	ErrCompacted = errors.New("history compacted")
	// ErrNoLease means that the lease has ended. The call did not take effect.
	ErrNoLease = errors.New("no such lease")
)

// LeaseID identifies a lease of the metadata store. Zero is no lease.
type LeaseID int64

// Condition holds if a key has the version; zero: the key does not exist.
type Condition struct {
	Key     string
	Version Version
}

// Write sets a value. A write with a lease is removed when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is applied as a whole if all conditions hold, and not at all otherwise.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Removes    []string
}

// ConflictError tells which values the keys of a refused transaction have. It
// matches [ErrConflict].
type ConflictError struct{ Items []Item }

// Error implements error.
func (*ConflictError) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (*ConflictError) Is(target error) bool { return target == ErrConflict }

// Version returns the current version of a key that a condition named.
func (e *ConflictError) Version(key string) Version {
	for _, i := range e.Items {
		if i.Key == key {
			return i.Version
		}
	}
	return 0
}

// Change is an event of a watch: an item as it was written, or the removal of
// its key.
type Change struct {
	Item
	Removed bool
}

// Metadata is a key-value store with one version counter for all keys,
// transactions, leases and watches on prefixes.
//
// The errors have the meaning that [Store] gives them. A call that fails with
// [ErrLost] may also take effect later, as long as its conditions hold.
type Metadata interface {
	// Get returns the value of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the items under a prefix, and a store version at or before
	// which all of them were current or had not been written yet. A stale
	// read is cheaper and may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) ([]Item, Version, error)
	// Watch waits for changes under a prefix after a version and returns them
	// with the version to continue from.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Change, Version, error)
	// Commit applies a transaction and returns its version. If a condition
	// does not hold, the error is a *ConflictError.
	Commit(ctx context.Context, txn Txn) (Version, error)
	// Grant returns a lease and the time to live that applies.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Keep renews a lease, or fails with ErrNoLease.
	Keep(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
