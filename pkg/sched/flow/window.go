package flow

import "time"

const (
	// minStartWindow and maxStartWindow bound the size of the window. A term begins
	// with the smallest one. It is large enough for the starts of a busy leader whose
	// answers come quickly, and for some workers that answer nothing.
	minStartWindow = 64
	maxStartWindow = 512
	// windowGrowth is by how much an answer in time enlarges the window, so that it
	// grows by a quarter while all starts in it are answered once. windowShrink is
	// the factor by which a late answer shrinks it.
	windowGrowth = 0.25
	windowShrink = 0.8
)

// startWindow bounds the starts that are ordered and not answered yet. Without it, a
// leader that is short of processor time orders starts faster than it sends them. Each
// start then waits behind all earlier ones, whatever its priority, while its run takes
// capacity, so that still more tasks wait. Tasks that the window keeps back wait in order
// of urgency and take nothing.
type startWindow struct {
	size float64
	// ordered counts the starts without a result.
	ordered int
	// shrunkAt is when the size was last reduced.
	shrunkAt time.Time
}

// free returns how many more starts may be ordered.
func (s *startWindow) free() int { return max(int(s.size)-s.ordered, 0) }

// resulted records the result of a start at now. delay is the time since the start was
// ordered, and answered means that its worker answered: only then does the delay tell
// whether the leader keeps up. An answer after more than target is late.
func (s *startWindow) resulted(now time.Time, delay, target time.Duration, answered bool) {
	used := 2*s.ordered >= int(s.size)
	s.ordered--
	switch {
	case !answered:
	case delay > target && now.Sub(s.shrunkAt) > delay:
		s.size, s.shrunkAt = max(s.size*windowShrink, minStartWindow), now
	case delay <= target && used:
		s.size = min(s.size+windowGrowth, maxStartWindow)
	}
}

// noteStartResult records the result of a start in the window.
func (m *Machine) noteStartResult(msg StartResultMsg) {
	delay, answered := time.Duration(0), false
	if w := m.workers[msg.Worker]; w != nil && w.runs[msg.Run] != nil {
		delay, answered = m.now.Sub(w.runs[msg.Run].lastSent), msg.Err == nil
	}
	m.window.resulted(m.now, delay, m.callTime/2, answered)
}
