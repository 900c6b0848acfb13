package owner

import (
	"net/netip"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Durations of the stop rule and the takeover rule. All entries of a deployment
// must use the same values.
const (
	// ConfirmationAge is how long a read of the table or the list confirms
	// ownership, counted from when its request was sent.
	ConfirmationAge = 1250 * time.Millisecond
	// Margin is a safety margin that a claimant adds to its waits. It covers
	// effects of the previous owner that are still in transit, and
	// differences between clock rates.
	Margin = 250 * time.Millisecond
	// ListLag is the platform's stated upper bound on how old an answer of
	// the instance list may be.
	ListLag = time.Second
)

// Intervals and delays of reads and writes.
const (
	// tableInterval is the time between table reads in normal operation. Six
	// entries together then send three reads a second.
	tableInterval = 2 * time.Second
	// tableIntervalStale is the time between table reads while only they
	// confirm ownership. It leaves time for three reads within ConfirmationAge.
	tableIntervalStale = 400 * time.Millisecond
	// listStale is the age of the latest list read from which the table is
	// read more often. That is three missed polls of the list.
	listStale = 750 * time.Millisecond
	// readTimeout is how long an unanswered read delays the next one.
	readTimeout = time.Second
	// rankDelay is the time between the attempts of two consecutive
	// candidates for a shard. It is longer than a usual write to the store.
	rankDelay = 200 * time.Millisecond
	// claimTimeout is how long a live claimant has to complete its claim
	// before another entry may replace it. It is longer than the longest
	// regular takeover, which takes 4 s.
	claimTimeout = 10 * time.Second
	// handoverInterval is the shortest time between two handovers that
	// balance starts.
	handoverInterval = 30 * time.Second
	// backoffMin and backoffMax bound the delay after a failed write.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// Option configures a Machine.
type Option func(*Machine)

// WithDataCentre sets the entry's own data centre. The entry prefers the shards
// of this data centre.
func WithDataCentre(dc sched.DataCentre) Option {
	return func(m *Machine) { m.dataCentre = dc }
}

// WithAddress sets the peer address that the runner has bound and keeps bound
// until the process ends. The entry recognizes its own listing by this address.
// It may take over without a wait from an earlier process that was listed under
// the same name, generation and address. Without an address, the entry
// recognizes its listing by name alone, and every takeover waits.
func WithAddress(a netip.AddrPort) Option {
	return func(m *Machine) { m.address = a }
}

// WithLayout sets the data centres and the number of shards in each. The entry
// creates the table from them if the store has none, and appends the data
// centres that the table lacks.
func WithLayout(dcs []sched.DataCentre, shardsPerDataCentre int) Option {
	return func(m *Machine) { m.dataCentres, m.perDataCentre = dcs, shardsPerDataCentre }
}

// WithListLag sets the upper bound on the lag of the instance list. The default
// is [ListLag].
func WithListLag(d time.Duration) Option {
	return func(m *Machine) { m.listLag = d }
}

// WithSeed seeds the jitter of backoffs.
func WithSeed(seed uint64) Option {
	return func(m *Machine) { m.seed = seed }
}
