package stats

import (
	"strings"
	"time"
	"unicode"

	dto "github.com/prometheus/client_model/go"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// quantiles are the quantiles that each histogram exposes.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// families converts the registry to Prometheus metric families. The counters of
// all reasons for a refusal, or for a retry, become one family with the label
// "reason".
func (s *Stats) families() []*dto.MetricFamily {
	byFamily := map[string]*dto.MetricFamily{}
	var out []*dto.MetricFamily
	add := func(name string, t dto.MetricType, m *dto.Metric) {
		f := byFamily[name]
		if f == nil {
			f = &dto.MetricFamily{Name: proto.String(name), Type: t.Enum()}
			byFamily[name] = f
			out = append(out, f)
		}
		f.Metric = append(f.Metric, m)
	}
	s.registry.Each(func(name string, v any) {
		switch v := v.(type) {
		case metrics.Counter:
			family, labels := counterFamily(name)
			add(family, dto.MetricType_COUNTER, &dto.Metric{
				Label:   labels,
				Counter: &dto.Counter{Value: proto.Float64(float64(v.Count()))},
			})
		case metrics.Gauge:
			add(snake(name), dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(float64(v.Value()))}})
		case metrics.Histogram:
			add(snake(name), dto.MetricType_SUMMARY, &dto.Metric{Summary: summary(v.Snapshot())})
		}
	})
	return out
}

// counterFamily returns the family name and the labels of a counter.
func counterFamily(name string) (string, []*dto.LabelPair) {
	for _, prefix := range []string{refusedPrefix, retriedPrefix} {
		if reason, ok := strings.CutPrefix(name, prefix); ok {
			label := &dto.LabelPair{Name: proto.String("reason"), Value: proto.String(reason)}
			return snake(strings.TrimSuffix(prefix, ".")) + "_total", []*dto.LabelPair{label}
		}
	}
	return snake(name) + "_total", nil
}

// summary converts a histogram of nanoseconds to a summary in seconds.
func summary(h metrics.Histogram) *dto.Summary {
	s := &dto.Summary{
		SampleCount: proto.Uint64(uint64(h.Count())),
		SampleSum:   proto.Float64(h.Mean() * float64(h.Count()) / float64(time.Second)),
	}
	for i, v := range h.Percentiles(quantiles) {
		s.Quantile = append(s.Quantile, &dto.Quantile{
			Quantile: proto.Float64(quantiles[i]),
			Value:    proto.Float64(v / float64(time.Second)),
		})
	}
	return s
}

// snake converts a Pascal case name to snake case with the prefix "mangoslip".
func snake(name string) string {
	var b strings.Builder
	b.WriteString("mangoslip")
	for _, r := range name {
		switch {
		case unicode.IsUpper(r):
			b.WriteByte('_')
			b.WriteRune(unicode.ToLower(r))
		case unicode.IsLetter(r), unicode.IsDigit(r):
			b.WriteRune(r)
		default:
			b.WriteByte('_')
		}
	}
	return b.String()
}

func byName(a, b *dto.MetricFamily) int { return strings.Compare(a.GetName(), b.GetName()) }
