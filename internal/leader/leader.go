// Package leader elects one entry that runs the workflows of a deployment, and
// runs the machine of package flow on it.
//
// The leader holds a key of the metadata store under a lease. Taking it raises
// the number of the term in the same transaction. Every record of a leader is
// written under the condition that the term is unchanged, and every order to a
// worker carries the term as a fence, so two entries that both believe they
// lead do no harm: the older one is refused by the store and by every worker
// that the newer one has asked.
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
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/stats"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

const (
	// defaultTTL is the time to live of the leader's key. It bounds the time
	// from a crash to the next term.
	defaultTTL = 1500 * time.Millisecond
	// renewInterval is the period of renewals.
	renewInterval = 400 * time.Millisecond
	// maxConfirmationAge is the longest time without a proof that the term is the
	// newest one.
	maxConfirmationAge = 900 * time.Millisecond
	membersInterval    = 700 * time.Millisecond
	tickInterval       = 50 * time.Millisecond
	// watchWait bounds a watch, so that a connection that fell silent is
	// noticed.
	watchWait = 3 * time.Second
	// retryPause is the first pause after a call that failed, retryMost the
	// longest, and retrySpread the random part.
	retryPause    = 150 * time.Millisecond
	retryMaxPause = 700 * time.Millisecond
	retryJitter   = 0.3
	// campaignJitter spreads the entries that campaign at once.
	campaignJitter = 40 * time.Millisecond
	// lowCPUDelay is how much longer an entry with little processor time waits
	// until it campaigns, and handicapBelow the cores below which it does.
	lowCPUDelay = 120 * time.Millisecond
	lowCPUShare = 0.3
	// outageGrace is how long an entry that lost the store leaves the leader's
	// key to the one that held it.
	outageGrace = 600 * time.Millisecond
	// orderTimeout bounds an order as long as answers are quick; a hold takes
	// its wait in addition.
	orderTimeout   = 300 * time.Millisecond
	renewalTimeout = 400 * time.Millisecond
	// maxDirectOrders bounds the orders in progress that are sent directly, and
	// carriedAtOnce those that other entries carry.
	maxDirectOrders     = 12
	maxDispatchedOrders = 512
)

// Settings is what a leader needs to know.
type Settings struct {
	Name sched.EntryName
	// Addr is where other entries ask this one.
	Addr netip.AddrPort
	// Processors is the share of a core that the entry may use.
	Processors float64
	// MembersPrefix is the prefix of the register of workers and Members
	// decodes it; entries that name no worker are returned by key.
	MembersPrefix string
	Members       func([]sched.Item) ([]sched.Member, map[string]error)
	// Machine holds the options of the machine.
	Machine []flow.Option
}

// Leader takes part in the election and leads when it wins. It is safe for
// concurrent use.
type Leader struct {
	Settings
	store         sched.Metadata
	orders        sched.Orders
	log           *slog.Logger
	stats         *stats.Stats
	ttl           time.Duration
	announce      func(layout.Leader)
	newDispatcher func(ctx context.Context, term uint64) sched.Orders
	adviser       sched.Adviser
	// reachable reports whether another entry answers.
	reachable func(ctx context.Context, e layout.Entry) bool

	mu          sync.Mutex
	knownLeader layout.Leader
	fleet       *sched.Fleet
	term        *term
	resigned    bool
}

// Option changes a setting of a [Leader].
type Option func(*Leader)

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(x *Leader) { x.log = l } }

// WithStats sets the registry of counters.
func WithStats(s *stats.Stats) Option { return func(x *Leader) { x.stats = s } }

// WithTTL sets the time to live of the leader's key (1.5 s).
func WithTTL(d time.Duration) Option { return func(x *Leader) { x.ttl = d } }

// WithCarriers has f called for each term: what it returns sends the orders of
// that term to the workers until ctx ends. Without it they are sent directly.
func WithCarriers(f func(ctx context.Context, term uint64) sched.Orders) Option {
	return func(x *Leader) { x.newDispatcher = f }
}

// WithAdviser sets whom to ask which workers may run the steps of advised
// queues; without it such steps wait.
func WithAdviser(a sched.Adviser) Option { return func(x *Leader) { x.adviser = a } }

// WithReach sets how to find out whether another entry answers. Without it a
// weak entry keeps the lead for its whole term.
func WithReach(f func(ctx context.Context, e layout.Entry) bool) Option {
	return func(x *Leader) { x.reachable = f }
}

// WithAnnouncer has f called when this entry begins to lead.
func WithAnnouncer(f func(layout.Leader)) Option { return func(x *Leader) { x.announce = f } }

// New returns a leader that takes no part until Run.
func New(s Settings, store sched.Metadata, orders sched.Orders, opts ...Option) *Leader {
	l := &Leader{
		Settings: s, store: store, orders: orders, log: slog.New(slog.DiscardHandler),
		stats: stats.New(), ttl: defaultTTL, announce: func(layout.Leader) {},
		reachable: func(context.Context, layout.Entry) bool { return false },
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
		if ctx.Err() != nil || l.isResigned() {
			pause(ctx, retryPause)
			continue
		}
		if outage {
			pause(ctx, outageGrace)
		}
		pause(ctx, l.campaignDelay(ctx))
		t, err := l.campaign(ctx, input)
		if err != nil {
			l.log.Info("campaign lost", "peer", l.Name, "error", err)
			pause(ctx, retryPause)
			continue
		}
		t.run()
	}
	return nil
}

// campaignDelay returns how long to wait before a campaign, so that entries do
// not all campaign at once, and those with more processor time come first.
func (l *Leader) campaignDelay(ctx context.Context) time.Duration {
	d := rand.N(campaignJitter)
	switch {
	case len(l.strongerEntries(ctx)) > 0:
		d += weakDelay
	case l.Processors < lowCPUShare:
		d += lowCPUDelay
	}
	return d
}

// Current returns whom this entry believes to lead.
func (l *Leader) Current() layout.Leader {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownLeader
}

// Heard takes in whom another entry believes to lead.
func (l *Leader) Heard(v layout.Leader) {
	l.mu.Lock()
	newer := v.Term > l.knownLeader.Term
	if newer {
		l.knownLeader = v
	}
	t := l.term
	l.mu.Unlock()
	if newer {
		l.log.Info("leader known", "leader", v.Name, "term", v.Term, "source", "peer")
	}
	if t != nil && v.Term > t.number {
		t.end("a peer names a newer leader")
	}
}

// SetFleet puts a configuration in force.
func (l *Leader) SetFleet(f *sched.Fleet) {
	l.mu.Lock()
	l.fleet = f
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.post(flow.ConfigMsg{Fleet: f})
	}
}

// State returns the state of a job, whether it is known, and whether this
// entry surely leads.
func (l *Leader) State(id sched.JobID) (state sched.JobState, known, leads bool) {
	t := l.loadedTerm()
	if t == nil {
		return 0, false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state, _, known = t.machine.State(id)
	return state, known, t.machine.Confirmed(time.Now())
}

// Waiting returns the length of a queue and whether this entry leads.
func (l *Leader) Waiting(q sched.QueueName) (n int, leads bool) {
	t := l.loadedTerm()
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Waiting(q), true
}

// Workers returns the number of workers that the machine knows, and whether
// this entry leads.
func (l *Leader) Workers() (n int, leads bool) {
	t := l.loadedTerm()
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Workers(), true
}

// Totals returns the sums of the machine, if this entry leads.
func (l *Leader) Totals() (flow.Totals, bool) {
	t := l.loadedTerm()
	if t == nil {
		return flow.Totals{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Totals(), true
}

// loadedTerm returns the term if this entry leads and has loaded its state.
func (l *Leader) loadedTerm() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil || !l.term.loaded {
		return nil
	}
	return l.term
}

// Resign gives up the lead in a planned stop and takes no further part.
func (l *Leader) Resign(ctx context.Context) {
	l.mu.Lock()
	l.resigned = true
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.resign(ctx, "planned stop")
	}
}

func (l *Leader) isResigned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resigned
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
	}
}

// newStoreBackoff returns the pauses between calls to a store that does not answer:
// every call counts against the shared rate, refused ones included.
func newStoreBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = retryPause, retryMaxPause, retryJitter
	b.Multiplier = 2
	b.Reset()
	return b
}

// pause waits for a time or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
