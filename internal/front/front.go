// Package front serves callers over HTTP: requests to services at
// /s/{Service}/{path…} and batch jobs at /v1/jobs. It parses requests, enforces
// their limits and writes responses; a [Backend] makes all decisions.
//
// # Usage
//
//	h := front.New(backend, front.WithLogger(log))
//	srv := front.Server(h)
//	srv.Serve(listener)
//
// Every response to a request to a service, and every refusal, carries the header
// fields Mangoslip-Outcome (Ran, NotRun or Unknown) and Mangoslip-Request-Id. A
// refusal has an application/problem+json body with a Reason. If a target's
// response breaks off after its header was passed on, the caller's connection is
// aborted, so that a truncated response is never taken for a complete one.
package front

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Backend runs requests and stores jobs.
type Backend interface {
	// Serve runs a request and writes the target's response to the sink.
	Serve(ctx context.Context, c call.Call, sink call.Sink) call.Result
	// SubmitJob returns once the job is durable, or with the reason of a refusal.
	// A job that was submitted before under the same id is returned as it is.
	SubmitJob(ctx context.Context, spec sched.JobSpec) (sched.JobStatus, sched.Reason)
	// CancelJob cancels the tasks of a job that have not ended.
	CancelJob(ctx context.Context, id sched.JobID) (sched.JobStatus, sched.Reason)
	// Job returns one job; ok is false if it is not known. A reason then means that
	// an entry that may know the job did not answer.
	Job(ctx context.Context, id sched.JobID) (status sched.JobStatus, ok bool, reason sched.Reason)
	// Jobs returns all jobs that are kept. A reason means that some may be missing.
	Jobs(ctx context.Context) ([]sched.JobStatus, sched.Reason)
}

// Option changes a setting of the handler.
type Option func(*handler)

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(h *handler) { h.log = l } }

// WithCounter sets the function that counts refusals by the handler itself and
// refusals of job requests. The backend counts refusals of requests to services.
func WithCounter(count func(sched.Reason)) Option { return func(h *handler) { h.count = count } }

type handler struct {
	backend Backend
	log     *slog.Logger
	count   func(sched.Reason)
}

// New returns the HTTP handler of the callers' API.
func New(b Backend, opts ...Option) http.Handler {
	h := &handler{backend: b, log: slog.New(slog.DiscardHandler), count: func(sched.Reason) {}}
	for _, o := range opts {
		o(h)
	}
	mux := goji.NewMux()
	mux.HandleFunc(pat.New("/s/:service/*"), h.serveRequest)
	mux.HandleFunc(pat.New("/s/:service"), h.serveRequest)
	mux.HandleFunc(pat.Post("/v1/jobs"), h.submitJob)
	mux.HandleFunc(pat.Get("/v1/jobs"), h.listJobs)
	mux.HandleFunc(pat.Get("/v1/jobs/:id"), h.getJob)
	mux.HandleFunc(pat.Delete("/v1/jobs/:id"), h.cancelJob)
	return mux
}

// Timeouts of the callers' server, so that slow callers do not keep connections in
// use.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
)

// Server returns an HTTP server with the limits of the callers' API.
func Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    call.MaxHeaderBytes,
	}
}
