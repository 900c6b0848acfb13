package flow

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxValue is the size of the largest value that the store accepts, in bytes.
const maxValue = 1 << 20

// requirePairs checks that the estimates are within their bounds, that they fit into a
// record, and that the lists of images agree with them.
func requirePairs(t *testing.T, d *interference) {
	t.Helper()
	require.LessOrEqual(t, len(d.logOdds), maxPairs)
	require.Less(t, len(d.encode()), maxValue)
	images := map[string]bool{}
	for k := range d.logOdds {
		images[k.bestEffort] = true
	}
	require.Len(t, d.bestEffort, len(images))
	require.Len(t, d.interferenceShares, len(images))
	require.Len(t, d.estimates, len(d.logOdds))
}

// Guards against callers whose jobs name ever new images, which made the estimates grow
// until the leader had no memory left and the store refused their record.
func TestPairsAreBounded(t *testing.T) {
	name := func(kind string, i int) string { return fmt.Sprintf("%s%063d", kind, i) }
	t.Run("BestEffortImages", func(t *testing.T) {
		var d interference
		d.init()
		for i := range 2 * maxPairs {
			d.set("critical", name("b", i), 0.5)
		}
		requirePairs(t, &d)
		require.NotContains(t, d.bestEffort, name("b", 0), "the image that became known first makes room")
		require.Contains(t, d.bestEffort, name("b", 2*maxPairs-1))
	})
	t.Run("CriticalImages", func(t *testing.T) {
		var d interference
		d.init()
		for i := range 2 * maxPairs {
			d.set(name("c", i), strings.Repeat("b", 64), 0.5)
		}
		requirePairs(t, &d)
	})
}
