// Package admin serves the operators' HTTP API: configuration, states of
// services, status, workers, jobs and metrics.
//
// # Usage
//
//	h := admin.New(backend, token)
//	srv := &http.Server{Handler: h, MaxHeaderBytes: admin.MaxHeader}
//
// All paths but /healthz and /readyz need "Authorization: Bearer TOKEN". The
// token is compared in constant time and is never logged.
package admin

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"goji.io"
	"goji.io/pat"

	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// MaxHeader is the maximum size of a request's header in bytes.
const MaxHeader = 16 << 10

// Edit is a request to replace the services text.
type Edit struct {
	Text string
	// IfMatch is the revision that the edit is based on.
	IfMatch sched.Revision
	Author  string
}

// StateEdit is a request to set the state of a service.
type StateEdit struct {
	Service sched.ServiceName
	State   sched.ServiceState
	// Cascade also changes the services whose state must change with it.
	Cascade bool
	Author  string
}

// Backend is the part of an entry that the API calls. PutConfig and SetState
// return the errors of package config, SetState also those of package text.
type Backend interface {
	// Config returns the accepted configuration with the highest known revision.
	Config(ctx context.Context) (config.Stored, error)
	// PutConfig returns the new revision.
	PutConfig(ctx context.Context, e Edit) (sched.Revision, error)
	// SetState returns the new revision and the changed services in the order
	// in which they change.
	SetState(ctx context.Context, e StateEdit) (sched.Revision, []sched.ServiceName, error)
	Status(ctx context.Context) (client.Status, error)
	// Workers returns the status of the workers as a value that encodes as JSON.
	Workers(ctx context.Context) (any, error)
	Jobs(ctx context.Context) ([]sched.JobStatus, error)
	// ReleaseBatch allows a shard to be served without a damaged batch of its
	// journal.
	ReleaseBatch(ctx context.Context, shard sched.ShardID, seq uint64, author string) error
	// Metrics handles a request for the metrics.
	Metrics(w http.ResponseWriter, r *http.Request)
	// Ready returns nil if the entry can take requests, otherwise the reason why
	// it cannot.
	Ready() error
}

type api struct {
	backend Backend
	// tokenDigest is the SHA-256 digest of the bearer token. If no token is set, it
	// is random, so that no request matches.
	tokenDigest [sha256.Size]byte
}

// New returns the handler of the API. With an empty token, every request that
// needs the token is refused.
func New(b Backend, token string) http.Handler {
	a := &api{backend: b, tokenDigest: sha256.Sum256([]byte(token))}
	if token == "" {
		_, _ = rand.Read(a.tokenDigest[:])
	}
	root := goji.NewMux()
	root.Use(requestID)
	root.HandleFunc(pat.Get("/healthz"), func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	root.HandleFunc(pat.Get("/readyz"), a.ready)
	mux := goji.SubMux()
	mux.Use(a.authorize)
	mux.HandleFunc(pat.Get("/v1/config"), a.getConfig)
	mux.HandleFunc(pat.Put("/v1/config"), a.putConfig)
	mux.HandleFunc(pat.Post("/v1/services/:name/:action"), a.setState)
	mux.HandleFunc(pat.Post("/v1/shards/:dc/:index/batches/:seq/release"), a.releaseBatch)
	mux.HandleFunc(pat.Get("/v1/status"), query(func(ctx context.Context) (any, error) { return b.Status(ctx) }))
	mux.HandleFunc(pat.Get("/v1/workers"), query(b.Workers))
	mux.HandleFunc(pat.Get("/v1/jobs"), query(func(ctx context.Context) (any, error) { return b.Jobs(ctx) }))
	mux.HandleFunc(pat.Get("/metrics"), b.Metrics)
	root.Handle(pat.New("/*"), mux)
	return root
}

// requestID sends the ID in the request's header back in the response. If it is
// missing or too long, a new ID is generated.
func requestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Mangoslip-Request-Id")
		if id == "" || len(id) > 64 {
			id = rand.Text()
		}
		w.Header().Set("Mangoslip-Request-Id", id)
		next.ServeHTTP(w, r)
	})
}

// authorize refuses requests without the bearer token. It compares digests in
// constant time, so that the time taken reveals neither the content nor the
// length of the token.
func (a *api) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(given))
		if subtle.ConstantTimeCompare(sum[:], a.tokenDigest[:]) != 1 || !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			refuse(w, problem{Status: http.StatusUnauthorized, Reason: "Unauthorized", Detail: "send the operators' token as a bearer token"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *api) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.backend.Ready(); err != nil {
		refuse(w, problem{Status: http.StatusServiceUnavailable, Reason: "NotReady", Detail: err.Error()})
		return
	}
	fmt.Fprintln(w, "ready")
}

// query returns a handler that sends the result of get as JSON.
func query(get func(context.Context) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := get(r.Context())
		if err != nil {
			refuse(w, problemOf(err))
			return
		}
		send(w, "application/json", http.StatusOK, v)
	}
}

func etag(r sched.Revision) string { return strconv.Quote(strconv.FormatUint(uint64(r), 10)) }

func (a *api) getConfig(w http.ResponseWriter, r *http.Request) {
	s, err := a.backend.Config(r.Context())
	if err != nil {
		refuse(w, problemOf(err))
		return
	}
	w.Header().Set("ETag", etag(s.Revision))
	w.Header().Set("Content-Type", "application/toml")
	_, _ = io.WriteString(w, s.Text)
}

func (a *api) putConfig(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		refuse(w, problem{Status: http.StatusPreconditionRequired, Reason: "IfMatchMissing", Detail: "send the revision that the edit is based on as If-Match, 0 for the first"})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, text.MaxSize))
	if err != nil {
		refuse(w, problem{Status: http.StatusRequestEntityTooLarge, Reason: "BodyTooLarge", Detail: "the text is larger than 512 KiB or was cut off; send it again"})
		return
	}
	edit := Edit{Text: string(body), IfMatch: sched.Revision(base), Author: author(r)}
	revision, err := a.backend.PutConfig(r.Context(), edit)
	if err != nil {
		p := problemOf(err)
		var conflict *config.ConflictError
		if errors.As(err, &conflict) {
			p.Difference = a.difference(r.Context(), edit.Text)
		}
		refuse(w, p)
		return
	}
	w.Header().Set("ETag", etag(revision))
	send(w, "application/json", http.StatusOK, struct{ Revision sched.Revision }{revision})
}

// difference returns what the edited text would change in the current one, or
// nil if one of them cannot be read or parsed.
func (a *api) difference(ctx context.Context, edited string) *text.Difference {
	current, err := a.backend.Config(ctx)
	if err != nil {
		return nil
	}
	from, fromErr := text.Parse([]byte(current.Text))
	to, toErr := text.Parse([]byte(edited))
	if fromErr != nil || toErr != nil {
		return nil
	}
	d := text.Diff(from, to)
	return &d
}

// actions maps the actions in URL paths to the states that they set.
var actions = map[string]sched.ServiceState{
	"start": sched.ServiceStarted,
	"drain": sched.ServiceDraining,
	"stop":  sched.ServiceStopped,
}

func (a *api) setState(w http.ResponseWriter, r *http.Request) {
	state, ok := actions[pat.Param(r, "action")]
	if !ok {
		refuse(w, problem{Status: http.StatusNotFound, Reason: "UnknownAction", Detail: "allowed are start, drain and stop"})
		return
	}
	edit := StateEdit{
		Service: sched.ServiceName(pat.Param(r, "name")),
		State:   state,
		Cascade: r.URL.Query().Get("Cascade") == "true",
		Author:  author(r),
	}
	revision, changed, err := a.backend.SetState(r.Context(), edit)
	if err != nil {
		refuse(w, problemOf(err))
		return
	}
	send(w, "application/json", http.StatusOK, struct {
		Revision sched.Revision
		Changed  []sched.ServiceName
	}{revision, changed})
}

func (a *api) releaseBatch(w http.ResponseWriter, r *http.Request) {
	shard, err := sched.ParseShardID(pat.Param(r, "dc") + "/" + pat.Param(r, "index"))
	if err != nil {
		refuse(w, problem{Status: http.StatusBadRequest, Reason: "BadShard", Detail: err.Error()})
		return
	}
	seq, err := strconv.ParseUint(pat.Param(r, "seq"), 10, 64)
	if err != nil {
		refuse(w, problem{Status: http.StatusBadRequest, Reason: "BadSequence", Detail: "the sequence of a batch is a number, as status lists it"})
		return
	}
	if err := a.backend.ReleaseBatch(r.Context(), shard, seq, author(r)); err != nil {
		refuse(w, problemOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// author returns the operator's name in the request, cut off at 128 bytes.
func author(r *http.Request) string {
	name := r.Header.Get("Mangoslip-Author")
	return name[:min(len(name), 128)]
}

// send writes v as a JSON body.
func send(w http.ResponseWriter, contentType string, status int, v any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
