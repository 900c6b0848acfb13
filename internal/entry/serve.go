package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/mangoslip/mangoslip/internal/admin"
	"github.com/mangoslip/mangoslip/internal/front"
	"github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/pkg/sched/owner"
)

// peerHeaderTimeout bounds the reading of the head of a peer's call.
const peerHeaderTimeout = 5 * time.Second

// startServers starts the servers of the three addresses.
func (e *Entry) startServers() {
	mux := http.NewServeMux()
	mux.Handle(peer.Handler(e, e.Token))
	e.startServer(front.Server(front.New(e, front.WithLogger(e.log), front.WithCounter(e.stats.Refused))), e.front)
	e.startServer(&http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}, e.peer)
	e.startServer(&http.Server{
		Handler: admin.New(adminBackend{e}, e.Token), ReadHeaderTimeout: peerHeaderTimeout, MaxHeaderBytes: admin.MaxHeader,
	}, e.admin)
}

func (e *Entry) startServer(s *http.Server, l net.Listener) {
	e.servers = append(e.servers, s)
	e.t.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && e.t.Alive() {
			return err
		}
		return nil
	})
}

// ErrCut is returned by Run if a planned stop ended before all requests had.
var ErrCut = errors.New("requests in progress were cut off")

// drain is the planned stop: readiness off, wait for the balancer, no new
// work, requests in progress finish, shards are released.
func (e *Entry) drain() error {
	ctx := e.context()
	e.draining.Store(true)
	e.log.Info("planned stop", "wait", e.DrainWait, "timeout", e.DrainTimeout)
	e.postOwner(owner.DrainMsg{})
	pause(ctx, e.DrainWait)
	e.stopping.Store(true)
	deadline := time.Now().Add(e.DrainTimeout)
	e.waitUntil(ctx, deadline, func() bool { return e.inFlight.Load() == 0 && e.pendingReports.Load() == 0 })
	cut := e.inFlight.Load()
	for _, s := range e.shards.Load().byID {
		if s.serving() {
			s.release(ctx)
		}
	}
	e.waitUntil(ctx, time.Now().Add(releaseTimeout), func() bool { return len(e.assignedShards()) == 0 })
	e.log.Info("stopped", "cut", cut, "held", len(e.assignedShards()))
	if cut > 0 {
		return ErrCut
	}
	return nil
}

// shutdownServers lets the servers write out the answers of the last requests,
// which the count of requests in progress no longer includes.
func (e *Entry) shutdownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, s := range e.servers {
		// What does not end in time is closed by the caller.
		_ = s.Shutdown(ctx)
	}
}

// releaseTimeout bounds the wait for the release of shards to be written.
const releaseTimeout = 3 * time.Second

func (e *Entry) waitUntil(ctx context.Context, deadline time.Time, done func() bool) {
	for !done() && time.Now().Before(deadline) {
		if !pause(ctx, tickInterval) {
			return
		}
	}
}

// Ready reports whether the balancer may send requests: a configuration is in
// force and the ownership table is known.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.ready.Load()
}
