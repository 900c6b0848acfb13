package front_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/internal/front"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// fakeBackend serves requests with a function and records the last submitted job.
type fakeBackend struct {
	front.Backend
	serve func(call.Call, call.Sink) call.Result
	job   sched.JobSpec
}

func (f *fakeBackend) Serve(_ context.Context, c call.Call, s call.Sink) call.Result {
	return f.serve(c, s)
}

func (f *fakeBackend) SubmitJob(_ context.Context, s sched.JobSpec) (sched.JobStatus, sched.Reason) {
	f.job = s
	return sched.JobStatus{ID: s.ID}, ""
}

// send sends a request to a front with the given backend and returns the response
// and its body. headers are pairs of names and values.
func send(t *testing.T, b front.Backend, method, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	return sendTo(t, front.New(b), method, path, body, headers...)
}

// sendTo is like send for a given handler.
func sendTo(t *testing.T, h http.Handler, method, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	r, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := srv.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

// Guards against a target's response that breaks off and reaches the caller as a
// complete one.
func TestBrokenAnswerAbortsTheConnection(t *testing.T) {
	b := &fakeBackend{serve: func(_ call.Call, s call.Sink) call.Result {
		_ = s.Head(http.StatusOK, http.Header{"Connection": {"close"}})
		_ = s.Write([]byte("part"))
		return call.Result{Outcome: sched.Unknown, Reason: sched.ReasonTargetBroken, Started: true}
	}}
	_, _, err := send(t, b, http.MethodGet, "/s/Quotes/q", "")
	require.Error(t, err)
}

// Guards against a refusal without the status, header fields and reason that tell
// the caller what happened and whether to retry.
func TestRefusalSaysReasonAndOutcome(t *testing.T) {
	b := &fakeBackend{serve: func(call.Call, call.Sink) call.Result { return call.Refused(sched.ReasonQueueFull) }}
	resp, body, err := send(t, b, http.MethodGet, "/s/Quotes/q", "", call.HeaderRequestID, "r1")
	require.NoError(t, err)
	require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
	require.Equal(t, "NotRun", resp.Header.Get(call.HeaderOutcome))
	require.Equal(t, "r1", resp.Header.Get(call.HeaderRequestID))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	var p struct{ Reason, Outcome string }
	require.NoError(t, json.Unmarshal([]byte(body), &p))
	require.Equal(t, "QueueFull", p.Reason)
}

// Guards against a body that is too large and is truncated and forwarded instead of
// refused, and against a refusal that is not counted.
func TestLargeBodyIsRefused(t *testing.T) {
	var counted []sched.Reason
	h := front.New(&fakeBackend{}, front.WithCounter(func(r sched.Reason) { counted = append(counted, r) }))
	resp, _, err := sendTo(t, h, http.MethodPost, "/s/Orders/o", strings.Repeat("x", call.MaxBody+1))
	require.NoError(t, err)
	require.Equal(t, []sched.Reason{sched.ReasonBodyTooLarge}, counted)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.Equal(t, "NotRun", resp.Header.Get(call.HeaderOutcome))
}

// Guards against a repeated submission that creates a second job.
func TestJobTakesItsIDFromTheKey(t *testing.T) {
	const body = `{"Team":"Billing","Tasks":[{"Class":"Carve","CPU":"1","Memory":"1GiB"}]}`
	submit := func(key string) sched.JobID {
		b := &fakeBackend{}
		resp, _, err := send(t, b, http.MethodPost, "/v1/jobs", body, call.HeaderKey, key)
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, resp.StatusCode)
		return b.job.ID
	}
	require.Equal(t, submit("k1"), submit("k1"))
	require.NotEqual(t, submit("k1"), submit("k2"))
	require.NotEqual(t, submit(""), submit(""))
}
