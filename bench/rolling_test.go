package bench

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// restartEach shuts the entries down gracefully, one after the other, and starts
// each again. It returns the number of shutdowns that cut off requests.
func (r *rollingRestart) restartEach(b *testing.B) (cutShutdowns int) {
	for _, e := range r.s.Live() {
		name := string(e.Name)
		if err := r.s.Stop(name); err != nil {
			b.Logf("graceful shutdown of %s: %v", name, err)
			cutShutdowns++
		}
		require.NoError(b, r.s.Restart(name))
		require.NoError(b, r.s.AwaitServed(b.Context()))
		time.Sleep(rollingPause)
	}
	return cutShutdowns
}

// BenchmarkRollingRestart shuts six entries down gracefully in turn and restarts
// them, under a steady load of quotes and keyed orders that is sent to ready
// entries only. The figure cut-requests counts broken connections, incomplete
// answers and shutdowns that cut off requests.
//
// Targets: cut-requests 0, unknown 0.
func BenchmarkRollingRestart(b *testing.B) {
	for range b.N {
		s := startSite(b)
		r := &rollingRestart{s: s, c: newClient(b), refused: map[sched.Reason]int{}}
		awaitAnswers(b, func() error {
			before := r.answered.Load()
			r.send(http.MethodGet, "Quotes", "/quote")
			if r.answered.Load() == before {
				return errAnswer
			}
			return nil
		})
		clear(r.refused)
		r.answered.Store(0)
		ctx, stop := context.WithCancel(b.Context())
		var wg sync.WaitGroup
		r.load(ctx, &wg, rollingQuotes, func() { r.send(http.MethodGet, "Quotes", "/quote") })
		r.load(ctx, &wg, rollingOrders, func() { r.send(http.MethodPost, "Orders", "/order") })
		began := time.Now()
		cutShutdowns := r.restartEach(b)
		b.ReportMetric(time.Since(began).Seconds(), "seconds")
		stop()
		wg.Wait()
		r.report(b, cutShutdowns)
		s.Close()
	}
}

// report reports the counts and logs the refusals by reason.
func (r *rollingRestart) report(b *testing.B, cutShutdowns int) {
	refused := 0
	for reason, n := range r.refused {
		refused += n
		b.Logf("refused %s: %d", reason, n)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(r.cut.Load()+int64(cutShutdowns)), "cut-requests")
	b.ReportMetric(float64(r.unknown.Load()), "unknown")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(r.noEntry.Load()), "no-entry")
	b.ReportMetric(float64(r.answered.Load()), "answered")
}
