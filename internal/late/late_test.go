package late_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/late"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// source answers questions with the bound and the queue that it was asked for.
type source func(sched.QueueName, int) (sched.LateJobs, error)

func (s source) Late(_ context.Context, q sched.QueueName, limit int) (sched.LateJobs, sched.EntryName, error) {
	list, err := s(q, limit)
	return list, "entry-3", err
}

// requireAnswer asserts the answer to a question.
func requireAnswer(t *testing.T, h http.Handler, query string, status int, body string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, late.Path+query, nil))
	require.Equal(t, status, w.Code, query)
	require.Equal(t, status == http.StatusServiceUnavailable, w.Header().Get("Retry-After") == "3")
	if body != "" {
		require.JSONEq(t, body, w.Body.String(), query)
	}
}

// Guards against other names, units or a missing array in the answer, which scripts
// read, against an empty list in place of an unknown one, and against parameters without
// bound or that are ignored.
func TestAnswer(t *testing.T) {
	h := late.New(source(func(q sched.QueueName, limit int) (sched.LateJobs, error) {
		switch q {
		case "unknown":
			return sched.LateJobs{}, &sched.Refusal{RetryAfter: 2500 * time.Millisecond}
		case "":
			return sched.LateJobs{More: limit}, nil
		}
		return sched.LateJobs{More: limit, Jobs: []sched.LateJob{{
			Job: "00f1", Queue: q, State: sched.JobRunning, Age: 12500 * time.Millisecond, Objective: 9800 * time.Millisecond,
			Late: 2700 * time.Millisecond, TasksLeft: 3, Waits: "no capacity",
		}}}, nil
	}))
	requireAnswer(t, h, "?queue=Q&limit=1", http.StatusOK, `{"Leader": "entry-3", "Known": true, "Late": [{"Job": "00f1", "Queue": "Q",
		"State": "Running", "AgeSeconds": 12.5, "ObjectiveSeconds": 9.8, "LateSeconds": 2.7, "TasksLeft": 3, "Waits": "no capacity"}], "More": 1}`)
	requireAnswer(t, h, "?queue=unknown", http.StatusServiceUnavailable, `{"Known": false}`)
	for _, query := range []string{"", "?limit=200", "?limit=201", "?limit="} {
		requireAnswer(t, h, query, http.StatusOK, `{"Leader": "entry-3", "Known": true, "Late": [], "More": 200}`)
	}
	for _, query := range []string{"?limit=0", "?limit=x", "?limit=99999999999999999999", "?queue=" + strings.Repeat("q", 257), "?a=%zz"} {
		requireAnswer(t, h, query, http.StatusBadRequest, "")
	}
}

// Guards against many questions at a time that occupy the leader, and against slots that
// are not freed.
func TestConcurrentQuestionsAreBounded(t *testing.T) {
	h, nested := (*late.Handler)(nil), 0
	h = late.New(source(func(sched.QueueName, int) (sched.LateJobs, error) {
		if nested++; nested < 10 {
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, late.Path, nil))
		}
		return sched.LateJobs{}, nil
	}))
	for range 2 {
		nested = 0
		requireAnswer(t, h, "", http.StatusOK, "")
		require.Equal(t, 4, nested)
	}
}
