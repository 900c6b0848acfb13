package daemon

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// adviceConcurrency is the number of entries that call the adviser at the same
// time.
const adviceConcurrency = 4

// adviserPool distributes the leader's calls to the adviser over several entries. The
// adviser handles the calls of an entry one after the other, and the tickets of a call
// that waits there grow old. So a call waits here until an entry is free. It implements
// [sched.Adviser].
type adviserPool struct {
	// self asks the adviser from this entry, and ask through another one.
	self   sched.Adviser
	ask    func(context.Context, netip.AddrPort, sched.AdviceRequest) (sched.Advice, error)
	others func() []netip.AddrPort

	mu sync.Mutex
	// busy holds the entries with a call in progress. The zero address is this entry.
	busy map[netip.AddrPort]bool
	// freed is closed and replaced when a call ends.
	freed chan struct{}
}

func newAdviserPool(e *Entry) *adviserPool {
	return &adviserPool{
		self: e.Adviser, ask: e.askForAdvice,
		others: func() []netip.AddrPort { return e.peers.dispatchers(e.Name, adviceConcurrency-1, time.Now()) },
		busy:   map[netip.AddrPort]bool{}, freed: make(chan struct{}),
	}
}

// Advise implements [sched.Adviser]. It waits for a free entry. The timeout of the
// request counts from then.
func (p *adviserPool) Advise(ctx context.Context, o sched.AdviceRequest) (sched.Advice, error) {
	began := time.Now()
	entry, err := p.acquire(ctx)
	if err != nil {
		return sched.Advice{}, err
	}
	defer p.release(entry)
	waited := time.Since(began)
	if o.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.Timeout)
		defer cancel()
	}
	var a sched.Advice
	if entry.IsValid() {
		a, err = p.ask(ctx, entry, o)
	} else {
		a, err = p.self.Advise(ctx, o)
	}
	a.Waited = waited
	return a, err
}

// acquire waits for an entry without a call in progress.
func (p *adviserPool) acquire(ctx context.Context) (netip.AddrPort, error) {
	for {
		candidates := append([]netip.AddrPort{{}}, p.others()...)
		p.mu.Lock()
		i := slices.IndexFunc(candidates, func(a netip.AddrPort) bool { return !p.busy[a] })
		if i >= 0 {
			p.busy[candidates[i]] = true
			p.mu.Unlock()
			return candidates[i], nil
		}
		freed := p.freed
		p.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return netip.AddrPort{}, ctx.Err()
		}
	}
}

func (p *adviserPool) release(entry netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, entry)
	close(p.freed)
	p.freed = make(chan struct{})
}

// askForAdvice asks the adviser through another entry.
func (e *Entry) askForAdvice(ctx context.Context, addr netip.AddrPort, o sched.AdviceRequest) (sched.Advice, error) {
	a, err := e.client.Ask(ctx, addr, relay.Question{Verb: relay.VerbAdvise, Advice: &o})
	switch {
	case err != nil:
		return sched.Advice{}, err
	case a.Advice == nil:
		return sched.Advice{}, sched.Wrap(sched.ErrUnavailable, "advise", addr.String())
	}
	return *a.Advice, nil
}
