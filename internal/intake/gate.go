package intake

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/mangoslip/mangoslip/internal/stats"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Reason says why a request or a connection was given up.
type Reason string

// The reasons. Each has a counter.
const (
	// OverBudget is a body that was refused because all bodies together exceed the
	// budget.
	OverBudget Reason = "OverBudget"
	// TooSlow is a body that took too long or arrived too slowly.
	TooSlow Reason = "TooSlow"
	// Stopping is a body that was not whole when the entry stopped.
	Stopping Reason = "Stopping"
	// ConnRefused is a new connection beyond the bound, IdleClosed an idle one that
	// made room for a new one, and IncompleteClosed one whose request was not whole.
	ConnRefused      Reason = "ConnRefused"
	IdleClosed       Reason = "IdleClosed"
	IncompleteClosed Reason = "IncompleteClosed"
)

// Refusal is the error of reading a body that was given up before it was whole.
type Refusal struct{ Reason Reason }

func (r *Refusal) Error() string { return "body given up before it was whole: " + string(r.Reason) }

// Gate bounds the clients of one listener. It is safe for concurrent use.
type Gate struct {
	name   string
	limits Limits
	log    *slog.Logger
	stats  *stats.Stats
	budget budget
	conns  conns

	mu sync.Mutex
	// refused counts what was given up since the last log line.
	refused map[Reason]int64
}

// Option changes a setting of a [Gate].
type Option func(*Gate)

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(g *Gate) { g.log = l } }

// WithStats sets the registry of metrics.
func WithStats(s *stats.Stats) Option { return func(g *Gate) { g.stats = s } }

// New returns a gate. Its name is part of the names of its metrics.
func New(name string, limits Limits, opts ...Option) *Gate {
	g := &Gate{
		name: name, limits: limits.withDefaults(), log: slog.New(slog.DiscardHandler), stats: stats.New(),
		refused: map[Reason]int64{},
	}
	for _, o := range opts {
		o(g)
	}
	g.budget = budget{bound: g.limits.Bytes, bodies: map[*body]struct{}{}, count: g.count}
	g.conns = conns{bound: g.limits.Conns, open: map[*conn]struct{}{}, count: g.count}
	return g
}

// Server returns a server for a listener of [Gate.Listen]. It speaks HTTP/1 only,
// because a connection of HTTP/2 carries many requests.
func (g *Gate) Server(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler: g.bound(h), Protocols: &protocols,
		ReadHeaderTimeout: g.limits.HeaderTime, WriteTimeout: g.limits.WriteTime, IdleTimeout: g.limits.IdleTime,
		MaxHeaderBytes: g.limits.HeaderBytes,
		ConnState:      g.conns.changed,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// Listen listens on an address. Its connections inherit the size of the receive
// buffer, which also holds before they are accepted.
func (g *Gate) Listen(addr netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.limits.ReceiveBuffer)
		}); e != nil {
			return e
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, sched.Wrap(err, "listen", addr.String())
	}
	return &listener{Listener: l, conns: &g.conns}, nil
}

// bound returns a handler whose requests have bounded bodies.
func (g *Gate) bound(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if r.ContentLength == 0 {
			g.conns.whole(c)
			h.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, gate: g, conn: c, control: http.NewResponseController(w), began: time.Now()}
		g.budget.add(b)
		defer g.budget.release(b)
		// The server examines the body of its own request after the handler.
		bounded := r.WithContext(r.Context())
		bounded.Body = b
		h.ServeHTTP(w, bounded)
	})
}

// GiveUp refuses the bodies that are not whole, before a shutdown.
func (g *Gate) GiveUp() { g.budget.giveUp() }

// count counts what was given up for a reason.
func (g *Gate) count(r Reason) {
	g.stats.Count("Intake"+g.name+string(r), 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[r]++
}

// Publish sets the gauges, and logs one line if anything was given up since the last
// call.
func (g *Gate) Publish() {
	used, bodies := g.budget.use()
	open := g.conns.number()
	g.stats.Gauge("Intake"+g.name+"Bytes", used)
	g.stats.Gauge("Intake"+g.name+"BytesBound", g.limits.Bytes)
	g.stats.Gauge("Intake"+g.name+"Conns", int64(open))
	g.stats.Gauge("Intake"+g.name+"ConnsBound", int64(g.limits.Conns))
	refused := g.takeRefused()
	if len(refused) == 0 {
		return
	}
	g.log.Warn("clients exceeded bounds", "listener", g.name, "overBudget", refused[OverBudget], "tooSlow", refused[TooSlow],
		"connRefused", refused[ConnRefused], "idleClosed", refused[IdleClosed], "incompleteClosed", refused[IncompleteClosed],
		"bytes", used, "bytesBound", g.limits.Bytes, "bodies", bodies, "conns", open, "connsBound", g.limits.Conns)
}

// takeRefused returns the counts since the last call and begins new ones.
func (g *Gate) takeRefused() map[Reason]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := g.refused
	g.refused = map[Reason]int64{}
	return refused
}
