package commit

import "time"

// Defaults and limits.
const (
	// DefaultInterval permits 22 writes/s, for an entry that owns one shard: an
	// entry has 25 writes/s, of which 3 are reserved for ownership.
	DefaultInterval = time.Second / 22
	// DefaultMaxWait is the maximum time that an append waits for the store.
	DefaultMaxWait = 2 * time.Second
	// DefaultQueueBytes and DefaultQueueCount limit the queued appends.
	DefaultQueueBytes = 8 << 20
	DefaultQueueCount = 1 << 16
	// BatchBytes limits the records of one value. With the envelope the value
	// stays below 900 KB; the store accepts values of up to a megabyte.
	BatchBytes = 880_000

	// snapshotAfter is the number of batches after the latest snapshot at
	// which the next snapshot begins. The other half of the ring is left for
	// the batches that are written meanwhile.
	snapshotAfter = RingSize / 2
	// fenceReserve is the number of ring slots reserved for the empty batches
	// with which later owners fence earlier ones. It permits that many
	// takeovers before a snapshot is complete.
	fenceReserve = 8

	// Bounds of the delay before a write or read is retried.
	backoffMin = 20 * time.Millisecond
	backoffMax = 500 * time.Millisecond
)

// Option configures a [Machine].
type Option func(*Machine)

// WithInterval sets the minimum interval between writes while appends are
// queued.
func WithInterval(d time.Duration) Option {
	return func(m *Machine) { m.interval = d }
}

// WithMaxWait sets the maximum time that an append waits before it fails.
func WithMaxWait(d time.Duration) Option {
	return func(m *Machine) { m.maxWait = d }
}

// WithBatchBytes limits the bytes of records in one value.
func WithBatchBytes(n int) Option {
	return func(m *Machine) { m.maxBatchBytes = n }
}

// WithQueue limits the queued appends by bytes and by number.
func WithQueue(bytes, count int) Option {
	return func(m *Machine) { m.maxQueueBytes, m.maxQueueCount = bytes, count }
}
