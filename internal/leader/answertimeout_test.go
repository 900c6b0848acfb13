package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const minimum = 300 * time.Millisecond

// Guards against timeouts that stay short while all answers are late, that stay
// long afterwards, or that one unresponsive worker lengthens for all.
func TestAnswerTimeout(t *testing.T) {
	t.Run("follows the delay and returns", func(t *testing.T) {
		var a answerTimeout
		for range 50 {
			a.recordAnswer(500 * time.Millisecond)
		}
		require.InDelta(t, 0.5, a.timeout(minimum).Seconds(), 0.05)
		for range 50 {
			a.recordAnswer(5 * time.Millisecond)
		}
		require.Equal(t, minimum, a.timeout(minimum))
	})
	t.Run("is lengthened by orders that the leader was late to give up", func(t *testing.T) {
		var a answerTimeout
		for range 50 {
			a.recordMiss(minimum, 250*time.Millisecond)
			a.resetMisses()
		}
		require.Greater(t, a.timeout(minimum), 450*time.Millisecond)
	})
	t.Run("is not lengthened by a worker that is down", func(t *testing.T) {
		var a answerTimeout
		for range 200 {
			a.recordMiss(minimum, time.Millisecond)
			a.recordAnswer(5 * time.Millisecond)
		}
		require.Equal(t, minimum, a.timeout(minimum))
	})
	t.Run("is bounded where nobody answers", func(t *testing.T) {
		var a answerTimeout
		for range 200 {
			a.recordMiss(a.timeout(minimum), 0)
		}
		require.Equal(t, maxOrderTimeout, a.timeout(minimum))
		a.recordAnswer(5 * time.Millisecond)
		require.Equal(t, minimum, a.timeout(minimum))
	})
}
