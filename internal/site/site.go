// Package site runs a deployment in one process over loopback sockets: the
// stand-ins for the store, the instance list and the workers, and the entries.
// The demo and the benchmarks use it.
//
// # Usage
//
//	s, err := site.New(site.WithEntries(3), site.WithWorkers(4))
//	if err != nil { … }
//	defer s.Close()
//	err = s.Start(ctx) // returns when every shard is served
//	s.Crash("entry-1")
//	err = s.Restart("entry-1")
package site

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// servicesText is the default services text, which is the configuration in
// TOML.
//
//go:embed site.toml
var servicesText string

const (
	// readyTimeout limits the wait until all shards are served, and an edit
	// of the configuration.
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Site is a deployment with all its parts in one process.
type Site struct {
	// Store, List and Workers are the stand-ins.
	Store   *fake.Store
	List    *fake.List
	Workers []*fake.Worker

	settings
	cfg   *sched.Config
	t     tomb.Tomb
	addrs struct{ store, list netip.AddrPort }

	mu      sync.Mutex
	entries map[string]*Entry
	// entryDataCentres holds the data centre of every entry that was ever
	// started.
	entryDataCentres map[string]sched.DataCentre
}

// New returns a site; [Site.Start] starts it.
func New(opts ...Option) (*Site, error) {
	st := defaults()
	for _, o := range opts {
		o(&st)
	}
	cfg, err := text.Parse([]byte(st.text))
	if err != nil {
		return nil, err
	}
	if st.dataCentres == 0 {
		st.dataCentres = len(cfg.DataCentres)
	}
	if st.dataCentres < 0 || st.dataCentres > len(cfg.DataCentres) {
		return nil, eris.Errorf("%d data centres requested; the services text has %d", st.dataCentres, len(cfg.DataCentres))
	}
	return &Site{
		settings: st, cfg: cfg, Store: fake.NewStore(), List: fake.NewList(),
		entries: map[string]*Entry{}, entryDataCentres: map[string]sched.DataCentre{},
	}, nil
}

// Start starts the stand-ins, the workers and the entries, applies the services
// text and waits until every shard is served.
func (s *Site) Start(ctx context.Context) error {
	s.List.SetFaults(fake.ListFaults{Lag: s.listLag})
	var err error
	if s.addrs.store, err = s.serveLoopback(s.Store.Serve); err != nil {
		return err
	}
	if s.addrs.list, err = s.serveLoopback(s.List.Serve); err != nil {
		return err
	}
	if err := s.startWorkers(); err != nil {
		return err
	}
	for i := range s.settings.entries {
		if err := s.startEntry(fmt.Sprintf("entry-%d", i+1), s.cfg.DataCentres[i%s.dataCentres]); err != nil {
			return err
		}
	}
	if _, err := s.Apply(ctx, s.text); err != nil {
		return err
	}
	return s.AwaitServed(ctx)
}

// Text returns the services text that the site was started with.
func (s *Site) Text() string { return s.text }

// Token returns the bearer token of operators and peers.
func (s *Site) Token() string { return s.token }

// serveLoopback listens on a free loopback port, runs serve on it until the
// site closes, and returns the address.
func (s *Site) serveLoopback(serve func(context.Context, net.Listener) error) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	ctx := s.t.Context(context.Background())
	s.t.Go(func() error { return serve(ctx, l) })
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// startWorkers starts the workers of all data centres that the site uses.
func (s *Site) startWorkers() error {
	for _, dc := range s.cfg.DataCentres[:s.dataCentres] {
		for i := range s.workers {
			if err := s.startWorker(s.workerConfig(dc, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Site) startWorker(cfg fake.WorkerConfig) error {
	data, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Join(err, data.Close())
	}
	w := fake.NewWorker(cfg)
	ctx := s.t.Context(context.Background())
	s.t.Go(func() error { return w.Serve(ctx, data, control) })
	s.Workers = append(s.Workers, w)
	s.List.Register(cfg.Instance(data.Addr(), control.Addr()))
	return nil
}

func (s *Site) workerConfig(dc sched.DataCentre, i int) fake.WorkerConfig {
	cfg := fake.WorkerConfig{
		Name:       sched.WorkerName(fmt.Sprintf("%s-%d", dc, i+1)),
		DataCentre: dc,
		Rack:       fmt.Sprintf("%s-r%d", dc, i/workersPerRack+1),
		Capacity:   sched.Resources{CPU: 32000, Memory: 125e9},
		// This is the limit of the client of one entry. Connections that
		// other entries have open, such as an earlier owner of the worker's
		// shard, count as well.
		Connections: 64,
	}
	for _, svc := range s.cfg.Services {
		cfg.Services = append(cfg.Services, fake.ServiceLimit{
			Service: svc.Name, Slots: svc.Slots, SlotResources: svc.SlotResources,
		})
	}
	return cfg
}

// AwaitServed waits until every shard is served by an entry that is ready.
func (s *Site) AwaitServed(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	want := len(s.cfg.DataCentres) * s.cfg.ShardsPerDataCentre
	for time.Now().Before(deadline) {
		served := 0
		for _, e := range s.Live() {
			served += len(e.Serving())
		}
		if served == want {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return eris.Errorf("not all %d shards are served after %s", want, readyTimeout)
}

// Records returns the records of all workers.
func (s *Site) Records() []fake.WorkerRecords {
	out := make([]fake.WorkerRecords, 0, len(s.Workers))
	for _, w := range s.Workers {
		out = append(out, w.Records())
	}
	return out
}

// Close stops all entries and stand-ins and waits until they have stopped.
func (s *Site) Close() {
	s.mu.Lock()
	entries := s.entries
	s.entries = map[string]*Entry{}
	s.mu.Unlock()
	for _, e := range entries {
		e.kill()
	}
	for _, e := range entries {
		// The error of a killed entry is expected: it reports the work that was
		// interrupted.
		_ = e.wait()
	}
	s.t.Kill(nil)
	// The stand-ins return an error because their listeners were closed.
	_ = s.t.Wait()
}
