package pool

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Constants of worker ejection.
const (
	// ejectAfter is the number of failures in a row that ejects a worker.
	ejectAfter = 5
	// firstEject and maxEject bound the time before an ejected worker is
	// probed; it doubles with each failed probe.
	firstEject = time.Second
	maxEject   = 30 * time.Second
	// ejectDivisor is the divisor of the share of workers that may be ejected
	// at once: a third. More failures point at a cause outside the workers.
	ejectDivisor = 3
)

// healthState says whether a worker gets new work.
type healthState uint8

const (
	healthy healthState = iota
	ejected
	probing
)

// health tracks the failures of a worker in a row.
type health struct {
	state     healthState
	failures  int
	probeAt   time.Time
	ejectTime time.Duration
}

// bound limits the slots of an unhealthy worker: none while ejected, one while
// probed.
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

// countsAsFailure reports whether a released request counts against its worker.
func countsAsFailure(r sched.Reason) bool {
	switch r {
	case sched.ReasonNoTarget, sched.ReasonTargetRefused, sched.ReasonTargetBroken, sched.ReasonTargetTimeout:
		return true
	default:
		return false
	}
}

// observe records the end of a request on a worker.
func (m *Machine) observe(now time.Time, w *worker, msg ReleaseMsg) {
	h := &w.health
	switch {
	case countsAsFailure(msg.Reason):
		h.failures++
		if h.state == probing || h.state == healthy && h.failures >= ejectAfter {
			m.eject(now, w)
		}
	case msg.Outcome == sched.Ran && h.state == ejected:
		// An answer to a request from before the ejection.
	case msg.Outcome == sched.Ran:
		if h.state == probing {
			m.slowStart(now, w)
		}
		*h = health{}
	}
}

// eject stops new work on a worker until it is probed. A worker that failed a
// probe is ejected again whatever the share, since it counts already.
func (m *Machine) eject(now time.Time, w *worker) {
	h := &w.health
	if h.state == healthy && (m.unhealthyCount()+1)*ejectDivisor > m.listedCount() {
		return
	}
	h.ejectTime = min(max(2*h.ejectTime, firstEject), maxEject)
	h.state = ejected
	h.probeAt = now.Add(h.ejectTime)
}

// probe lets ejected workers whose time has come take one request.
func (m *Machine) probe(now time.Time) {
	for _, w := range m.sortedWorkers {
		if w.health.state == ejected && !now.Before(w.health.probeAt) {
			w.health.state = probing
			m.refresh(w)
		}
	}
}

// slowStart puts the targets of a worker into slow start.
func (m *Machine) slowStart(now time.Time, w *worker) {
	for _, t := range w.targets {
		t.load.Since = now
	}
}

// unhealthyCount counts the workers that are ejected or probed.
func (m *Machine) unhealthyCount() int {
	n := 0
	for _, w := range m.sortedWorkers {
		if w.listed && w.health.state != healthy {
			n++
		}
	}
	return n
}

// listedCount counts the workers in the list.
func (m *Machine) listedCount() int {
	n := 0
	for _, w := range m.sortedWorkers {
		if w.listed {
			n++
		}
	}
	return n
}
