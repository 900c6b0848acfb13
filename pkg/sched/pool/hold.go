package pool

import "time"

const (
	// inventoryMargin is the time after which a request that waited in the
	// sockets of a worker has started or ended there, counted from an answer of
	// the worker. It covers the delivery of the request.
	inventoryMargin = 250 * time.Millisecond
	// maxAnswerGap is the longest time between two answers of a worker during
	// which it counts as not frozen.
	maxAnswerGap = 2 * inventoryInterval
	// maxHold bounds how long a slot is held for a worker that does not answer.
	// A process that was frozen for longer is assumed not to continue.
	maxHold = 10 * time.Minute
)

// hold keeps the slot of a request with an unknown outcome occupied. The target
// may still run the request, or the request may wait in the sockets of a frozen
// worker and start later, so granting the slot again could exceed the worker's
// limits.
//
// The first inventory that is requested after the request was given up shows
// only that the worker is not frozen any more. The request then starts within
// inventoryMargin or never, so an inventory that is requested after that shows
// whether the slot is free.
//
// Inventories do not tell requests apart. On a worker that is never idle the hold
// ends when the worker has answered regularly for longer than a request may run.
type hold struct {
	// since is when the request was given up, and answeredAt when the first
	// inventory that was requested after that arrived, zero before. lastAnswer is
	// when the last one arrived.
	since, answeredAt, lastAnswer time.Time
	// answering is for how long the worker has answered inventories regularly.
	answering time.Duration
	// timeout bounds the run time of the request from its start.
	timeout time.Duration
}

// over reports whether the request certainly does not run any more.
func (h *hold) over(now time.Time) bool {
	if !now.Before(h.since.Add(maxHold)) {
		return true
	}
	// A pause that is shorter than maxAnswerGap goes unnoticed and lengthens the
	// run of the request.
	return h.answering >= h.timeout+maxAnswerGap
}

// recordAnswer records that the worker answered an inventory that was requested
// after the request was given up.
func (h *hold) recordAnswer(now time.Time) {
	if h.answeredAt.IsZero() {
		h.answeredAt, h.lastAnswer = now, now
	}
	if gap := now.Sub(h.lastAnswer); gap <= maxAnswerGap {
		h.answering += gap
	}
	h.lastAnswer = now
}

// shownBy reports whether an inventory that was requested at askedAt counts the
// request if it runs.
func (h *hold) shownBy(askedAt time.Time) bool {
	return !h.answeredAt.IsZero() && !askedAt.Before(h.answeredAt.Add(inventoryMargin))
}

// hold keeps the slot of a request that was given up occupied.
func (t *target) hold(now time.Time) {
	timeout := t.service.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	t.holds = append(t.holds, hold{since: now, timeout: timeout})
}

// endHolds ends the holds of requests that cannot run any more, and reports
// whether there were any.
func (t *target) endHolds(now time.Time) bool {
	kept := t.holds[:0]
	for _, h := range t.holds {
		if !h.over(now) {
			kept = append(kept, h)
		}
	}
	changed := len(kept) < len(t.holds)
	t.holds = kept
	return changed
}

// applyInventory ends the holds that an inventory shows to be free. busy is the
// number of busy slots in it. It does not tell requests apart, so each busy slot
// may be that of a request that was given up.
func (t *target) applyInventory(now, askedAt time.Time, busy int) {
	kept := t.holds[:0]
	mayRun := busy
	for _, h := range t.holds {
		switch {
		case !h.shownBy(askedAt):
			kept = append(kept, h)
		case mayRun > 0:
			mayRun--
			kept = append(kept, h)
		}
	}
	for i := range kept {
		if !askedAt.Before(kept[i].since) {
			kept[i].recordAnswer(now)
		}
	}
	t.holds = kept
}
