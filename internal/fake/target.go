package fake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// The failure modes that a request selects with the query parameter Fail.
const (
	// FailRefuse refuses the request without running it.
	FailRefuse = "Refuse"
	// FailBreak runs the request and drops the connection in the middle of
	// the response.
	FailBreak = "Break"
	// FailDrop runs the request and drops the connection without a
	// response.
	FailDrop = "Drop"
	// FailHang runs the request and never responds.
	FailHang = "Hang"
	// FailIgnoreCancel runs the request to its end even if the client
	// disconnects.
	FailIgnoreCancel = "Linger"
)

// serveRequest runs one request as a target does. Query parameters control it:
// Sleep (how long it runs), Token (returned in the response), Size (bytes of
// padding in the response) and Fail. The response has the header Fake-Token and
// a body of token, line feed, request body and padding. A worker with the fault
// FailEverything responds with status 500 and the same header.
func (w *Worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	if !w.waitUnfrozen(r.Context()) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBody))
	if err != nil {
		http.Error(rw, "incomplete body", http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	if q.Get("Fail") == FailRefuse {
		rw.Header().Set("Mangoslip-Outcome", sched.NotRun.String())
		http.Error(rw, "refused", http.StatusServiceUnavailable)
		return
	}
	service := sched.ServiceName(r.Header.Get("Mangoslip-Service"))
	i, failing := w.recordStart(r, service)
	defer w.recordEnd(i, service)
	sleep, _ := time.ParseDuration(q.Get("Sleep"))
	ctx := r.Context()
	if q.Get("Fail") == FailIgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	sleepContext(ctx, sleep)
	rw.Header().Set("Fake-Token", q.Get("Token"))
	rw.Header().Set("Mangoslip-Request-Id", r.Header.Get("Mangoslip-Request-Id"))
	if failing {
		http.Error(rw, "this worker fails everything", http.StatusInternalServerError)
		return
	}
	switch q.Get("Fail") {
	case FailHang:
		<-ctx.Done()
		return
	case FailDrop:
		panic(http.ErrAbortHandler)
	}
	writeEcho(rw, r, body)
}

func writeEcho(rw http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	size, _ := strconv.Atoi(q.Get("Size"))
	out := q.Get("Token") + "\n" + string(body) + strings.Repeat("x", min(max(size, 0), maxBody))
	h := rw.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(out)))
	if q.Get("Fail") != FailBreak {
		_, _ = io.WriteString(rw, out)
		return
	}
	_, _ = io.WriteString(rw, out[:len(out)/2])
	_ = http.NewResponseController(rw).Flush()
	panic(http.ErrAbortHandler)
}

// recordStart records the start of a request. It returns the index of the
// record and whether the worker has the fault FailEverything.
func (w *Worker) recordStart(r *http.Request, service sched.ServiceName) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	w.busy[service]++
	w.records.MaxBusy[service] = max(w.records.MaxBusy[service], w.busy[service])
	w.records.Requests = append(w.records.Requests, RequestRun{
		Worker: w.cfg.Name, Service: service, Method: r.Method,
		ID:    r.Header.Get("Mangoslip-Request-Id"),
		Key:   r.Header.Get("Idempotency-Key"),
		Token: r.URL.Query().Get("Token"),
		Start: now,
	})
	w.checkCapacity(now)
	return len(w.records.Requests) - 1, w.faults.FailEverything
}

func (w *Worker) recordEnd(i int, service sched.ServiceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy[service]--
	w.records.Requests[i].End = w.now()
}

// countConn tracks the number of open connections on the data port.
func (w *Worker) countConn(_ net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.openConns++
		w.records.MaxConnections = max(w.records.MaxConnections, w.openConns)
	case http.StateClosed, http.StateHijacked:
		w.openConns--
	}
}
