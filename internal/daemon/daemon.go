// Package daemon runs one entry on the platform. The entry follows the
// configuration, registers itself, handles callers' requests, takes part in the
// election of the leader and shuts down gracefully.
//
// # Usage
//
//	e := daemon.New(settings, platform, daemon.WithLogger(log))
//	err := e.Run(ctx) // until ctx ends, then a graceful shutdown
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/mangoslip/mangoslip/internal/guard"
	"github.com/mangoslip/mangoslip/internal/intake"
	"github.com/mangoslip/mangoslip/internal/jobs"
	"github.com/mangoslip/mangoslip/internal/late"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/leader"
	"github.com/mangoslip/mangoslip/internal/logger"
	"github.com/mangoslip/mangoslip/internal/orders"
	"github.com/mangoslip/mangoslip/internal/quota"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/internal/stats"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Settings holds the settings of an entry.
type Settings struct {
	Name sched.EntryName
	// Front, Ready, Peer and Metrics are the addresses on which the entry serves
	// callers, the load balancer's readiness checks, other entries and metrics.
	Front, Ready, Peer, Metrics netip.AddrPort
	// Grace is the time that a graceful shutdown may take.
	Grace time.Duration
	// DispatchFrom is a number of workers per core of the leader. From this
	// number on, other entries dispatch the leader's orders to the workers.
	DispatchFrom float64
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// Callers and Peers bound the clients of Front and Peer.
	Callers, Peers intake.Limits
	// JobBound bounds the memory that accepted jobs take while this entry leads; 0: there
	// is no bound.
	JobBound sched.Bytes
}

// Platform holds the parts of the platform that an entry uses, and how the entry
// reads its configuration.
type Platform struct {
	Store  sched.MetadataStore
	Orders sched.Orders
	// Adviser knows which workers may run the steps of advised queues.
	Adviser sched.Adviser
	// ConfigKey is the store key of the configuration. Apply decodes its value, puts
	// it in force for callers and returns the part that the scheduler uses.
	ConfigKey string
	Apply     func(value []byte) (*sched.FleetConfig, error)
	// NewFront returns the HTTP handler for callers, which uses the entry's job
	// service.
	NewFront func(sched.JobService) http.Handler
	// Leader holds the settings of the election and of the leader.
	Leader leader.Settings
}

// Entry is one entry on the platform.
type Entry struct {
	Settings
	Platform
	log    *slog.Logger
	stats  *stats.Stats
	leader *leader.Leader
	jobs   *jobs.Service
	client *relay.Client
	// dispatchClient hands the orders of this entry to other entries, which send
	// them to the workers. dispatcher sends orders of a leader on another entry to
	// the workers.
	dispatchClient *orders.Client
	dispatcher     *orders.Dispatcher
	peers          peers
	// registered is the version of the entry's key as this process last wrote it.
	registered atomic.Uint64
	// damagedEntries holds the keys of entries that were logged as damaged.
	damagedEntries logger.Once

	t        tomb.Tomb
	servers  []*http.Server
	gates    []*intake.Gate
	front    *http.Server
	configMu sync.Mutex
	// configVersion is the store version of the newest configuration received,
	// even if it was rejected. configSet is true once one is in force.
	configVersion atomic.Uint64
	configSet     atomic.Bool
	stopping      atomic.Bool
	started       time.Time
}

// Option changes a setting of an [Entry].
type Option func(*Entry)

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(e *Entry) { e.log = l } }

// WithStats sets the registry of metrics.
func WithStats(s *stats.Stats) Option { return func(e *Entry) { e.stats = s } }

// New returns an entry. [Entry.Run] starts it.
func New(s Settings, p Platform, opts ...Option) *Entry {
	e := &Entry{
		Settings: s, Platform: p, log: slog.New(slog.DiscardHandler), stats: stats.New(),
		client: relay.NewClient(), dispatchClient: orders.NewClient(), started: time.Now(),
	}
	for _, o := range opts {
		o(e)
	}
	e.dispatcher = orders.NewDispatcher(p.Orders, orders.WithLogger(e.log))
	p.Leader.Name, p.Leader.Addr = s.Name, s.Peer
	e.leader = leader.New(p.Leader, p.Store, p.Orders, leader.WithLogger(e.log), leader.WithStats(e.stats),
		leader.WithAnnouncer(e.announce), leader.WithDispatchers(e.termOrders), leader.WithAdviser(newAdviserPool(e)),
		leader.WithReachable(e.peerReachesStore), leader.WithAskPeers(e.askPeersForContact))
	options := []jobs.Option{jobs.WithLogger(e.log), jobs.WithAdviser(p.Adviser), jobs.WithLateSource(e.leader)}
	if s.JobBound > 0 {
		options = append(options, jobs.WithQuota(e.leader, s.JobBound, quota.WithLogger(e.log), quota.WithStats(e.stats)))
	}
	e.jobs = jobs.New(p.Store, e.leader, (*asker)(e), options...)
	return e
}

// Run serves until ctx ends, and then shuts down gracefully. It returns early with
// an error if a part of the entry fails.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.listen(); err != nil {
		return err
	}
	run := e.t.Context(context.Background())
	e.loop(run, "follow configuration", e.followConfig)
	e.loop(run, "watch configuration", e.watchConfig)
	e.loop(run, "register", e.register)
	e.loop(run, "lead", func(ctx context.Context) { _ = e.leader.Run(ctx) }) // It returns when ctx ends.
	e.loop(run, "publish gauges", e.publishGauges)
	select {
	case <-ctx.Done():
		e.stop()
	case <-e.t.Dying():
	}
	e.t.Kill(nil)
	err := e.t.Wait()
	e.log.Info("stopped", "uptime", time.Since(e.started), "error", err)
	return err
}

// loop runs f until ctx ends. A panic in f leaves the other loops running.
func (e *Entry) loop(ctx context.Context, step string, f func(context.Context)) {
	e.t.Go(func() error { guard.Loop(ctx, e.log, step, f); return nil })
}

// listen starts the HTTP servers.
func (e *Entry) listen() error {
	mux := http.NewServeMux()
	mux.Handle(relay.Handler(e.jobs))
	mux.Handle(orders.Handler(e.dispatcher))
	ready := goji.NewMux()
	ready.HandleFunc(pat.Get(e.ReadyPath), e.serveReady)
	metrics := goji.NewMux()
	metrics.Handle(pat.Get("/metrics"), e.stats)
	metrics.Handle(pat.Get(late.Path), late.New(e.jobs))
	for _, l := range []struct {
		name    string
		addr    netip.AddrPort
		handler http.Handler
		limits  intake.Limits
	}{
		{"Front", e.Front, e.NewFront(e.jobs), e.Callers},
		{"Ready", e.Ready, ready, intake.ForChecks()},
		{"Peer", e.Peer, mux, e.Peers},
		{"Metrics", e.Metrics, metrics, intake.ForChecks()},
	} {
		gate := intake.New(l.name, l.limits, intake.WithLogger(e.log), intake.WithStats(e.stats))
		server := gate.Server(l.handler)
		e.gates, e.servers = append(e.gates, gate), append(e.servers, server)
		if err := e.start(l.addr, gate, server); err != nil {
			return err
		}
	}
	e.front = e.servers[0]
	return nil
}

// start listens on an address and serves it until the entry stops.
func (e *Entry) start(addr netip.AddrPort, g *intake.Gate, s *http.Server) error {
	l, err := g.Listen(addr)
	if err != nil {
		return err
	}
	e.t.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !e.stopping.Load() {
			return sched.Wrap(err, "serve", addr.String())
		}
		return nil
	})
	return nil
}

// isReady reports whether the entry can handle requests: it has a configuration,
// and either reaches the store or got an answer from another entry recently. A
// stopping entry is not ready.
func (e *Entry) isReady() bool {
	if e.stopping.Load() || !e.configSet.Load() {
		return false
	}
	return !e.jobs.Health().Unreachable() || e.peers.answeredRecently()
}

// serveReady answers the load balancer's readiness check.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

const (
	// balancerDelay is how long the load balancer takes to notice that an entry is
	// no longer ready: two checks, a second apart.
	balancerDelay = 2200 * time.Millisecond
	// stopMargin is the part of Grace that is left for the exit of the process.
	stopMargin = 700 * time.Millisecond
	// unregisterMargin is the part of Grace that is left for removing the entry's key.
	unregisterMargin = 300 * time.Millisecond
)

// stop performs a graceful shutdown, which the log calls a planned stop. The
// entry tells the leader on another entry to dispatch no further orders through
// it, resigns if it is the leader itself, and waits until the load balancer sends
// no new connections. Open connections are served until they become idle or the
// grace period ends.
func (e *Entry) stop() {
	began := time.Now()
	e.log.Info("planned stop", "grace", e.Grace, "leads", e.leader.Current().Name == e.Name)
	e.stopping.Store(true)
	e.dispatcher.PrepareStop()
	ctx, cancel := context.WithTimeout(context.Background(), e.Grace-stopMargin)
	defer cancel()
	e.leader.Resign(ctx)
	e.front.SetKeepAlivesEnabled(false)
	pause(ctx, balancerDelay)
	e.shutDownFront(ctx)
	e.unregister(ctx)
	for _, s := range e.servers {
		_ = s.Close() // The exit of the process closes what is left.
	}
	e.log.Info("planned stop done", "took", time.Since(began))
}

// shutDownFront serves the callers that are connected. Near the end of ctx it gives
// up the requests that are not whole, so that their callers learn that they have not
// run and enough time is left to unregister.
func (e *Entry) shutDownFront(ctx context.Context) {
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-unregisterMargin))
		defer cancel()
	}
	if err := e.front.Shutdown(ctx); err != nil {
		e.log.Warn("callers were still connected when the grace period of the shutdown ended", "error", err)
		e.gates[0].GiveUp()
	}
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

// maxDispatchers bounds the number of other entries that dispatch the orders of a
// leader.
const maxDispatchers = 4

// termOrders returns the sender of the orders of one term. It dispatches them
// through other entries if the processor time of this one does not suffice, or while
// the number of workers is unknown because the state of the term is not loaded yet.
// Otherwise it sends them directly.
func (e *Entry) termOrders(ctx context.Context, term uint64) sched.Orders {
	list := func() []netip.AddrPort {
		if n, leads := e.leader.Workers(); leads && !e.needsDispatchers(n) {
			return nil
		}
		return e.peers.dispatchers(e.Name, maxDispatchers, time.Now())
	}
	return orders.NewPool(ctx, term, e.Orders, e.dispatchClient.Dispatch, list, func(event string, attrs ...any) {
		e.log.Info(event, attrs...)
	})
}

// needsDispatchers reports whether sending the orders for this number of workers
// takes more processor time than this entry has. An entry that does not know its
// share of processor time counts as having one core.
func (e *Entry) needsDispatchers(workers int) bool {
	cores := e.Leader.Processors
	if cores <= 0 {
		cores = 1
	}
	return float64(workers) >= e.DispatchFrom*cores
}

// peerReachesStore reports whether another entry answers and can reach the store.
func (e *Entry) peerReachesStore(ctx context.Context, p layout.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	a, err := e.client.Ask(ctx, p.Addr, relay.Question{Verb: relay.VerbLeader, Leader: e.leader.Current()})
	return err == nil && a.Reason == ""
}

// announce tells the known entries that this one leads.
func (e *Entry) announce(l layout.Leader) {
	for _, p := range e.peers.list("") {
		guard.Go(e.log, "announce leader", func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			_, err := e.client.Ask(ctx, p.Addr, relay.Question{Verb: relay.VerbLeader, Leader: l})
			e.log.Debug("leader announced", "peer", p.Name, "term", l.Term, "error", err)
		})
	}
}

// announceTimeout bounds one call that tells another entry who leads.
const announceTimeout = 500 * time.Millisecond
