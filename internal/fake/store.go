package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
	"golang.org/x/time/rate"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// storeWrites and storeReads are the default rate limits per second. The
	// platform's store handles several hundred writes and about two thousand
	// reads per second.
	storeWrites = 300
	storeReads  = 2000
	// maxValue is the size limit of a value in bytes.
	maxValue = 1 << 20
	// maxWatch limits the duration of one long poll.
	maxWatch = time.Minute
	// configPrefix is the prefix of the keys whose writes are recorded.
	configPrefix = "Config/"
)

// StoreFaults are the faults that the store injects.
type StoreFaults struct {
	// Outage makes every call fail with status 503.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseNext drops the connection, instead of responding, after each of
	// the next LoseNext writes has been applied. LoseEvery does so after
	// every n-th write.
	LoseNext, LoseEvery int
	// SilentWatch makes watches respond as if no key ever changed.
	SilentWatch bool
	// WritesPerSecond and ReadsPerSecond replace the rate limits if positive.
	WritesPerSecond, ReadsPerSecond float64
}

// StoreCounts counts the calls that the store received, by kind.
type StoreCounts struct {
	Gets, Lists, Puts, Deletes, Watches int
	// Conflicts counts writes whose compare-and-swap failed.
	Conflicts int
	// Limited counts calls refused by the rate limit, Outages those refused
	// because of an outage. Lost counts writes that were applied but whose
	// response was dropped.
	Limited, Outages, Lost int
}

// ConfigWrite is one write to a configuration key.
type ConfigWrite struct {
	Key     string
	Value   []byte
	Version sched.Version
	At      time.Time
}

// StoreRecords is what the store has recorded.
type StoreRecords struct {
	Counts       StoreCounts
	ConfigWrites []ConfigWrite
}

// Store is the stand-in for the key-value store.
type Store struct {
	mux *goji.Mux
	now Clock

	mu            sync.Mutex
	items         map[string]sched.Item
	lastVersion   sched.Version
	changed       chan struct{}
	faults        StoreFaults
	counts        StoreCounts
	configWrites  []ConfigWrite
	writes        *rate.Limiter
	reads         *rate.Limiter
	appliedWrites int
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		mux:     goji.NewMux(),
		now:     time.Now,
		items:   make(map[string]sched.Item),
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(storeWrites, storeWrites),
		reads:   rate.NewLimiter(storeReads, storeReads),
	}
	s.mux.HandleFunc(pat.Get("/kv"), s.list)
	s.mux.HandleFunc(pat.Get("/kv/:key"), s.get)
	s.mux.HandleFunc(pat.Put("/kv/:key"), s.put)
	s.mux.HandleFunc(pat.Delete("/kv/:key"), s.delete)
	s.mux.HandleFunc(pat.Get("/watch"), s.watch)
	s.mux.HandleFunc(pat.Put("/fake/faults"), s.putFaults)
	s.mux.HandleFunc(pat.Get("/fake/records"), s.getRecords)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Serve serves the store on ln until ctx ends.
func (s *Store) Serve(ctx context.Context, ln net.Listener) error {
	return serve(ctx, ln, &http.Server{Handler: s})
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	setRate(s.writes, f.WritesPerSecond, storeWrites)
	setRate(s.reads, f.ReadsPerSecond, storeReads)
}

func setRate(l *rate.Limiter, perSecond, normal float64) {
	if perSecond <= 0 {
		perSecond = normal
	}
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(max(int(perSecond), 1))
}

// Records returns what the store has recorded so far.
func (s *Store) Records() StoreRecords {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreRecords{Counts: s.counts, ConfigWrites: append([]ConfigWrite(nil), s.configWrites...)}
}

func (s *Store) putFaults(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if readJSON(w, r, &f) {
		s.SetFaults(f)
	}
}

func (s *Store) getRecords(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Records()) }
