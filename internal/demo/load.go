package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mangoslip/mangoslip/internal/audit"
	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Requests and jobs per second, and the number of tasks in a job.
const (
	quoteRate   = 300
	orderRate   = 40
	archiveRate = 10
	jobRate     = 4
	jobTasks    = 10
	// repeatShare is the share of orders that are sent twice at the same
	// time with the same key.
	repeatShare = 0.3
	// minLatency and maxLatency are the bounds of the histograms, in
	// microseconds.
	minLatency, maxLatency = 10, 120_000_000
)

// load simulates the callers. It is open-loop: requests are sent at a fixed
// rate, however slow the responses are.
type load struct {
	s    *session
	log  audit.Log
	http *http.Client
	wg   sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	counts   Summary
	latency  *hdrhistogram.Histogram
	lastID   int
	accepted []sched.JobSpec
	// perService and reasons are printed at the end.
	perService map[string]*hdrhistogram.Histogram
	reasons    map[string]int
}

func newLoad(s *session, seed uint64) *load {
	return &load{
		s: s, rng: rand.New(rand.NewPCG(seed, 1)),
		latency:    hdrhistogram.New(minLatency, maxLatency, 3),
		perService: map[string]*hdrhistogram.Histogram{}, reasons: map[string]int{},
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 64, DisableCompression: true,
		}},
	}
}

// run sends requests and jobs until ctx ends and waits for the responses.
func (l *load) run(ctx context.Context) {
	l.s.loadStarted = time.Now()
	l.callAtRate(ctx, quoteRate, l.quote)
	l.callAtRate(ctx, orderRate, l.order)
	l.callAtRate(ctx, archiveRate, l.archive)
	l.callAtRate(ctx, jobRate, l.submitJob)
	l.callAtRate(ctx, 10, func() { l.s.logRevisions(&l.log) })
	<-ctx.Done()
	l.wg.Wait()
	l.http.CloseIdleConnections()
}

// callAtRate calls f perSecond times a second until ctx ends, each time on a
// new goroutine.
func (l *load) callAtRate(ctx context.Context, perSecond int, f func()) {
	l.wg.Go(func() {
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				l.wg.Go(f)
			}
		}
	})
}

// request is one request of a caller.
type request struct {
	method, service, path, key string
	idempotent                 bool
	// token is sent to the target, which returns it in its answer.
	token string
	sleep time.Duration
}

func (l *load) newID(prefix string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("%s-%d", prefix, l.lastID)
}

// randomFloat returns a random number in [0, 1).
func (l *load) randomFloat() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

func (l *load) quote() {
	l.send(request{method: "GET", service: "Quotes", path: "/quote", idempotent: true, token: l.newID("q"), sleep: l.serviceTime(5)})
}

func (l *load) archive() {
	l.send(request{method: "GET", service: "Archive", path: "/read", idempotent: true, token: l.newID("a"), sleep: l.serviceTime(10)})
}

// order places an order with an idempotency key. Some orders are sent twice at
// the same time, and an order with an unknown outcome is sent again, as a
// caller does that got no response in time. Each goes to a random entry.
func (l *load) order() {
	r := request{method: "POST", service: "Orders", path: "/order", key: l.newID("key"), token: l.newID("o"), sleep: l.serviceTime(20)}
	if l.randomFloat() < repeatShare {
		l.wg.Go(func() { l.send(r) })
	}
	if l.send(r) == sched.Unknown {
		l.send(r)
	}
}

// serviceTime returns a random duration, mostly exponential around a mean in
// milliseconds; 1% of them are ten times longer.
func (l *load) serviceTime(meanMillis float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.rng.ExpFloat64() * meanMillis
	if l.rng.Float64() < 0.01 {
		d *= 10
	}
	return time.Duration(d * float64(time.Millisecond))
}

// send sends a request to a random entry and adds the result to the audit log.
func (l *load) send(r request) sched.Outcome {
	id := l.newID("r")
	began := time.Now()
	t := l.exchange(r, id)
	l.log.AddAnswer(audit.Answer{
		Service: sched.ServiceName(r.service), RequestID: id, Key: r.key,
		Idempotent: r.idempotent, Outcome: t.outcome, Reason: t.reason, Token: r.token, Got: t.token,
	})
	l.count(r.service, time.Since(began), t)
	return t.outcome
}

// callResult is the result of one call as the caller sees it.
type callResult struct {
	status  int
	outcome sched.Outcome
	reason  sched.Reason
	token   string
}

// reasonConnectionCut is the reason of calls whose connection broke or that
// found no ready entry. Only the demo sets it; entries never send it.
const reasonConnectionCut sched.Reason = "ConnectionCut"

// exchange sends a request to a random ready entry and returns the result. If
// no entry is ready or the connection breaks, the outcome is unknown.
func (l *load) exchange(r request, id string) callResult {
	broken := callResult{reason: reasonConnectionCut}
	entries := l.s.Live()
	if len(entries) == 0 {
		return broken
	}
	e := entries[int(l.randomFloat()*float64(len(entries)))%len(entries)]
	url := fmt.Sprintf("http://%s/s/%s%s?Token=%s&Sleep=%s", e.FrontAddr, r.service, r.path, r.token, r.sleep)
	req, err := http.NewRequest(r.method, url, strings.NewReader(r.token))
	if err != nil {
		return broken
	}
	// Without GetBody, the HTTP client cannot send the request again by itself.
	req.GetBody = nil
	req.Header.Set(call.HeaderRequestID, id)
	req.Header.Set(call.HeaderTimeout, "5s")
	if r.key != "" {
		req.Header[call.HeaderKey] = []string{r.key}
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return broken
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return broken
	}
	t := callResult{status: resp.StatusCode, outcome: sched.ParseOutcome(resp.Header.Get(call.HeaderOutcome))}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p struct{ Reason sched.Reason }
		if json.Unmarshal(body, &p) == nil {
			t.reason = p.Reason
		}
		return t
	}
	token, _, _ := bytes.Cut(body, []byte("\n"))
	t.token = string(token)
	return t
}

// count adds the result of a call to the counts and the histograms.
func (l *load) count(service string, d time.Duration, t callResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Requests++
	switch {
	case t.outcome == sched.Ran && t.status == http.StatusOK:
		l.counts.Answered++
		// The only error is a latency above maxLatency.
		_ = l.latency.RecordValue(max(d.Microseconds(), minLatency))
		_ = l.byService(service).RecordValue(max(d.Microseconds(), minLatency))
		return
	case t.outcome == sched.NotRun:
		l.counts.Refused++
	default:
		l.counts.Unknown++
	}
	l.reasons[t.outcome.String()+"/"+string(t.reason)]++
}

// byService returns the latency histogram of a service. The caller holds l.mu.
func (l *load) byService(name string) *hdrhistogram.Histogram {
	h, ok := l.perService[name]
	if !ok {
		h = hdrhistogram.New(minLatency, maxLatency, 3)
		l.perService[name] = h
	}
	return h
}

// report prints the latency of each service, and the counts of calls without an
// answer by outcome and reason.
func (l *load) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(l.perService)) {
		h := l.perService[name]
		l.s.printEvent("Service=%s Answered=%d P50=%s P99=%s Max=%s", name, h.TotalCount(),
			time.Duration(h.ValueAtQuantile(50))*time.Microsecond,
			time.Duration(h.ValueAtQuantile(99))*time.Microsecond,
			time.Duration(h.Max())*time.Microsecond)
	}
	for _, r := range slices.Sorted(maps.Keys(l.reasons)) {
		l.s.printEvent("Told=%s Count=%d", r, l.reasons[r])
	}
}

// submitJob submits a job of short tasks to a random entry.
func (l *load) submitJob() {
	entries := l.s.Live()
	if len(entries) == 0 {
		return
	}
	e := entries[int(l.randomFloat()*float64(len(entries)))%len(entries)]
	spec := sched.JobSpec{ID: sched.JobID(l.newID("job")), Team: "Billing", Urgent: l.randomFloat() < 0.1}
	for range jobTasks {
		spec.Tasks = append(spec.Tasks, sched.TaskSpec{
			Class:     "Carve",
			Resources: sched.Resources{CPU: 4000, Memory: 8e9},
			Payload:   fake.Work{RunTime: time.Duration((0.2 + 2*l.randomFloat()) * float64(time.Second))}.Payload(),
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, reason := e.SubmitJob(ctx, spec); reason == "" {
		l.mu.Lock()
		l.accepted = append(l.accepted, spec)
		l.mu.Unlock()
	}
}

// waitForJobs waits until all accepted jobs have ended, and adds the state of
// their tasks to the audit log.
func (l *load) waitForJobs(ctx context.Context, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for {
		byID := l.jobsByID(ctx)
		if l.allDone(byID) || time.Now().After(deadline) || ctx.Err() != nil {
			l.logTasks(byID)
			return
		}
		time.Sleep(5 * pollInterval)
	}
}

// jobsByID returns the status of all jobs that an entry lists.
func (l *load) jobsByID(ctx context.Context) map[sched.JobID]sched.JobStatus {
	byID := map[sched.JobID]sched.JobStatus{}
	entries := l.s.Live()
	if len(entries) == 0 {
		return byID
	}
	// The error is ignored: if the list is incomplete, waitForJobs reads it
	// again until its timeout.
	jobs, _ := entries[0].Jobs(ctx)
	for _, j := range jobs {
		byID[j.ID] = j
	}
	return byID
}

func (l *load) allDone(byID map[sched.JobID]sched.JobStatus) bool {
	for _, spec := range l.accepted {
		j, ok := byID[spec.ID]
		if !ok || !j.Done() {
			return false
		}
	}
	return true
}

// logTasks adds the state of each accepted task to the audit log and prints the
// tasks that have not ended.
func (l *load) logTasks(byID map[sched.JobID]sched.JobStatus) {
	for _, spec := range l.accepted {
		j, ok := byID[spec.ID]
		for i := range spec.Tasks {
			task := audit.TaskListing{Task: sched.TaskID{Job: spec.ID, Index: i}}
			if ok && i < len(j.Tasks) {
				t := j.Tasks[i]
				task.Listed, task.Phase = true, t.Phase
				if !t.Phase.Final() {
					l.s.printEvent("not ended: Task=%s Phase=%s Shard=%s Worker=%s Wait=%s Attempts=%d",
						task.Task, t.Phase, t.Shard, t.Worker, t.Wait, t.Attempts)
				}
			}
			l.log.AddTask(task)
		}
	}
}

func (l *load) summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.counts
	s.P99 = time.Duration(l.latency.ValueAtQuantile(99)) * time.Microsecond
	return s
}
