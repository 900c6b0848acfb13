// Package stats keeps the metrics of one process in a go-metrics registry:
// counters, among them one for each reason of refusals and retries, gauges and
// histograms of durations.
//
// # Usage
//
//	s := stats.New()
//	s.Refused(sched.ReasonQueueFull)
//	s.Observe("RequestSeconds", latency)
//	mux.Handle("/metrics", s)
//
// ServeHTTP responds in the Prometheus text exposition format, or in JSON if the
// request accepts application/json.
package stats

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	refusedPrefix = "Refused."
	retriedPrefix = "Retried."
	// sampleSize and sampleAlpha are the values that go-metrics recommends for
	// an exponentially decaying sample biased to the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Stats is a registry of metrics. It is safe for concurrent use.
type Stats struct{ registry metrics.Registry }

// New returns an empty registry.
func New() *Stats { return &Stats{registry: metrics.NewRegistry()} }

// Refused counts a refused request by the reason.
func (s *Stats) Refused(r sched.Reason) { s.Count(refusedPrefix+string(r), 1) }

// Retried counts a retry by the reason of the failed attempt.
func (s *Stats) Retried(r sched.Reason) { s.Count(retriedPrefix+string(r), 1) }

// Count adds n to a counter.
func (s *Stats) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(n)
}

// Gauge sets a gauge to v.
func (s *Stats) Gauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, s.registry).Update(v)
}

// Observe adds a duration to a histogram, which is exposed in seconds.
func (s *Stats) Observe(name string, d time.Duration) {
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	s.registry.GetOrRegister(name, newHistogram).(metrics.Histogram).Update(int64(d))
}

// ServeHTTP writes all metrics in the format that the request accepts.
func (s *Stats) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(s.registry, w)
		return
	}
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	enc := expfmt.NewEncoder(w, format)
	families := s.families()
	slices.SortFunc(families, byName)
	for _, f := range families {
		if enc.Encode(f) != nil {
			return // The client has disconnected.
		}
	}
}
