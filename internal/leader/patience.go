package leader

import (
	"sync"
	"time"
)

const (
	// maxOrderTimeout bounds the timeout of an order.
	maxOrderTimeout = 1500 * time.Millisecond
	// meanDivisor and spreadShare are the weights of a new delay in the moving
	// averages, and spreads how many spreads a timeout is above the mean: the
	// values that RFC 6298 gives for retransmission timeouts.
	meanDivisor       = 8
	deviationDivisor  = 4
	timeoutDeviations = 4
	// missesBeforeBackoff is how many orders in a row may miss their timeout, to
	// whichever worker, until the timeout is doubled.
	missesBeforeBackoff = 8
)

// answerTimeout is how long orders wait for their answers. A leader that is short
// of processor time gets answers late. Under a fixed timeout it would give
// them up, open new connections and repeat the orders, which takes still more
// processor time, and it would not recover when the shortage is over.
type answerTimeout struct {
	mu sync.Mutex
	// mean and deviation are moving averages of the delay of answers.
	mean, deviation time.Duration
	// misses counts the orders in a row without an answer, and backoff is the
	// timeout that they led to.
	misses  int
	backoff time.Duration
}

// timeout returns the timeout of an order that takes least when all is well.
func (p *answerTimeout) timeout(minimum time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(minimum, p.mean+timeoutDeviations*p.deviation, p.backoff), maxOrderTimeout)
}

// resetMisses notes an answer whose delay says nothing, since it waited for an end.
func (p *answerTimeout) resetMisses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses, p.backoff = 0, 0
}

// recordAnswer notes an answer and its delay.
func (p *answerTimeout) recordAnswer(took time.Duration) {
	p.resetMisses()
	p.addDelay(took)
}

// recordMiss notes an order without an answer, and how long after its timeout this
// was noticed. Only a shortage of processor time delays that, and it delays the
// order and the answer alike. A worker that is down teaches nothing else, so it
// does not lengthen the timeouts of the others.
func (p *answerTimeout) recordMiss(timeout, late time.Duration) {
	p.addDelay(2 * late)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.misses++; p.misses >= missesBeforeBackoff {
		p.misses, p.backoff = 0, min(2*timeout, maxOrderTimeout)
	}
}

func (p *answerTimeout) addDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deviation += ((delay - p.mean).Abs() - p.deviation) / deviationDivisor
	p.mean += (delay - p.mean) / meanDivisor
}
