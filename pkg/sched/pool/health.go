package pool

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Constants of worker ejection.
const (
	// ejectAfter is the number of consecutive failures that ejects a worker.
	ejectAfter = 5
	// firstEject and maxEject bound the time before an ejected worker is
	// probed. The time doubles with each failed probe.
	firstEject = time.Second
	maxEject   = 30 * time.Second
	// ejectDivisor limits the workers that may be ejected at once to a third.
	// If more of them fail, the cause probably lies outside the workers.
	ejectDivisor = 3
)

// healthState says whether a worker gets new requests.
type healthState uint8

const (
	healthy healthState = iota
	ejected
	probing
)

// health tracks the consecutive failures of a worker.
type health struct {
	state    healthState
	failures int
	// probeAt is when an ejected worker is probed.
	probeAt time.Time
	// ejectTime is the length of the latest ejection.
	ejectTime time.Duration
}

// bound limits the slots of an unhealthy worker: none while it is ejected, one
// while it is probed.
func (h *health) bound(n int) int {
	switch h.state {
	case ejected:
		return 0
	case probing:
		return min(n, 1)
	default:
		return n
	}
}

// countsAsFailure reports whether a request that ended for a reason counts as a
// failure of its worker.
func countsAsFailure(r sched.Reason) bool {
	switch r {
	case sched.ReasonNoTarget, sched.ReasonTargetRefused, sched.ReasonTargetBroken, sched.ReasonTargetTimeout:
		return true
	default:
		return false
	}
}

// observe updates the health of a worker when a request on it ends.
func (m *Machine) observe(now time.Time, w *worker, msg ReleaseMsg) {
	h := &w.health
	switch {
	case countsAsFailure(msg.Reason):
		h.failures++
		if h.state == probing || h.state == healthy && h.failures >= ejectAfter {
			m.eject(now, w)
		}
	case msg.Outcome == sched.Ran && h.state == ejected:
		// The request was sent before the ejection, so its answer does not show
		// that the worker has recovered.
	case msg.Outcome == sched.Ran:
		if h.state == probing {
			m.slowStart(now, w)
		}
		*h = health{}
	}
}

// eject stops new requests to a worker until it is probed. It does nothing if a
// third of the workers is unhealthy already. A worker that failed its probe is
// ejected again regardless, since it already counts as unhealthy.
func (m *Machine) eject(now time.Time, w *worker) {
	h := &w.health
	if h.state == healthy && (m.unhealthyCount()+1)*ejectDivisor > m.listedCount() {
		return
	}
	h.ejectTime = min(max(2*h.ejectTime, firstEject), maxEject)
	h.state = ejected
	h.probeAt = now.Add(h.ejectTime)
}

// probe lets each ejected worker take one request when its ejection time is
// over.
func (m *Machine) probe(now time.Time) {
	for _, w := range m.sortedWorkers {
		if w.health.state == ejected && !now.Before(w.health.probeAt) {
			w.health.state = probing
			m.refresh(w)
		}
	}
}

// slowStart restarts the slow start of the targets of a worker.
func (m *Machine) slowStart(now time.Time, w *worker) {
	for _, t := range w.targets {
		t.load.FirstSeen = now
	}
}

// unhealthyCount returns the number of listed workers that are ejected or
// probed.
func (m *Machine) unhealthyCount() int {
	n := 0
	for _, w := range m.sortedWorkers {
		if w.listed && w.health.state != healthy {
			n++
		}
	}
	return n
}

// listedCount returns the number of listed workers.
func (m *Machine) listedCount() int {
	n := 0
	for _, w := range m.sortedWorkers {
		if w.listed {
			n++
		}
	}
	return n
}
