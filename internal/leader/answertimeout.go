package leader

import (
	"sync"
	"time"
)

const (
	// maxOrderTimeout bounds the timeout of an order.
	maxOrderTimeout = 1500 * time.Millisecond
	// A new delay has a weight of 1/meanDivisor in the moving average of the
	// delay and of 1/deviationDivisor in that of the deviation. The timeout is
	// timeoutDeviations deviations above the mean. The values are those of
	// RFC 6298 for retransmission timeouts.
	meanDivisor       = 8
	deviationDivisor  = 4
	timeoutDeviations = 4
	// missesBeforeBackoff is the number of consecutive orders, to any workers,
	// that miss their timeout before the timeout is doubled.
	missesBeforeBackoff = 8
)

// answerTimeout adapts the timeout of orders to the delay of their answers. A
// leader that is short of processor time receives answers late. With a fixed
// timeout it would abandon the orders, open new connections and repeat them.
// That takes still more processor time, so it would not recover when the
// shortage is over.
type answerTimeout struct {
	mu sync.Mutex
	// mean is the moving average of the delay of answers, and deviation that
	// of its deviation from the mean.
	mean, deviation time.Duration
	// misses counts consecutive orders without an answer, and backoff is the
	// timeout that they led to.
	misses  int
	backoff time.Duration
}

// timeout returns the timeout of an order. It is minimum while answers are quick.
func (a *answerTimeout) timeout(minimum time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(minimum, a.mean+timeoutDeviations*a.deviation, a.backoff), maxOrderTimeout)
}

// resetMisses records an answer of unknown delay: the worker may have waited for
// the end of a run before it answered.
func (a *answerTimeout) resetMisses() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.misses, a.backoff = 0, 0
}

// recordAnswer records an answer and its delay.
func (a *answerTimeout) recordAnswer(took time.Duration) {
	a.resetMisses()
	a.addDelay(took)
}

// recordMiss records an order without an answer, and how long after its timeout
// the leader noticed. Only a shortage of processor time makes the leader late,
// and it delays both the order and the answer, so twice this time counts as the
// delay. The timeout itself does not count: a worker that is down must not
// lengthen the timeouts of the others.
func (a *answerTimeout) recordMiss(timeout, late time.Duration) {
	a.addDelay(2 * late)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.misses++; a.misses >= missesBeforeBackoff {
		a.misses, a.backoff = 0, min(2*timeout, maxOrderTimeout)
	}
}

// addDelay updates the moving averages with a delay.
func (a *answerTimeout) addDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deviation += ((delay - a.mean).Abs() - a.deviation) / deviationDivisor
	a.mean += (delay - a.mean) / meanDivisor
}
