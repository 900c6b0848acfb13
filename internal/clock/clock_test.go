package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against permissions that stay valid while the machine is suspended, and
// against times that decrease.
func TestSuspensionsCount(t *testing.T) {
	ahead := 3 * time.Hour
	c := newClock(func() time.Duration { return ahead })
	monotonic := time.Now()
	require.Equal(t, monotonic, c.now(monotonic))
	ahead += 4 * time.Second
	require.Equal(t, 4*time.Second, c.now(monotonic).Sub(monotonic))
	ahead += time.Millisecond
	require.Equal(t, 4*time.Second, c.now(monotonic).Sub(monotonic), "the two clocks are not read at the same instant")
	ahead -= time.Millisecond
	require.Equal(t, 4*time.Second, c.now(monotonic).Sub(monotonic))
	ahead += time.Second
	require.Equal(t, 5*time.Second, c.now(monotonic).Sub(monotonic))
}

// Guards against a clock that does not advance or that runs at another rate.
func TestSystemClock(t *testing.T) {
	before := Now()
	time.Sleep(time.Millisecond)
	require.GreaterOrEqual(t, Now().Sub(before), time.Millisecond)
}
