package bench

import (
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/site"
)

// overheadText is a configuration of one data centre with two shards. With three
// entries, one of them owns no shard and forwards all its requests.
const overheadText = `
DataCentres = ["Nyarugenge"]
ShardsPerDataCentre = 2

[WorkerSize]
CPU = 32
Memory = "125GB"

[[Services]]
Name = "Quotes"
State = "Started"
Team = "Pricing"
Objective = "500ms"
Timeout = "2s"
Slots = 8
Connections = 64
SlotResources = { CPU = "500m", Memory = "2GiB" }
IdempotentMethods = ["GET"]

[[Teams]]
Name = "Pricing"
MaxInFlight = 600
`

// Size of the overhead benchmark. The rounds of the request paths alternate, so
// that other load on the machine affects all paths alike.
const (
	overheadRounds  = 12
	closedRequests  = 2000
	closedInFlight  = 8
	openRequests    = 300
	openRate        = 600
	warmUpRequests  = 800
	idleMeasurement = time.Second
	directPath      = "direct"
	ownedPath       = "owned"
	forwardedPath   = "forwarded"
	overheadService = "Quotes"
)

// requestPath is one of the compared paths from a caller to a target.
type requestPath struct {
	name, url string
	cpu       []time.Duration
	latencies []time.Duration
}

// measure runs one round and records the latencies and the processor time for
// each request. The share idle of a processor, which the site uses without load,
// is subtracted.
func (p *requestPath) measure(b *testing.B, c *http.Client, idle float64, loop func(send func() error) ([]time.Duration, error)) {
	runtime.GC()
	began, used := time.Now(), cpuTime(b)
	took, err := loop(func() error { return get(c, p.url, overheadService) })
	used = cpuTime(b) - used - time.Duration(idle*float64(time.Since(began)))
	require.NoError(b, err, p.name)
	p.cpu = append(p.cpu, used/time.Duration(len(took)))
	p.latencies = append(p.latencies, took...)
}

// idleCPUShare returns the share of a processor that the site uses without load.
func idleCPUShare(b *testing.B) float64 {
	used := cpuTime(b)
	time.Sleep(idleMeasurement)
	return float64(cpuTime(b)-used) / float64(idleMeasurement)
}

// BenchmarkOverhead compares requests through an entry that owns a worker of
// the service (owned), and through an entry that forwards them (forwarded),
// with requests sent directly to a target (direct). Callers, entries and targets
// run in one process, so the processor time covers all of them in each case.
//
// Target: cpu-ratio at most 2.5 (owned).
func BenchmarkOverhead(b *testing.B) {
	s := startSite(b, site.WithText(overheadText), site.WithEntries(3), site.WithWorkers(8))
	c := newClient(b)
	paths := func() []*requestPath {
		service := "/s/" + overheadService + quotePath
		return []*requestPath{
			{name: directPath, url: "http://" + dataAddress(b, s, overheadService) + quotePath},
			{name: ownedPath, url: "http://" + entryWith(b, s, true).FrontAddr.String() + service},
			{name: forwardedPath, url: "http://" + entryWith(b, s, false).FrontAddr.String() + service},
		}
	}
	for _, p := range paths() {
		awaitAnswers(b, func() error { return get(c, p.url, overheadService) })
		_, err := closedLoop(warmUpRequests, closedInFlight, func() error { return get(c, p.url, overheadService) })
		require.NoError(b, err, p.name)
	}
	idle := idleCPUShare(b)
	b.Run("closed", func(b *testing.B) {
		comparePaths(b, c, idle, paths(), func(send func() error) ([]time.Duration, error) {
			return closedLoop(closedRequests, closedInFlight, send)
		})
	})
	b.Run("open", func(b *testing.B) {
		comparePaths(b, c, idle, paths(), func(send func() error) ([]time.Duration, error) {
			return openLoop(openRequests, openRate, send)
		})
	})
}

// comparePaths measures the paths in alternating rounds and reports each as a
// ratio to the first.
func comparePaths(b *testing.B, c *http.Client, idle float64, paths []*requestPath, loop func(send func() error) ([]time.Duration, error)) {
	for range overheadRounds {
		for _, p := range paths {
			p.measure(b, c, idle, loop)
		}
	}
	base := paths[0]
	for _, p := range paths {
		b.Run(p.name, func(b *testing.B) {
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(median(p.cpu)), "cpu-ns")
			if p == base {
				return
			}
			b.ReportMetric(medianRatio(p.cpu, base.cpu), "cpu-ratio")
			b.ReportMetric(float64(quantileOf(p.latencies, 0.99))/float64(quantileOf(base.latencies, 0.99)), "p99-ratio")
		})
	}
}

// medianRatio returns the median of the ratios of the rounds.
func medianRatio(of, to []time.Duration) float64 {
	ratios := make([]float64, len(of))
	for i := range of {
		ratios[i] = float64(of[i]) / float64(to[i])
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// median returns the median of durations.
func median(ds []time.Duration) time.Duration {
	ds = slices.Clone(ds)
	slices.Sort(ds)
	return ds[len(ds)/2]
}
