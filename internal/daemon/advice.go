package daemon

import (
	"context"
	"time"

	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// adviceConcurrency is the number of entries that call the adviser at the same
// time. More calls from one entry would not help, since the adviser handles the
// calls of an entry one after the other.
const adviceConcurrency = 4

// adviserPool distributes the leader's calls to the adviser over several entries.
// It implements [sched.Adviser].
type adviserPool struct {
	e *Entry
	// free holds the numbers of the unused slots. Each slot belongs to an entry that
	// calls the adviser: slot 0 to this one, the others to its peers.
	free chan int
}

func newAdviserPool(e *Entry) *adviserPool {
	p := &adviserPool{e: e, free: make(chan int, adviceConcurrency)}
	for i := range adviceConcurrency {
		p.free <- i
	}
	return p
}

// Advise implements [sched.Adviser]. It waits for a free slot and calls the adviser
// from this entry or through the peer of that slot. If there are fewer peers than
// slots, this entry makes the call.
func (p *adviserPool) Advise(ctx context.Context, o sched.AdviceRequest) (sched.Advice, error) {
	var slot int
	select {
	case slot = <-p.free:
	case <-ctx.Done():
		return sched.Advice{}, ctx.Err()
	}
	defer func() { p.free <- slot }()
	others := p.e.peers.dispatchers(p.e.Name, adviceConcurrency-1, time.Now())
	if slot == 0 || slot > len(others) {
		return p.e.Adviser.Advise(ctx, o)
	}
	a, err := p.e.client.Ask(ctx, others[slot-1], relay.Question{Verb: relay.VerbAdvise, Advice: &o})
	switch {
	case err != nil:
		return sched.Advice{}, err
	case a.Advice == nil:
		return sched.Advice{}, sched.Wrap(sched.ErrUnavailable, "advise", others[slot-1].String())
	}
	return *a.Advice, nil
}
