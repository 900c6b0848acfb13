package fake

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// isFakeEndpoint reports whether a request is for one of the stand-in's own
// endpoints, which set faults and return records.
func isFakeEndpoint(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/fake/") }

// gate closes listeners for a period, so that dials are refused. The zero value
// is open.
type gate struct {
	mu      sync.Mutex
	closed  bool
	changed chan struct{}
	timer   *time.Timer
}

// closeFor closes the gate for d and then opens it again; 0 opens it
// immediately.
func (g *gate) closeFor(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
	}
	if d > 0 {
		g.timer = time.AfterFunc(d, func() { g.closeFor(0) })
	}
	g.closed = d > 0
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// state returns whether the gate is closed, and a channel that is closed at the
// next call of closeFor.
func (g *gate) state() (closed bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.closed, g.changed
}

// serve serves ln while the gate is open. Each time the gate opens again, it
// listens on the same address with a new server.
func (g *gate) serve(ctx context.Context, ln net.Listener, server func() *http.Server) error {
	addr := ln.Addr().String()
	for ctx.Err() == nil {
		closed, changed := g.state()
		if closed {
			if ln != nil {
				_ = ln.Close()
				ln = nil
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if ln == nil {
			var err error
			if ln, err = net.Listen("tcp", addr); err != nil {
				return err
			}
		}
		open, cancel := context.WithCancel(ctx)
		stop := make(chan struct{})
		go func() {
			defer close(stop)
			g.waitClosed(open)
			cancel()
		}()
		err := serve(open, ln, server())
		cancel()
		<-stop
		ln = nil
		if err != nil {
			return err
		}
	}
	if ln != nil {
		_ = ln.Close()
	}
	return nil
}

// waitClosed waits until the gate closes or ctx ends.
func (g *gate) waitClosed(ctx context.Context) {
	for {
		closed, changed := g.state()
		if closed {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
