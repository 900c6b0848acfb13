package stats_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/stats"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against a shared counter for different reasons, and against output that
// is not valid in the text exposition format.
func TestExposition(t *testing.T) {
	s := stats.New()
	s.Refused(sched.ReasonQueueFull)
	s.Refused(sched.ReasonQueueFull)
	s.Refused(sched.ReasonNoTarget)
	s.Retried(sched.ReasonQueueFull)
	s.Gauge("ConfigRevision", 7)
	s.Observe("RequestSeconds", 250*time.Millisecond)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	got, err := parser.TextToMetricFamilies(w.Body)
	require.NoError(t, err)
	refused := map[string]float64{}
	for _, m := range got["mangoslip_refused_total"].GetMetric() {
		refused[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
	}
	require.Equal(t, map[string]float64{"QueueFull": 2, "NoTarget": 1}, refused)
	require.Equal(t, 7.0, got["mangoslip_config_revision"].GetMetric()[0].GetGauge().GetValue())
	require.Equal(t, 0.25, got["mangoslip_request_seconds"].GetMetric()[0].GetSummary().GetSampleSum())
}
