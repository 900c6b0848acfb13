package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const minimum = 300 * time.Millisecond

// Guards against timeouts that stay short while all answers are late, that stay
// long afterwards, or that one unresponsive worker lengthens for all.
func TestPatience(t *testing.T) {
	t.Run("follows the delay and returns", func(t *testing.T) {
		var p answerTimeout
		for range 50 {
			p.recordAnswer(500 * time.Millisecond)
		}
		require.InDelta(t, 0.5, p.timeout(minimum).Seconds(), 0.05)
		for range 50 {
			p.recordAnswer(5 * time.Millisecond)
		}
		require.Equal(t, minimum, p.timeout(minimum))
	})
	t.Run("is lengthened by orders that the leader was late to give up", func(t *testing.T) {
		var p answerTimeout
		for range 50 {
			p.recordMiss(minimum, 250*time.Millisecond)
			p.resetMisses()
		}
		require.Greater(t, p.timeout(minimum), 450*time.Millisecond)
	})
	t.Run("is not lengthened by a worker that is down", func(t *testing.T) {
		var p answerTimeout
		for range 200 {
			p.recordMiss(minimum, time.Millisecond)
			p.recordAnswer(5 * time.Millisecond)
		}
		require.Equal(t, minimum, p.timeout(minimum))
	})
	t.Run("is bounded where nobody answers", func(t *testing.T) {
		var p answerTimeout
		for range 200 {
			p.recordMiss(p.timeout(minimum), 0)
		}
		require.Equal(t, maxOrderTimeout, p.timeout(minimum))
		p.recordAnswer(5 * time.Millisecond)
		require.Equal(t, minimum, p.timeout(minimum))
	})
}
