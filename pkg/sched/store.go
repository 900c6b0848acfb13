package sched

import (
	"context"
	"time"
)

// Version is the version of a value in the store. Zero means that the key
// does not exist.
type Version uint64

// Item is a value in the store.
type Item struct {
	Key     string
	Value   []byte
	Version Version
}

// Store is the platform's key-value service. A value has at most a megabyte.
// Every call, including a waiting watch, counts against the shared rate limit.
//
// A call that fails with [ErrUnavailable], [ErrBudget], [ErrConflict] or
// [ErrNotFound] did not take effect. After any other error of Put and Delete,
// in particular [ErrLost], the effect is unknown, and the caller has to read
// the key to find out.
type Store interface {
	// Get returns the value of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the values of all keys with a prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Put writes a value if the key's version is prev (0: the key does not
	// exist) and returns the new version.
	Put(ctx context.Context, key string, value []byte, prev Version) (Version, error)
	// Delete removes a key if its version is prev.
	Delete(ctx context.Context, key string, prev Version) error
	// Watch waits until the key's version is higher than after and returns
	// the item, or ErrNotFound if wait passes without a change.
	Watch(ctx context.Context, key string, after Version, wait time.Duration) (Item, error)
}
