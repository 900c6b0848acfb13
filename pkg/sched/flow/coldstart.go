package flow

import "time"

// coldWorkerPenalty ranks cold workers, which are slow for some time after their start,
// after others of the same suitability. It outweighs any difference in free capacity
// (1 + memoryWeight), and no other difference.
const coldWorkerPenalty = 1.25

// coldStart is until when a worker is slow after its start. left and born are those of
// the registration that said so.
type coldStart struct {
	until time.Time
	left  time.Duration
	born  int64
}

// noteCold determines until when the worker is slow. The same registration is read many
// times, and only the first time counts.
func (w *worker) noteCold(now time.Time) {
	left, born := w.member.ColdLeft, w.member.Born
	if left != w.cold.left || born != w.cold.born {
		w.cold = coldStart{now.Add(left), left, born}
	}
}

// coldPenalty returns the penalty of a worker that is slow after its start. It applies
// only where data centres can be evacuated: whole data centres come back cold there.
func (m *Machine) coldPenalty(w *worker) float64 {
	if m.evacuateTime > 0 && m.now.Before(w.cold.until) {
		return coldWorkerPenalty
	}
	return 0
}
