package late_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"goji.io"
	"goji.io/pat"

	"github.com/mangoslip/mangoslip/internal/late"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// source answers questions and records the last one.
type source struct {
	jobs  sched.LateJobs
	err   error
	queue sched.QueueName
	limit int
	// asked receives a value and hold is received from during each question, if set.
	asked, hold chan struct{}
}

func (s *source) Late(_ context.Context, q sched.QueueName, limit int) (sched.LateJobs, sched.EntryName, error) {
	if s.hold != nil {
		s.asked <- struct{}{}
		<-s.hold
	} else {
		s.queue, s.limit = q, limit
	}
	return s.jobs, "entry-3", s.err
}

// get serves one request with the mux that the entry uses.
func get(h http.Handler, target string) *httptest.ResponseRecorder {
	mux := goji.NewMux()
	mux.Handle(pat.Get(late.Path), h)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	return w
}

// requireUnknown asserts that an answer does not look like a list.
func requireUnknown(t *testing.T, w *httptest.ResponseRecorder, retryAfter string) {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, retryAfter, w.Header().Get("Retry-After"))
	require.JSONEq(t, `{"Known": false}`, w.Body.String())
}

// Guards against other names, units or a missing array in the answer, which scripts of
// the staff read.
func TestAnswer(t *testing.T) {
	s := &source{jobs: sched.LateJobs{More: 7, Jobs: []sched.LateJob{{
		Job: "00f1", Queue: "Q", State: sched.JobRunning, Age: 12500 * time.Millisecond, Objective: 9800 * time.Millisecond,
		Late: 2700 * time.Millisecond, TasksLeft: 3, Waits: "no suitable worker with free capacity",
	}}}}
	w := get(late.New(s), late.Path+"?queue=Q&limit=1")
	require.Equal(t, http.StatusOK, w.Code)
	require.JSONEq(t, `{"Leader": "entry-3", "Known": true, "Late": [{"Job": "00f1", "Queue": "Q", "State": "Running",
		"AgeSeconds": 12.5, "ObjectiveSeconds": 9.8, "LateSeconds": 2.7, "TasksLeft": 3,
		"Waits": "no suitable worker with free capacity"}], "More": 7}`, w.Body.String())
	require.Equal(t, sched.QueueName("Q"), s.queue)
	require.Equal(t, 1, s.limit)
	w = get(late.New(&source{}), late.Path)
	require.JSONEq(t, `{"Leader": "entry-3", "Known": true, "Late": [], "More": 0}`, w.Body.String())
}

// Guards against an empty list in place of an unknown one, and against clients that are
// not told when to ask again.
func TestUnknown(t *testing.T) {
	requireUnknown(t, get(late.New(&source{err: errors.New("lost")}), late.Path), "1")
	requireUnknown(t, get(late.New(&source{err: &sched.Refusal{RetryAfter: 2500 * time.Millisecond}}), late.Path), "3")
}

// Guards against parameters that make the leader collect without bound, and against a
// misspelt limit that is ignored.
func TestParameters(t *testing.T) {
	s := &source{}
	for query, limit := range map[string]int{"": 200, "?limit=5": 5, "?limit=200": 200, "?limit=201": 200, "?limit=": 200} {
		require.Equal(t, http.StatusOK, get(late.New(s), late.Path+query).Code, query)
		require.Equal(t, limit, s.limit, query)
	}
	for _, query := range []string{"?limit=0", "?limit=-1", "?limit=x", "?limit=99999999999999999999", "?queue=" + strings.Repeat("q", 257), "?a=%zz"} {
		require.Equal(t, http.StatusBadRequest, get(late.New(s), late.Path+query).Code, query)
	}
}

// Guards against many questions at a time that occupy the leader, and against slots that
// are not freed.
func TestConcurrentQuestionsAreBounded(t *testing.T) {
	s := &source{asked: make(chan struct{}), hold: make(chan struct{})}
	h := late.New(s)
	done := make(chan int)
	for range 4 {
		go func() { done <- get(h, late.Path).Code }()
		<-s.asked
	}
	requireUnknown(t, get(h, late.Path), "1")
	close(s.hold)
	for range 4 {
		require.Equal(t, http.StatusOK, <-done)
	}
	s.hold = nil
	w := get(h, late.Path)
	require.Equal(t, http.StatusOK, w.Code)
	require.True(t, json.Valid(w.Body.Bytes()))
}
