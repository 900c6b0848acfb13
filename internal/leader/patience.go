package leader

import (
	"sync"
	"time"
)

const (
	// patienceMost bounds the timeout of an order.
	patienceMost = 1500 * time.Millisecond
	// meanShare and spreadShare are the weights of a new delay in the moving
	// averages, and spreads how many spreads a timeout is above the mean: the
	// values that RFC 6298 gives for retransmission timeouts.
	meanShare   = 8
	spreadShare = 4
	spreads     = 4
	// missesAllowed is how many orders in a row may miss their timeout, to
	// whichever worker, until the timeout is doubled.
	missesAllowed = 8
)

// patience is how long orders wait for their answers. A leader that is short
// of processor time gets answers late. Under a fixed timeout it would give
// them up, open new connections and repeat the orders, which takes still more
// processor time, and it would not recover when the shortage is over.
type patience struct {
	mu sync.Mutex
	// mean and spread are moving averages of the delay of answers.
	mean, spread time.Duration
	// misses counts the orders in a row without an answer, and backoff is the
	// timeout that they led to.
	misses  int
	backoff time.Duration
}

// timeout returns the timeout of an order that takes least when all is well.
func (p *patience) timeout(least time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(least, p.mean+spreads*p.spread, p.backoff), patienceMost)
}

// heard notes an answer whose delay says nothing, since it waited for an end.
func (p *patience) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses, p.backoff = 0, 0
}

// answered notes an answer and its delay.
func (p *patience) answered(took time.Duration) {
	p.heard()
	p.learn(took)
}

// missed notes an order without an answer, and how long after its timeout this
// was noticed. Only a shortage of processor time delays that, and it delays the
// order and the answer alike. A worker that is down teaches nothing else, so it
// does not lengthen the timeouts of the others.
func (p *patience) missed(timeout, late time.Duration) {
	p.learn(2 * late)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.misses++; p.misses >= missesAllowed {
		p.misses, p.backoff = 0, min(2*timeout, patienceMost)
	}
}

func (p *patience) learn(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spread += ((delay - p.mean).Abs() - p.spread) / spreadShare
	p.mean += (delay - p.mean) / meanShare
}
