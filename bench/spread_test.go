package bench

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/internal/site"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Size of BenchmarkConfigSpread.
const (
	propagationEdits = 10
	propagationPoll  = time.Millisecond
	// propagationBound is the longest wait for an edit, far above the target.
	propagationBound = 20 * time.Second
)

// BenchmarkConfigSpread reports the seconds from the acceptance of an edit until
// it is in force at all six entries, as the worst of 10 edits. Targets: at most 2
// with watches, at most 5 if the store sends no watch events.
func BenchmarkConfigSpread(b *testing.B) {
	s := startSite(b)
	edits := 0
	for _, c := range []struct {
		name   string
		faults fake.StoreFaults
	}{{"watch", fake.StoreFaults{}}, {"silent", fake.StoreFaults{SilentWatch: true}}} {
		b.Run(c.name, func(b *testing.B) {
			s.Store.SetFaults(c.faults)
			var worst time.Duration
			for range b.N {
				for range propagationEdits {
					edits++
					worst = max(worst, propagationTime(b, s, edits))
				}
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(worst.Seconds(), "seconds")
		})
	}
}

// propagationTime submits an edit to one of the entries and returns the time from
// its acceptance until it is in force at all entries.
func propagationTime(b *testing.B, s *site.Site, n int) time.Duration {
	text := strings.Replace(s.Text(), `Objective = "50ms"`, fmt.Sprintf("Objective = %q", time.Duration(50+n)*time.Millisecond), 1)
	require.NotEqual(b, s.Text(), text)
	entries := s.Entries()
	editor := entries[n%len(entries)]
	ctx, cancel := context.WithTimeout(b.Context(), propagationBound)
	defer cancel()
	revision, err := editor.Edit(ctx, text, "bench", editor.Revision())
	require.NoError(b, err)
	accepted := time.Now()
	for !inForce(entries, revision) {
		require.Less(b, time.Since(accepted), propagationBound, "revision %d is not in force everywhere", revision)
		time.Sleep(propagationPoll)
	}
	return time.Since(accepted)
}

// inForce reports whether all entries have revision r or a later one in force.
func inForce(entries []*site.Entry, r sched.Revision) bool {
	for _, e := range entries {
		if e.Revision() < r {
			return false
		}
	}
	return true
}
