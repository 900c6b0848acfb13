package flow

import "time"

// Effort is what the last update cost, for logs. The durations are zero unless
// [WithStopwatch] is set.
type Effort struct {
	// Pass is the duration of the scheduling pass, zero if there was none. Order is
	// how much of it went to ordering the waiting steps, and Preempt how much to the
	// search for runs to preempt.
	Pass, Order, Preempt time.Duration
	// Steps counts the steps that waited when the pass began, Ratings the ratings of
	// workers in it, and Starts the starts that it ordered. Examined counts the
	// workers and runs that the search for runs to preempt looked at.
	Steps, Ratings, Starts, Examined int
}

// Effort returns what the last update cost.
func (m *Machine) Effort() Effort { return m.effort }

// WithStopwatch sets the function that returns the time for the durations in
// [Effort]. Decisions do not depend on it.
func WithStopwatch(now func() time.Time) Option { return func(o *options) { o.stopwatch = now } }

// timed returns a function that adds the time since the call of timed to d.
func (m *Machine) timed(d *time.Duration) func() {
	if m.stopwatch == nil {
		return func() {}
	}
	began := m.stopwatch()
	return func() { *d += m.stopwatch().Sub(began) }
}
