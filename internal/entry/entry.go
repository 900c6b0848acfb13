// Package entry runs an instance of the scheduler, called an entry. It feeds
// messages to the state machines below pkg/sched and executes the commands that
// they return against the store, the instance list, the workers and the other
// entries. It serves callers, other entries (peers) and operators over HTTP.
//
// # Usage
//
//	e, err := entry.New(entry.Settings{Name: "entry-1", …}, platform)
//	if err != nil { … }
//	err = e.Run(ctx) // serves until ctx ends, then shuts down gracefully
//
// # Concurrency
//
// The lock of a shard guards its pool, tasks, idempotency records and journal.
// Ownership and configuration each have their own lock. A machine runs while its
// lock is held. An effect, which is a call to the store, a worker or a peer, runs
// on its own goroutine without the lock and posts its result back as a message.
// The lock order is configuration, ownership, shard, hints.
package entry

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/mangoslip/mangoslip/internal/agent"
	"github.com/mangoslip/mangoslip/internal/clock"
	"github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/internal/stats"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// Platform holds the clients of the systems that an entry depends on.
type Platform struct {
	// Store is used for journals and the configuration.
	Store sched.Store
	// OwnershipStore is used for the ownership table.
	OwnershipStore sched.Store
	List           sched.InstanceList
	Workers        sched.WorkerClient
	Targets        *agent.TargetClient
}

// Entry is one instance of the scheduler.
type Entry struct {
	Settings
	Platform
	log   *slog.Logger
	stats meter
	// t tracks the goroutines of the entry and ends when the entry does.
	t tomb.Tomb
	// process is a random id that distinguishes this process from an earlier
	// one of the same name.
	process string
	start   time.Time
	// now returns the current time. Ownership depends on it, so it advances while
	// the process does not run.
	now func() time.Time
	// ids is the last id that was assigned to a waiter or a request. Some ids are
	// used as seeds of random choices.
	ids   atomic.Uint64
	peers *peer.Pool

	front, peer, admin net.Listener
	servers            []*http.Server

	own      ownership
	conf     configuration
	listView atomic.Pointer[listView]
	shards   atomic.Pointer[shardSet]

	// hints holds what the peers reported in their heartbeats: their views and,
	// in the placer, their free slots.
	hints struct {
		sync.Mutex
		placer *route.Placer
		views  map[sched.EntryName]peer.View
		// missing holds the time at which an entry was first seen to have
		// left the instance list.
		missing map[sched.EntryName]time.Time
	}
	retries  retriers
	inFlight atomic.Int64
	// pendingReports counts the outcomes of requests with an idempotency key
	// that are still being reported to the owners of the keys.
	pendingReports atomic.Int64
	ready          atomic.Bool
	// draining is set when a graceful shutdown begins.
	draining atomic.Bool
	// stopping is set later in a graceful shutdown, when the entry starts to
	// refuse new requests.
	stopping atomic.Bool
}

// ownership guards the machine that decides which shards this entry owns. The
// machine is nil until a configuration is in force.
type ownership struct {
	sync.Mutex
	m *owner.Machine
}

// shardSet holds the shards of the layout. It is immutable and is replaced when
// the layout grows.
type shardSet struct {
	layout sched.Layout
	byID   map[sched.ShardID]*shard
}

// New returns an entry and binds its addresses. The entry does nothing else
// until Run is called.
func New(s Settings, p Platform, opts ...Option) (*Entry, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	e := &Entry{
		Settings: s, Platform: p,
		log:     slog.New(slog.DiscardHandler),
		process: rand.Text(),
		start:   clock.Now(),
		now:     clock.Now,
		peers:   peer.NewPool(s.Token),
	}
	for _, o := range opts {
		o(e)
	}
	if e.stats.Stats == nil {
		e.stats = meter{stats.New()}
	}
	e.hints.placer = route.NewPlacer(s.DataCentre, e.ids.Add(1))
	e.hints.views = map[sched.EntryName]peer.View{}
	e.hints.missing = map[sched.EntryName]time.Time{}
	e.conf.init(string(s.Name) + "." + e.process)
	e.shards.Store(&shardSet{byID: map[sched.ShardID]*shard{}})
	e.listView.Store(&listView{})
	return e, e.listen()
}

// Option configures an entry.
type Option func(*Entry)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *slog.Logger) Option { return func(e *Entry) { e.log = l } }

// WithStats sets the metrics registry; the default is a new one.
func WithStats(s *stats.Stats) Option { return func(e *Entry) { e.stats = meter{s} } }

// listen binds the front, peer and admin addresses. The peer address stays bound
// until the process ends, so a later process that can bind it knows that this
// process has ended.
func (e *Entry) listen() error {
	for _, b := range []struct {
		at *netip.AddrPort
		l  *net.Listener
	}{{&e.FrontAddr, &e.front}, {&e.PeerAddr, &e.peer}, {&e.AdminAddr, &e.admin}} {
		l, err := net.Listen("tcp", b.at.String())
		if err != nil {
			e.closeListeners()
			return sched.Wrap(err, "listen", b.at.String())
		}
		*b.l = l
		*b.at = netip.MustParseAddrPort(l.Addr().String())
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.front, e.peer, e.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run serves until ctx ends and then shuts down gracefully. It returns nil if all
// requests in progress finished.
func (e *Entry) Run(ctx context.Context) error {
	e.t.Go(func() error {
		e.startServers()
		e.goLoop(e.pollList)
		e.goLoop(e.watchTable)
		e.goLoop(e.watchConfig)
		e.goLoop(e.heartbeat)
		e.goLoop(e.tick)
		<-e.t.Dying()
		return nil
	})
	select {
	case <-ctx.Done():
	case <-e.t.Dying():
	}
	var err error
	if e.t.Alive() {
		err = e.drain()
		e.shutdownServers()
	}
	e.t.Kill(nil)
	for _, s := range e.servers {
		s.Close()
	}
	e.closeListeners()
	e.peers.Close()
	if terr := e.t.Wait(); err == nil {
		err = terr
	}
	return err
}

// Kill ends the entry at once, as a crash would: connections are closed and
// no shard is released.
func (e *Entry) Kill() {
	e.t.Kill(nil)
	for _, s := range e.servers {
		s.Close()
	}
	e.closeListeners()
}

// goLoop runs a loop on a goroutine whose context is cancelled when the entry
// ends.
func (e *Entry) goLoop(f func(ctx context.Context)) {
	e.t.Go(func() error {
		f(e.context())
		return nil
	})
}

// spawn runs one effect on a goroutine. An effect that is requested after the
// entry has ended is dropped.
func (e *Entry) spawn(f func(ctx context.Context)) {
	if !e.t.Alive() {
		return
	}
	go f(e.context())
}

// context returns a context that is cancelled when the entry ends.
func (e *Entry) context() context.Context { return e.t.Context(context.Background()) }

// pause waits for d. It reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
