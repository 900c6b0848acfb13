package entry

import (
	"context"
	"crypto/rand"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/admit"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// request runs the admit machine of one request and executes its commands.
type request struct {
	e   *Entry
	c   call.Call
	svc *sched.Service
	// key is the idempotency key scoped to team and service. It is empty if
	// the request has none.
	key string
	// callID is a random id that identifies this call at the key's owner. The
	// request id cannot be used: a caller may send it again with a repeat, and a
	// repeat that did not run must not free the key of the first call.
	callID string
	sink   *teeSink
	m      *admit.Machine
	msgs   chan sched.Msg
	// next is the attempt to run next, or nil.
	next func() admit.AttemptEndedMsg
	// cancel ends the current attempt.
	cancel context.CancelFunc
	answer *admit.AnswerCmd
	// lastReason is the reason why the previous attempt failed.
	lastReason sched.Reason
}

// Serve implements front.Backend.
func (e *Entry) Serve(ctx context.Context, c call.Call, sink call.Sink) call.Result {
	// The request is counted before the check of stopping. A graceful shutdown that
	// sets stopping and then sees a count of 0 can be sure that no request starts
	// later.
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	svc, reason := e.resolveService(&c)
	if reason != "" {
		return e.refused(keyedReason(c, reason))
	}
	r := &request{
		e: e, c: c, svc: svc, sink: &teeSink{to: sink, keep: c.Key != ""},
		m:    admit.New(e.retries.of(svc.Name)),
		msgs: make(chan sched.Msg, 4),
	}
	if c.Key != "" {
		r.key, r.callID = scopedKey(c), rand.Text()
	}
	began := time.Now()
	res := r.run(ctx)
	e.stats.Observe("Service", string(svc.Name), time.Since(began))
	return e.counted(res)
}

// resolveService returns the service of a call and replaces former names of the
// service and the team in the call with the current ones. It returns a reason if
// the entry cannot accept the call.
func (e *Entry) resolveService(c *call.Call) (*sched.Service, sched.Reason) {
	if e.stopping.Load() {
		return nil, sched.ReasonShuttingDown
	}
	cfg := e.conf.inForce()
	if cfg == nil {
		return nil, sched.ReasonNoOwner
	}
	svc, ok := cfg.Service(c.Service)
	if !ok {
		return nil, sched.ReasonUnknownService
	}
	c.Service, c.Team = svc.Name, teamOf(cfg, svc, c.Team)
	return svc, ""
}

// keyedReason returns the reason for refusing a call before the owner of its key
// was asked. For a call with a key it replaces a reason whose outcome is NotRun,
// because an earlier call with the same key may have run.
func keyedReason(c call.Call, reason sched.Reason) sched.Reason {
	if c.Key != "" && (reason == sched.ReasonShuttingDown || reason == sched.ReasonNoOwner) {
		return sched.ReasonKeyOwnerUnavailable
	}
	return reason
}

// teamOf returns the current name of the caller's team. If the team is unknown,
// it returns the team of the service.
func teamOf(cfg *sched.Config, svc *sched.Service, name sched.TeamName) sched.TeamName {
	if t, ok := cfg.Team(name); ok {
		return t.Name
	}
	return svc.Team
}

// refused counts and returns a refusal.
func (e *Entry) refused(r sched.Reason) call.Result { return e.counted(call.Refused(r)) }

// counted counts a result under its outcome and reason and returns it.
func (e *Entry) counted(res call.Result) call.Result {
	e.stats.Count("Outcome", res.Outcome.String())
	if res.Reason != "" {
		e.stats.Refused(res.Reason)
	}
	return res
}

// run sends messages to the machine until the request is done.
func (r *request) run(ctx context.Context) call.Result {
	deadline := time.NewTimer(time.Until(r.c.Deadline))
	defer deadline.Stop()
	callerGone := ctx.Done()
	r.update(admit.StartMsg{
		Deadline: r.c.Deadline, Keyed: r.key != "", Idempotent: r.svc.Idempotent(r.c.Method),
	})
	for !r.m.Done() {
		if r.next != nil {
			r.runAttempt(ctx)
			continue
		}
		select {
		case msg := <-r.msgs:
			r.update(msg)
		case <-deadline.C:
			r.update(admit.DeadlineMsg{})
		case <-callerGone:
			callerGone = nil
			r.update(admit.CallerGoneMsg{})
		}
	}
	return r.result()
}

// runAttempt runs the next attempt on the goroutine of the request. A separate
// goroutine would have to grow its stack for the HTTP client in each attempt and
// would cost two wake-ups. While the attempt runs, the machine gets a message only
// when the caller disconnects. The attempt needs no DeadlineMsg to end at the
// deadline, because its context does.
func (r *request) runAttempt(ctx context.Context) {
	attempt := r.next
	r.next = nil
	notified := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(notified)
		r.update(admit.CallerGoneMsg{})
	})
	end := attempt()
	if !stop() {
		<-notified
	}
	if !time.Now().Before(r.c.Deadline) {
		r.update(admit.DeadlineMsg{})
	}
	r.update(end)
}

// result returns the result for the caller. If the answer of an earlier call is
// repeated, result writes it first.
func (r *request) result() call.Result {
	a := r.answer
	res := call.Result{Outcome: a.Outcome, Reason: a.Reason, Started: r.sink.started}
	if a.Answer == nil || a.Gone {
		return res
	}
	res.Started = true
	if r.sink.to.Head(a.Answer.Status, a.Answer.Header) != nil || r.sink.to.Write(a.Answer.Body) != nil {
		r.e.stats.Count("Callers", "Gone")
	}
	return res
}

func (r *request) update(msg sched.Msg) {
	if end, ok := msg.(admit.AttemptEndedMsg); ok {
		r.lastReason = end.Reason
	}
	for _, c := range r.m.Update(time.Now(), msg) {
		r.command(c)
	}
}

// command executes a command of the machine. The result of a command arrives on
// msgs, except that of an attempt, which run starts.
func (r *request) command(c sched.Cmd) {
	switch c := c.(type) {
	case admit.BeginKeyCmd:
		go r.beginKey()
	case admit.PlaceCmd:
		places := r.e.places(r.svc.Name)
		r.msgs <- admit.PlaceMsg{Places: places}
	case admit.AttemptCmd:
		if c.Attempt > 1 {
			r.e.stats.Retried(r.lastReason)
		}
		ctx, cancel := context.WithDeadline(r.e.context(), r.c.Deadline)
		r.cancel = cancel
		r.next = func() admit.AttemptEndedMsg { return r.attempt(ctx, cancel, c) }
	case admit.CancelAttemptCmd:
		r.cancel()
	case admit.WaitCmd:
		time.AfterFunc(c.Duration, func() { r.msgs <- admit.WaitedMsg{} })
	case admit.FinishKeyCmd:
		r.finishKey(c.Outcome)
	case admit.AnswerCmd:
		r.answer = &c
	}
}

// attempt runs the request once, on a shard of this entry or at a peer.
func (r *request) attempt(ctx context.Context, cancel context.CancelFunc, c admit.AttemptCmd) admit.AttemptEndedMsg {
	defer cancel()
	var res call.Result
	if c.Place.Local() {
		res = r.e.attemptAt(ctx, c.Place.Shard, r.c, r.svc, r.sink)
	} else {
		res = r.e.forward(ctx, c.Place.Peer, r.c, r.sink)
	}
	return admit.AttemptEndedMsg{
		Attempt: c.Attempt, Outcome: res.Outcome, Reason: res.Reason, AnswerStarted: res.Started,
	}
}

// forward forwards the request to a peer.
func (e *Entry) forward(ctx context.Context, to sched.EntryName, c call.Call, sink call.Sink) call.Result {
	p, ok := e.dialEntry(to)
	if !ok {
		return call.Refused(sched.ReasonNoOwner)
	}
	e.stats.Count("Requests", "Forwarded")
	e.hints.Lock()
	e.hints.placer.Sent(c.Service, to)
	e.hints.Unlock()
	defer func() {
		e.hints.Lock()
		e.hints.placer.Returned(c.Service, to)
		e.hints.Unlock()
	}()
	return p.Forward(ctx, c, sink)
}

// places returns the shards of this entry and the peers that may run a request of
// a service, best first.
func (e *Entry) places(name sched.ServiceName) []route.Place {
	own := e.localShards(name)
	e.hints.Lock()
	defer e.hints.Unlock()
	return slices.Clone(e.hints.placer.Place(e.now(), name, own))
}

// localShards returns the free slots and the targets of a service in each shard
// that this entry serves.
func (e *Entry) localShards(name sched.ServiceName) []route.LocalShard {
	var own []route.LocalShard
	for id, s := range e.shards.Load().byID {
		if !s.serving() {
			continue
		}
		s.mu.Lock()
		if s.phase == phaseServing {
			own = append(own, route.LocalShard{Shard: id, Free: s.pool.Free(name), Targets: s.pool.Targets(name)})
		}
		s.mu.Unlock()
	}
	return own
}

// ServeForwarded implements peer.Backend. It runs a request that a peer forwarded
// on a slot of this entry. It neither retries nor forwards the request.
func (e *Entry) ServeForwarded(ctx context.Context, c call.Call, sink call.Sink) call.Result {
	// The request is counted before the check of stopping, as in Serve.
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	svc, reason := e.resolveService(&c)
	if reason != "" {
		return e.refused(reason)
	}
	own := e.localShards(svc.Name)
	if len(own) == 0 {
		return e.refused(sched.ReasonNotOwner)
	}
	best := slices.MaxFunc(own, func(a, b route.LocalShard) int {
		if a.Free != b.Free {
			return a.Free - b.Free
		}
		return a.Targets - b.Targets
	})
	if best.Targets == 0 {
		return e.refused(sched.ReasonNoTarget)
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return e.counted(e.attemptAt(ctx, best.Shard, c, svc, sink))
}

// scopedKey returns the idempotency key of a call, prefixed with its team and
// service. Idempotency records are stored under this key.
func scopedKey(c call.Call) string {
	return keyPart(string(c.Team)) + "/" + keyPart(string(c.Service)) + "/" + keyPart(c.Key)
}

// fingerprint returns a hash of method, path and body. It detects a key that is
// used again for a different request.
func fingerprint(c call.Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{c.Method, "\x00", c.Path, "\x00"} {
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// teeSink passes an answer on to the caller. For a call with a key it also keeps
// a copy of bounded size for repeats; in that case the attempt continues when the
// caller disconnects.
type teeSink struct {
	to      call.Sink
	keep    bool
	started bool
	// gone is set once writing to the caller has failed.
	gone   bool
	status int
	header http.Header
	body   []byte
	// tooBig is set once the body exceeds dedup.MaxAnswer.
	tooBig bool
}

// Head implements call.Sink.
func (t *teeSink) Head(status int, h http.Header) error {
	t.started = true
	if t.keep {
		t.status, t.header = status, maps.Clone(h)
	}
	return t.pass(func() error { return t.to.Head(status, h) })
}

// Write implements call.Sink.
func (t *teeSink) Write(b []byte) error {
	if t.keep && !t.tooBig {
		t.body = append(t.body, b...)
		t.tooBig = len(t.body) > dedup.MaxAnswer
	}
	return t.pass(func() error { return t.to.Write(b) })
}

// pass writes to the caller unless an earlier write failed. A failed write is an
// error only if no copy of the answer is kept.
func (t *teeSink) pass(f func() error) error {
	if t.gone {
		return nil
	}
	if err := f(); err != nil {
		t.gone = true
		if !t.keep {
			return err
		}
	}
	return nil
}

// kept returns the answer to keep for repeats. It returns nil if there is no
// answer or if it is too large.
func (t *teeSink) kept() *dedup.Answer {
	if !t.started || t.tooBig {
		return nil
	}
	return &dedup.Answer{Status: t.status, Header: t.header, Body: t.body}
}
