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

// peerHeaderTimeout bounds the time for reading the headers of a request from a
// peer or an operator.
const peerHeaderTimeout = 5 * time.Second

// startServers starts the HTTP servers of the front, peer and admin addresses.
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

// ErrRequestsInterrupted is returned by Run if the drain timeout of a graceful
// shutdown passed before all requests had finished.
var ErrRequestsInterrupted = errors.New("requests in progress were cut off")

// drain performs the steps of a graceful shutdown, which the log calls a planned
// stop. The entry reports that it is not ready and waits for DrainWait, so that
// the load balancer notices. Then it refuses new requests, waits for those in
// progress and releases its shards.
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
	e.log.Info("planned stop finished", "cut", cut, "held", len(e.assignedShards()))
	if cut > 0 {
		return ErrRequestsInterrupted
	}
	return nil
}

// shutdownServers shuts the servers down gracefully. The last requests are no
// longer counted as in progress, but the servers may still be writing their
// answers.
func (e *Entry) shutdownServers() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, s := range e.servers {
		// The caller closes the connections that remain after the timeout.
		_ = s.Shutdown(ctx)
	}
}

// releaseTimeout bounds the wait until the releases of all shards are stored in
// the ownership table, and the shutdown of the servers.
const releaseTimeout = 3 * time.Second

// waitUntil waits until done reports true, the deadline passes or ctx ends.
func (e *Entry) waitUntil(ctx context.Context, deadline time.Time, done func() bool) {
	for !done() && time.Now().Before(deadline) {
		if !pause(ctx, tickInterval) {
			return
		}
	}
}

// Ready reports whether the load balancer may send requests to this entry. It may
// if a configuration is in force, the ownership table is known, the entry knows a
// place where a request could run and no graceful shutdown is in progress.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.ready.Load()
}
