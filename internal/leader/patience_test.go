package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const least = 300 * time.Millisecond

// Guards against timeouts that stay short while all answers are late, or that
// stay long afterwards.
func TestPatience(t *testing.T) {
	t.Run("follows the delay and returns", func(t *testing.T) {
		var p patience
		for range 50 {
			p.answered(500 * time.Millisecond)
		}
		require.InDelta(t, 0.5, p.timeout(least).Seconds(), 0.05)
		for range 50 {
			p.answered(5 * time.Millisecond)
		}
		require.Equal(t, least, p.timeout(least))
	})
	t.Run("is lengthened by orders that the leader was late to give up", func(t *testing.T) {
		var p patience
		for range 50 {
			p.missed(least, 250*time.Millisecond)
			p.heard()
		}
		require.Greater(t, p.timeout(least), 450*time.Millisecond)
	})
	t.Run("is not lengthened by a worker that is down", func(t *testing.T) {
		var p patience
		for range 200 {
			p.missed(least, time.Millisecond)
			p.answered(5 * time.Millisecond)
		}
		require.Equal(t, least, p.timeout(least))
	})
	t.Run("is bounded where nobody answers", func(t *testing.T) {
		var p patience
		for range 200 {
			p.missed(p.timeout(least), 0)
		}
		require.Equal(t, patienceMost, p.timeout(least))
		p.answered(5 * time.Millisecond)
		require.Equal(t, least, p.timeout(least))
	})
}
