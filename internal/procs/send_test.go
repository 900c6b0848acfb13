package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/audit"
	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// request is one call of a caller. The same request can be sent again to repeat
// it.
type request struct {
	service, method string
	// key is the idempotency key, or empty.
	key string
	// token is returned by the target in its answer.
	token string
	sleep time.Duration
	// fail is a failure mode of the target, or empty. size is the size to which
	// the target pads its answer.
	fail string
	size int
	// timeout is the caller's timeout. The method send takes 0 as 5 s.
	timeout time.Duration
	// via is the entry that gets the request. If it is nil, the balancer chooses.
	via *entryProc
}

// answer is the answer that a caller got.
type answer struct {
	id      string
	status  int
	outcome sched.Outcome
	reason  sched.Reason
	token   string
	// err is set if the connection failed or was closed before the answer ended.
	err error
}

func (a answer) String() string {
	return fmt.Sprintf("%s: %d %s %s %v", a.id, a.status, a.outcome, a.reason, a.err)
}

// complete reports whether the target's answer arrived completely.
func (a answer) complete() bool { return a.outcome == sched.Ran && a.err == nil && a.reason == "" }

// newID returns a name that no other request or job of the site has.
func (s *site) newID(prefix string) string { return fmt.Sprintf("%s-%d", prefix, s.ids.Add(1)) }

// quote returns a request that is idempotent by its method.
func (s *site) quote() request {
	return request{service: "Quotes", method: http.MethodGet, token: s.newID("q"), sleep: 5 * time.Millisecond}
}

// order returns a request with an idempotency key.
func (s *site) order() request {
	r := request{service: "Orders", method: http.MethodPost, token: s.newID("o"), sleep: 20 * time.Millisecond}
	r.key = "key-" + r.token
	return r
}

// through returns a copy of the request that is sent to an entry.
func (r request) through(e *entryProc) request { r.via = e; return r }

// send sends a request and records the answer for the audit, which allows a
// second start of an idempotent request.
func (s *site) send(r request) answer {
	if r.timeout == 0 {
		r.timeout = 5 * time.Second
	}
	a := answer{id: s.newID("r")}
	s.exchange(r, &a)
	s.log.AddAnswer(audit.Answer{
		Service: sched.ServiceName(r.service), RequestID: a.id, Key: r.key, Idempotent: r.method == http.MethodGet,
		Outcome: a.outcome, Reason: a.reason, Token: r.token, Got: a.token,
	})
	return a
}

// exchange sends a request and fills in the answer. If no entry is ready, the
// request is not sent and the outcome is NotRun. If the connection fails, the
// outcome stays unknown.
func (s *site) exchange(r request, a *answer) {
	e := r.via
	if e == nil {
		if e = s.pick(); e == nil {
			a.outcome, a.reason = sched.NotRun, sched.ReasonNoOwner
			return
		}
	}
	q := url.Values{"Token": {r.token}, "Sleep": {r.sleep.String()}, "Fail": {r.fail}, "Size": {fmt.Sprint(r.size)}}
	// The caller waits longer than the timeout that it sends to the entry.
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout+slack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method,
		fmt.Sprintf("http://%s/s/%s/x?%s", e.front, r.service, q.Encode()), strings.NewReader(r.token))
	if err != nil {
		a.err = err
		return
	}
	// Without GetBody the client does not send a request again by itself.
	req.GetBody = nil
	req.Header.Set(call.HeaderRequestID, a.id)
	req.Header.Set(call.HeaderTimeout, r.timeout.String())
	if r.key != "" {
		req.Header.Set(call.HeaderKey, r.key)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return
	}
	a.outcome = sched.ParseOutcome(resp.Header.Get(call.HeaderOutcome))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		var problem struct{ Reason sched.Reason }
		a.err = json.Unmarshal(body, &problem)
		a.reason = problem.Reason
		return
	}
	first, _, _ := bytes.Cut(body, []byte("\n"))
	a.token = string(first)
	if resp.StatusCode != http.StatusOK {
		a.token = resp.Header.Get("Fake-Token")
	}
}

// load calls f at a rate, each time on a new goroutine, until stop is called.
// stop waits until all calls have returned.
func (s *site) load(perSecond int, f func()) (stop func()) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() {
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for ctx.Err() == nil {
			<-t.C
			wg.Go(f)
		}
	})
	stop = func() { cancel(); wg.Wait() }
	s.t.Cleanup(stop)
	return stop
}

// submitJob submits a job with the call that entries use among each other, and
// waits until it is accepted.
func (s *site) submitJob(taskCount int, runTime time.Duration) sched.JobSpec {
	s.t.Helper()
	spec := sched.JobSpec{ID: sched.JobID(s.newID("job")), Team: "Billing"}
	for range taskCount {
		spec.Tasks = append(spec.Tasks, sched.TaskSpec{
			Class: "Carve", Resources: sched.Resources{CPU: 2000, Memory: 1e9},
			Payload: fake.Work{RunTime: runTime}.Payload(),
		})
	}
	s.await(startBound, "a job is accepted", func() bool { return s.trySubmit(spec) })
	s.accepted = append(s.accepted, spec)
	return spec
}

// trySubmit reports whether an entry accepted the job.
func (s *site) trySubmit(spec sched.JobSpec) bool {
	table, ok := s.table()
	if !ok {
		return false
	}
	home := table.Layout().ShardOf(string(spec.ID))
	for _, e := range s.liveEntries() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, reason, err := s.peers.Dial(e.peer).SubmitJob(ctx, home, tasks.EncodeJob(spec))
		cancel()
		if err == nil && reason == "" {
			return true
		}
	}
	return false
}

// jobStatus returns the state of a job, or false if no entry knows the job.
func (s *site) jobStatus(id sched.JobID) (sched.JobStatus, bool) {
	for _, e := range s.liveEntries() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		found, err := s.peers.Dial(e.peer).ListJobs(ctx, id)
		cancel()
		if err != nil || len(found) == 0 {
			continue
		}
		if j, err := tasks.DecodeStatus(found[0]); err == nil {
			return j, true
		}
	}
	return sched.JobStatus{}, false
}

// awaitJobs waits until all tasks of the accepted jobs have succeeded. The bound
// applies to each job.
func (s *site) awaitJobs(bound time.Duration) {
	s.t.Helper()
	for _, spec := range s.accepted {
		var last sched.JobStatus
		defer func() {
			if s.t.Failed() {
				s.t.Logf("last state of %s: %+v", spec.ID, last)
			}
		}()
		s.await(bound, "job "+string(spec.ID)+" succeeds", func() bool {
			j, ok := s.jobStatus(spec.ID)
			if !ok {
				return false
			}
			last = j
			for _, t := range j.Tasks {
				if t.Phase != sched.PhaseSucceeded {
					return false
				}
			}
			return true
		})
	}
}

// recordTasks records for the audit which phases the entries list for the tasks
// of a job.
func (s *site) recordTasks(spec sched.JobSpec) {
	j, ok := s.jobStatus(spec.ID)
	for i := range spec.Tasks {
		listed := audit.TaskListing{Task: sched.TaskID{Job: spec.ID, Index: i}}
		if ok && i < len(j.Tasks) {
			listed.Listed, listed.Phase = true, j.Tasks[i].Phase
		}
		s.log.AddTask(listed)
	}
}
