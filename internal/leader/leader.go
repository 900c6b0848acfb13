// Package leader elects one entry to run the workflows of a deployment, and
// runs the state machine of package flow on it.
//
// The leader holds a key of the metadata store under a lease. The transaction
// that takes the key also increments the number of the term. A leader writes
// every record on the condition that the term is unchanged, and sends the term
// as the fencing token of every order to a worker. Two entries that both believe
// they lead therefore do no harm: the older one is rejected by the store and by
// every worker that the newer one has contacted.
//
// # Usage
//
//	l := leader.New(settings, store, orders, leader.WithLogger(log))
//	tomb.Go(func() error { return l.Run(ctx) })
//	l.SetFleet(fleet)
//	state, known, leads := l.State(id)
package leader

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/mangoslip/mangoslip/internal/clock"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/logger"
	"github.com/mangoslip/mangoslip/internal/stats"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

const (
	// defaultTTL is the time to live of the leader's key. It bounds the time
	// from a crash to the next term.
	defaultTTL = 1500 * time.Millisecond
	// renewInterval is the interval between renewals of the leader's lease.
	renewInterval = 400 * time.Millisecond
	// maxConfirmationAge is the age of the store's last confirmation of the term
	// beyond which the leader reads the term again.
	maxConfirmationAge = 900 * time.Millisecond
	// membersInterval is the interval between reads of the register of workers.
	membersInterval = 700 * time.Millisecond
	// tickInterval is the interval between ticks of the state machine.
	tickInterval = 50 * time.Millisecond
	// watchWait bounds one watch call of the leader's key, so that a connection on
	// which nothing arrives any more is noticed. workWatchWait does so for the jobs
	// and cancellations. It is shorter because tasks are started only if these were
	// read a short time ago.
	watchWait     = 3 * time.Second
	workWatchWait = 400 * time.Millisecond
	// overdueWorkAge is the age of the last complete read of the jobs and
	// cancellations beyond which the next watch does not wait for a change.
	// Beyond peerCheckAge the leader asks other entries, at intervals of
	// peerCheckInterval, whether the store answers them.
	overdueWorkAge    = 3 * workWatchWait / 2
	peerCheckAge      = 3 * workWatchWait
	peerCheckInterval = 300 * time.Millisecond
	// retryPause is the first pause after a failed call, retryMaxPause the
	// longest, and retryJitter the random fraction of a pause.
	retryPause    = 150 * time.Millisecond
	retryMaxPause = 700 * time.Millisecond
	retryJitter   = 0.3
	// orderTimeout is the timeout of an order while answers are quick. The state
	// machine sets that of a worker's lease renewal.
	orderTimeout = 300 * time.Millisecond
	// maxDirectOrders bounds the orders in flight that the leader sends itself,
	// and maxDispatchedOrders those that it sends through dispatchers on other
	// entries.
	maxDirectOrders     = 12
	maxDispatchedOrders = 512
)

// Settings holds the settings of a [Leader].
type Settings struct {
	Name sched.EntryName
	// Addr is the address at which other entries reach this one.
	Addr netip.AddrPort
	// Processors is the processor time that the entry may use, in cores.
	Processors float64
	// MembersPrefix is the key prefix of the register of workers.
	// DecodeMembers decodes the register and returns an error by key for each
	// item that does not describe a worker.
	MembersPrefix string
	DecodeMembers func([]sched.Item) ([]sched.Member, map[string]error)
	// EvacuationsPrefix is the prefix of the keys that evacuate data centres; empty:
	// there are none, and none are read. DecodeEvacuations decodes the keys and returns
	// an error by key for each that names no data centre.
	EvacuationsPrefix string
	DecodeEvacuations func([]sched.Item) ([]sched.DataCentre, map[string]error)
	// MachineOptions holds the options of the state machine.
	MachineOptions []flow.Option
}

// Leader takes part in the election, and runs the state machine while this entry
// leads. It is safe for concurrent use.
type Leader struct {
	Settings
	store         sched.MetadataStore
	orders        sched.Orders
	log           *slog.Logger
	stats         *stats.Stats
	ttl           time.Duration
	announce      func(layout.Leader)
	newDispatcher func(ctx context.Context, term uint64) sched.Orders
	adviser       sched.Adviser
	// reachable reports whether another entry answers and can reach the store.
	reachable func(ctx context.Context, e layout.Entry) bool
	askPeers  AskPeers
	now       func() time.Time

	// leaderLearned holds a value if a newer leader was learned of since it was last
	// emptied.
	leaderLearned chan struct{}
	// damagedEntries holds the keys of entries that were logged as damaged.
	damagedEntries logger.Once

	mu          sync.Mutex
	knownLeader layout.Leader
	fleet       *sched.FleetConfig
	term        *term
	resigned    bool
	// campaignsPausedUntil is until when the entry does not campaign.
	campaignsPausedUntil time.Time
	// jobPanics counts the panics of the state machine by the job that it got.
	jobPanics map[sched.JobID]int
}

// Option changes a setting of a [Leader].
type Option func(*Leader)

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(x *Leader) { x.log = l } }

// WithStats sets the metrics that the leader updates.
func WithStats(s *stats.Stats) Option { return func(x *Leader) { x.stats = s } }

// WithTTL sets the time to live of the leader's key; the default is 1.5 s.
func WithTTL(d time.Duration) Option { return func(x *Leader) { x.ttl = d } }

// WithDispatchers sets a function that is called for each term. The value that it
// returns sends the orders of that term to the workers until ctx ends. By
// default the leader sends them directly.
func WithDispatchers(f func(ctx context.Context, term uint64) sched.Orders) Option {
	return func(x *Leader) { x.newDispatcher = f }
}

// WithAdviser sets the adviser, which says which workers may run the steps of
// advised queues. Without an adviser these steps wait.
func WithAdviser(a sched.Adviser) Option { return func(x *Leader) { x.adviser = a } }

// WithReachable sets the function that finds out whether another entry answers and
// can reach the store. Without it an entry with little processor time does not
// transfer leadership to a stronger one.
func WithReachable(f func(ctx context.Context, e layout.Entry) bool) Option {
	return func(x *Leader) { x.reachable = f }
}

// AskPeers asks other entries how long ago the store last answered them, and calls
// report with each answer that tells. It returns whether at least half of them told
// something about the store, or there is no other entry. If fewer do, the asking entry
// itself may be cut off.
type AskPeers func(ctx context.Context, report func(since time.Duration)) bool

// WithAskPeers sets the function that asks other entries about the store. Without it
// a leader that is cut off from the store takes the store to be down for all entries.
func WithAskPeers(f AskPeers) Option { return func(x *Leader) { x.askPeers = f } }

// WithClock sets the function that returns the current time; the default is
// [clock.Now]. The time has to advance while the process does not run.
func WithClock(now func() time.Time) Option { return func(x *Leader) { x.now = now } }

// WithAnnouncer sets a function that is called when this entry begins to lead.
func WithAnnouncer(f func(layout.Leader)) Option { return func(x *Leader) { x.announce = f } }

// New returns a leader that takes no part in the election until Run is called.
func New(s Settings, store sched.MetadataStore, orders sched.Orders, opts ...Option) *Leader {
	l := &Leader{
		Settings: s, store: store, orders: orders, log: slog.New(slog.DiscardHandler),
		stats: stats.New(), ttl: defaultTTL, announce: func(layout.Leader) {},
		reachable: func(context.Context, layout.Entry) bool { return false },
		askPeers:  func(context.Context, func(time.Duration)) bool { return true }, now: clock.Now,
		leaderLearned: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Run takes part in the election until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		input, outage := l.follow(ctx)
		if ctx.Err() != nil || !l.mayCampaign() {
			pause(ctx, retryPause)
			continue
		}
		if !l.awaitTurn(ctx, input, outage) {
			continue
		}
		t, err := l.campaign(ctx, input)
		if err != nil {
			l.log.Info("campaign failed", "peer", l.Name, "error", err)
			pause(ctx, retryPause)
			continue
		}
		t.run()
	}
	return nil
}

// Current returns the newest leader that this entry knows of.
func (l *Leader) Current() layout.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownLeader
}

// ObserveLeader records the leader that another entry knows of. A newer term
// ends the term of this entry.
func (l *Leader) ObserveLeader(v layout.Leader) {
	l.setKnownLeader(v, "peer")
	l.mu.Lock()
	t := l.term
	l.mu.Unlock()
	if t != nil && v.Term > t.number {
		t.end("a peer reported a newer leader")
	}
}

// SetFleet sets the configuration and delivers it to the state machine if this
// entry leads.
func (l *Leader) SetFleet(f *sched.FleetConfig) {
	l.mu.Lock()
	l.fleet = f
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.post(flow.ConfigMsg{Fleet: f})
	}
}

// State returns the state of a job, whether the job is known, and whether this
// entry is confirmed to lead.
func (l *Leader) State(id sched.JobID) (state sched.JobState, known, leads bool) {
	t := l.loadedTerm()
	if t == nil {
		return 0, false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state, _, known = t.machine.State(id)
	return state, known, t.machine.Confirmed(l.now())
}

// QueuedJobs returns the number of a queue's jobs of which no task has started,
// and whether this entry leads.
func (l *Leader) QueuedJobs(q sched.QueueName) (n int, leads bool) {
	t := l.loadedTerm()
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Waiting(q), true
}

// Workers returns the number of workers that the state machine knows, and
// whether this entry leads.
func (l *Leader) Workers() (n int, leads bool) {
	t := l.loadedTerm()
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Workers(), true
}

// Kept returns how much memory the accepted jobs take, and whether this entry leads and
// knows it.
func (l *Leader) Kept() (sched.KeptJobs, bool) {
	t := l.loadedTerm()
	if t == nil {
		return sched.KeptJobs{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Kept(l.now())
}

// Totals returns the totals of the state machine, and whether this entry leads.
func (l *Leader) Totals() (flow.Totals, bool) {
	t := l.loadedTerm()
	if t == nil {
		return flow.Totals{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Totals(), true
}

// loadedTerm returns the term that this entry leads, or nil if it does not lead
// or has not loaded the stored state yet.
func (l *Leader) loadedTerm() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil || !l.term.loaded {
		return nil
	}
	return l.term
}

// Resign gives up leadership at the start of a graceful shutdown. The entry does
// not campaign again.
func (l *Leader) Resign(ctx context.Context) {
	l.mu.Lock()
	l.resigned = true
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.resign(ctx, "planned stop")
	}
}

func (l *Leader) setKnownLeader(v layout.Leader, source string) {
	l.mu.Lock()
	changed := v.Term > l.knownLeader.Term
	if changed {
		l.knownLeader = v
	}
	l.mu.Unlock()
	if changed {
		l.log.Info("leader known", "leader", v.Name, "term", v.Term, "source", source)
		select {
		case l.leaderLearned <- struct{}{}:
		default:
		}
	}
}

// newStoreBackoff returns the backoff between calls to a store that does not
// answer. Every call counts against the shared rate limit, even one that the
// store refuses.
func newStoreBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = retryPause, retryMaxPause, retryJitter
	b.Multiplier = 2
	b.Reset()
	return b
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
