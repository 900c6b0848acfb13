package flow

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// clockDrift is the factor by which a worker's clock may run slower than the
// leader's. It leaves a margin over the 2% that the platform states.
const clockDrift = 1.03

// clockRounding is by how much a reading may be too low, because it is in whole
// milliseconds.
const clockRounding = 2 * time.Millisecond

// recordClock stores a reading of the worker's clock from an answer to a call that began
// at asked.
func (w *worker) recordClock(asked, now time.Time, clock time.Duration) {
	if w.hasClock && clock < w.minClock(now) {
		return // The answer arrived after a later one.
	}
	w.clock, w.clockAt, w.clockAsked, w.hasClock = clock, now, asked, true
}

// minClock returns the lowest reading that the worker's clock can have at a time, which
// may be before the last reading.
func (w *worker) minClock(at time.Time) time.Duration {
	if at.Before(w.clockAt) {
		return w.clock - w.clockAt.Sub(at)
	}
	return w.clock + time.Duration(float64(at.Sub(w.clockAt))/clockDrift)
}

// isSameIncarnation reports whether a reading in the answer to a call that began at asked
// is certainly one of the incarnation that gave the last reading. The clock of an
// incarnation that began later counts from its start.
func (w *worker) isSameIncarnation(asked, now time.Time, clock time.Duration) bool {
	return clock >= w.minClock(asked)-clockRounding && clock > now.Sub(w.clockAsked)
}

// recordReply uses the reply to an order other than a lease renewal. Such a reply does
// not name the incarnation that gave it. recordReply reports whether that is certainly
// the one that is known.
func (m *Machine) recordReply(w *worker, res Result, reply sched.OrderReply) bool {
	if res.Err != nil || !reply.HasClock {
		return false
	}
	if reply.Refusal == sched.OrderAccepted {
		w.recordContact(res.Sent, m.now)
	}
	w.unansweredSince, w.suspected = time.Time{}, false
	if !w.hasClock || m.isOutdated(w, res) {
		return false
	}
	if reply.Clock < w.minClock(res.Sent)-clockRounding {
		m.log("worker's clock began anew", "worker", w.name(), "clock", reply.Clock, "least", w.minClock(res.Sent),
			"born", w.member.Born, "runs", len(w.runs))
		m.expectRestart(w)
		m.maintainWorker(w)
		return false
	}
	same := w.isSameIncarnation(res.Sent, m.now, reply.Clock)
	w.recordClock(res.Sent, m.now, reply.Clock)
	return same
}

// extendDeadline returns a reading of the worker's clock that is at most one lease
// ahead, also if the clock is slow. If it is not, the lease is shorter by a part of the
// age of the last reading.
func (m *Machine) extendDeadline(w *worker) time.Duration {
	m.extendExpiry(w, m.lease)
	return w.minClock(m.now) + m.lease
}

// maxClockAge is the age of the last reading of an idle worker's clock from which the
// worker is asked for a new one. Until then a lease is at most 0.9 s shorter.
const maxClockAge = 30 * time.Second

// needsReading reports whether the worker has to be asked for a reading of its clock.
func (w *worker) needsReading(now time.Time) bool {
	return w.listed && w.hasClock && now.Sub(w.clockAt) > maxClockAge && now.Sub(w.renewal.sent) > maxClockAge
}

// extendExpiry records that the worker may continue its runs for one more lease,
// measured by its clock, which may be slow. A later incarnation that carries the order
// out has a clock that began anew, for which the deadline is far ahead, and so takes the
// longest lease.
func (m *Machine) extendExpiry(w *worker, lease time.Duration) {
	w.leasesExpireAt = later(w.leasesExpireAt, m.expiry(lease))
	w.unattributedExpireAt = later(w.unattributedExpireAt, m.expiry(m.maxLease))
}

// noteOnWay records that an order with a deadline, whose result has arrived, may have
// waited for some time before it was sent. A later incarnation may just have received it.
func (m *Machine) noteOnWay(w *worker) {
	w.unattributedExpireAt = later(w.unattributedExpireAt, m.expiry(m.maxLease))
}

// expiry returns when a lease that is ordered now has certainly expired. With the usual
// lease this holds for the incarnation that the order is meant for: its deadline is a
// reading of that one's clock, so the lease does not grow if the order is late. With the
// longest lease it holds for any incarnation that gets the order within maxOrderDelay.
func (m *Machine) expiry(lease time.Duration) time.Time {
	return m.now.Add(time.Duration(float64(lease)*clockDrift) + maxOrderDelay)
}

// expiresAt returns when a run has certainly ended if its worker stays silent.
func (r *run) expiresAt() time.Time {
	if r.attributed() {
		return r.worker.leasesExpireAt
	}
	return later(r.worker.leasesExpireAt, r.worker.unattributedExpireAt)
}

// lastExpiry returns when all runs on the worker have certainly ended if it stays silent.
func (w *worker) lastExpiry() time.Time {
	at := w.leasesExpireAt
	for _, r := range w.list {
		at = later(at, r.expiresAt())
	}
	return at
}

// leasesExpired reports whether the first runs on the worker have ended if it stayed
// silent. Others may last longer, see [run.expiresAt].
func (w *worker) leasesExpired(now time.Time) bool {
	return !w.leasesExpireAt.IsZero() && now.After(w.leasesExpireAt)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
