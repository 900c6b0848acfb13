// Package late serves the list of late jobs over HTTP. Any entry answers: it asks the
// leader if it does not lead itself.
//
// A list that is not known is answered with 503 and never as an empty list, which
// would say that no job is late.
//
// # Usage
//
//	mux.Handle(pat.Get(late.Path), late.New(service))
package late

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Path is the path of the list.
const Path = "/jobs/late"

const (
	// maxConcurrent bounds the questions that are answered at a time, so that staff
	// and scripts which repeat a question do not occupy the leader.
	maxConcurrent = 4
	// maxQueueName bounds the name of the queue in a question, in bytes.
	maxQueueName = 256
	// minRetryAfter is the shortest time after which to ask again.
	minRetryAfter = time.Second
)

// Source lists the late jobs and names the leader that listed them.
type Source interface {
	Late(ctx context.Context, q sched.QueueName, limit int) (sched.LateJobs, sched.EntryName, error)
}

// List is the answer in JSON.
type List struct {
	Leader sched.EntryName
	// Known is false if the leader could not be asked.
	Known bool
	Late  []Job
	// More counts the late jobs that are left out.
	More int
}

// Job is one late job. Times are in seconds.
type Job struct {
	Job              sched.JobID
	Queue            sched.QueueName
	State            string
	AgeSeconds       float64
	ObjectiveSeconds float64
	LateSeconds      float64
	TasksLeft        int
	Waits            string
}

// Handler serves the list.
type Handler struct {
	source Source
	slots  *semaphore.Weighted
}

// New returns a handler.
func New(s Source) *Handler {
	return &Handler{source: s, slots: semaphore.NewWeighted(maxConcurrent)}
}

// ServeHTTP implements [http.Handler].
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	queue, limit, err := parse(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.slots.TryAcquire(1) {
		writeUnknown(w, 0)
		return
	}
	jobs, leader, err := h.ask(r.Context(), queue, limit)
	if err != nil {
		after := time.Duration(0)
		if refusal := (*sched.Refusal)(nil); errors.As(err, &refusal) {
			after = refusal.RetryAfter
		}
		writeUnknown(w, after)
		return
	}
	write(w, http.StatusOK, list(jobs, leader))
}

// ask asks the source and frees the slot before the answer is written, because a slow
// client must not hold one.
func (h *Handler) ask(ctx context.Context, q sched.QueueName, limit int) (sched.LateJobs, sched.EntryName, error) {
	defer h.slots.Release(1)
	return h.source.Late(ctx, q, limit)
}

// parse reads the parameters of a question. A limit above the maximum is lowered to it.
func parse(query string) (sched.QueueName, int, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return "", 0, errors.New("the parameters cannot be parsed")
	}
	queue, limit := values.Get("queue"), sched.MaxLateJobs
	if len(queue) > maxQueueName {
		return "", 0, errors.New("queue is too long")
	}
	if text := values.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return "", 0, errors.New("limit is not a positive number")
		}
		limit = min(n, sched.MaxLateJobs)
	}
	return sched.QueueName(queue), limit, nil
}

// list converts late jobs to the answer.
func list(jobs sched.LateJobs, leader sched.EntryName) List {
	out := List{Leader: leader, Known: true, Late: make([]Job, len(jobs.Jobs)), More: jobs.More}
	for i := range jobs.Jobs {
		j := &jobs.Jobs[i]
		out.Late[i] = Job{
			Job: j.Job, Queue: j.Queue, State: j.State.String(), AgeSeconds: seconds(j.Age),
			ObjectiveSeconds: seconds(j.Objective), LateSeconds: seconds(j.Late), TasksLeft: j.TasksLeft, Waits: j.Waits,
		}
	}
	return out
}

// seconds rounds a duration to milliseconds.
func seconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }

// writeUnknown answers that the list is not known, and when to ask again.
func writeUnknown(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(max(after, minRetryAfter).Seconds()))))
	write(w, http.StatusServiceUnavailable, struct{ Known bool }{})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // The client has disconnected.
}
