package flow

import "time"

// maxAnswerDelay bounds how long a call takes, without the time for which the worker may
// delay its answer. The timeouts of all calls are shorter. Only if the process was
// suspended meanwhile does an answer arrive later, and it may have been given before.
const maxAnswerDelay = 2 * time.Second

// recordContact records that the worker accepted an order that was sent at the given
// time, or at which the worker's permitted delay began to be over. A refusal does not
// show that the worker has compared the fencing token, so it confirms no term.
func (w *worker) recordContact(sent, now time.Time) {
	at := sent.Add(maxAnswerDelay)
	if now.Before(at) {
		at = now
	}
	if at.After(w.contactAt) {
		w.contactAt = at
	}
}
