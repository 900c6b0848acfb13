// Package entry runs an entry instance: it drives the state machines below
// pkg/sched, executes their commands against the store, the instance list, the
// workers and the other entries, and serves callers, peers and operators.
//
// # Usage
//
//	e, err := entry.New(entry.Settings{Name: "entry-1", …}, platform)
//	if err != nil { … }
//	err = e.Run(ctx) // until ctx ends, then a planned stop
//
// # Concurrency
//
// The state of a shard (its pool, tasks, idempotency records and journal) is
// guarded by the lock of that shard; ownership and configuration each have a
// lock of their own. Machines run under the lock, effects run outside of it on
// goroutines of the entry's tomb, and post their results back as messages.
// Locks are taken in the order configuration, ownership, shard, hints.
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
	"github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/internal/stats"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// Platform is what an entry is connected to.
type Platform struct {
	// Store is used for journals and configuration, Reserved for ownership.
	Store    sched.Store
	Reserved sched.Store
	List     sched.InstanceList
	Workers  sched.WorkerClient
	Targets  *agent.Target
}

// Entry is one running instance.
type Entry struct {
	Settings
	Platform
	log   *slog.Logger
	stats meter
	t     tomb.Tomb
	// process distinguishes this process from an earlier one of the same name.
	process string
	start   time.Time
	ids     atomic.Uint64
	peers   *peer.Pool

	front, peer, admin net.Listener
	servers            []*http.Server

	own    ownership
	conf   configuration
	view   atomic.Pointer[view]
	shards atomic.Pointer[shardSet]

	hints struct {
		sync.Mutex
		placer *route.Placer
		views  map[sched.EntryName]peer.View
		// missing holds since when an entry is not listed any more.
		missing map[sched.EntryName]time.Time
	}
	retries  retriers
	inFlight atomic.Int64
	// pendingReports counts the outcomes of keys on their way to the keys' owners.
	pendingReports atomic.Int64
	ready          atomic.Bool
	// draining is set for the whole of a planned stop, stopping from when no
	// request is taken any more.
	draining atomic.Bool
	stopping atomic.Bool
}

// ownership is the machine that decides which shards this entry owns.
type ownership struct {
	sync.Mutex
	m *owner.Machine
}

// shardSet holds the shards of the layout; it is replaced when the layout grows.
type shardSet struct {
	layout sched.Layout
	byID   map[sched.ShardID]*shard
}

// New binds the addresses of an entry. Nothing runs until Run.
func New(s Settings, p Platform, opts ...Option) (*Entry, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	e := &Entry{
		Settings: s, Platform: p,
		log:     slog.New(slog.DiscardHandler),
		process: rand.Text(),
		start:   time.Now(),
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
	e.view.Store(&view{})
	return e, e.listen()
}

// Option changes an entry.
type Option func(*Entry)

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(e *Entry) { e.log = l } }

// WithStats sets the metrics registry; the default is a new one.
func WithStats(s *stats.Stats) Option { return func(e *Entry) { e.stats = meter{s} } }

// listen binds the three addresses. The peer address is held until the process
// ends, which proves to a successor that this process is gone.
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

// Run serves until ctx ends and then stops gracefully. It returns nil after a
// planned stop that cut nothing off.
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

// Kill ends the entry at once, as a crash would: connections are cut and
// nothing is released.
func (e *Entry) Kill() {
	e.t.Kill(nil)
	for _, s := range e.servers {
		s.Close()
	}
	e.closeListeners()
}

// goLoop runs a loop until the entry ends.
func (e *Entry) goLoop(f func(ctx context.Context)) {
	e.t.Go(func() error {
		f(e.context())
		return nil
	})
}

// spawn runs one effect. Effects that come after the end are dropped.
func (e *Entry) spawn(f func(ctx context.Context)) {
	if !e.t.Alive() {
		return
	}
	go f(e.context())
}

// context ends when the entry does.
func (e *Entry) context() context.Context { return e.t.Context(context.Background()) }

// pause waits for d; it reports false when ctx ended first.
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
