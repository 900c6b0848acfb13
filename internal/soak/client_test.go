package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/emul"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/platform/stand"
)

const (
	host   = "queue.example"
	prefix = "/q/"
	// visibleBound is the time after the acceptance of a job within which every
	// entry must know it.
	visibleBound = 5 * time.Second
)

// submission is a submitted job and what its caller knows of it.
type submission struct {
	id       string
	job      *emul.Job
	accepted time.Time
	// rejected means that every attempt to submit the job was answered with
	// status 429 or 503. Such a job must not run.
	rejected  bool
	cancelled bool
	state     string
	// finalAt is when an answer with a final state was first received.
	finalAt time.Time
}

// callers submit and cancel jobs, ask for their states and record violations.
type callers struct {
	s     *stand.Platform
	front []string
	http  *http.Client

	mu          sync.Mutex
	submissions []*submission
	violations  []string
	// lastNumber is the number of the newest submission. Job IDs contain it.
	lastNumber int
}

func newCallers(s *stand.Platform, front []string) *callers {
	return &callers{s: s, front: front, http: &http.Client{Timeout: 3 * time.Second}}
}

// violate records the violation of a guarantee.
func (c *callers) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// call sends a request to one entry. A status of 0 means that there was no
// complete answer.
func (c *callers) call(entry int, method, id, body string) (int, string) {
	req, err := http.NewRequestWithContext(context.Background(), method, c.front[entry%len(c.front)]+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// submit submits a job and retries at other entries until it is accepted, at
// most the given number of times. With cancel set, it cancels the accepted job.
func (c *callers) submit(seed, tries int, cancel bool) {
	c.mu.Lock()
	c.lastNumber++
	n := c.lastNumber
	c.mu.Unlock()
	o := &submission{id: fmt.Sprintf("%08x%08x", seed, n), rejected: true}
	spec := sched.StepSpec{Count: 2 + n%4, Resources: sched.Resources{CPU: 1000, Memory: 256 << 20}}
	second := spec
	second.After = []int{0}
	w := &sched.Workflow{ID: sched.JobID(o.id), Queue: stand.Queue, Steps: []sched.StepSpec{spec, second}}
	c.s.With(func(e *emul.Emulator) {
		o.job = e.Submit(w, emul.Work{Duration: time.Duration(150+100*(n%6)) * time.Millisecond})
	})
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"mem-mb":256,"estimate-ms":400},
	 {"count":%d,"cpu":1000,"mem-mb":256,"estimate-ms":400,"after":[0]}]}`, spec.Count, spec.Count)
	for i := range tries {
		status, _ := c.call(n+i, http.MethodPost, o.id, body)
		switch status {
		case http.StatusOK:
			o.rejected, o.accepted = false, time.Now()
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(200 * time.Millisecond)
			continue
		default:
			o.rejected = false
			time.Sleep(100 * time.Millisecond)
			continue
		}
		break
	}
	c.mu.Lock()
	c.submissions = append(c.submissions, o)
	c.mu.Unlock()
	if cancel && !o.accepted.IsZero() {
		c.cancel(o, n)
	}
}

// cancel cancels an accepted job. The emulated workers check their starts against
// the time of the acknowledgement.
func (c *callers) cancel(o *submission, entry int) {
	if status, _ := c.call(entry, http.MethodDelete, o.id, ""); status == http.StatusOK {
		c.mu.Lock()
		o.cancelled = true
		c.mu.Unlock()
		c.s.With(func(e *emul.Emulator) { e.Cancel(o.job) })
	}
}

// ask asks an entry for the state of a job and checks it against what is known.
func (c *callers) ask(o *submission, entry int) {
	if o.accepted.IsZero() {
		return
	}
	asked := time.Now()
	status, body := c.call(entry, http.MethodGet, o.id, "")
	if status == http.StatusGone && time.Since(o.accepted) > visibleBound {
		c.violate("job %s was accepted %s ago and is not known to an entry", o.id, time.Since(o.accepted))
	}
	var in struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &in) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if final(o.state) {
		// A request that was sent before the final state arrived may return an
		// earlier state.
		if in.State != o.state && asked.After(o.finalAt) {
			c.violations = append(c.violations, fmt.Sprintf("job %s was %s and is %s", o.id, o.state, in.State))
		}
		return
	}
	o.state = in.State
	if final(o.state) {
		o.finalAt = time.Now()
	}
	switch in.State {
	case "failed":
		c.violations = append(c.violations, fmt.Sprintf("job %s is reported as failed, but none of its tasks fails", o.id))
	case "cancelled":
		o.cancelled = true // The answer to a cancellation may have been lost.
	}
}

func final(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// unfinished returns the accepted jobs without a final state.
func (c *callers) unfinished() []*submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*submission
	for _, o := range c.submissions {
		if !o.accepted.IsZero() && !final(o.state) {
			out = append(out, o)
		}
	}
	return out
}
