package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/agent"
	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/sched/retry"
)

// copyBuffer is the size in bytes of the buffer for copying an answer.
const copyBuffer = 32 << 10

// buffers holds copy buffers for reuse.
var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// attemptAt runs a request on a slot of a shard that this entry serves. The
// context must end at the deadline of the request.
func (e *Entry) attemptAt(ctx context.Context, id sched.ShardID, c call.Call, svc *sched.Service, sink call.Sink) call.Result {
	s, ok := e.shards.Load().byID[id]
	if !ok {
		return call.Refused(sched.ReasonNotOwner)
	}
	n := e.ids.Add(1)
	grant, reason := s.acquireSlot(ctx, n, c, svc)
	if reason != "" {
		return call.Refused(reason)
	}
	began := time.Now()
	res, release := e.send(ctx, s, grant, c, svc, sink)
	release.ID, release.Latency = n, time.Since(began)
	s.post(machinePool, release)
	return res
}

// acquireSlot waits for a free slot until ctx ends. It returns a reason if it
// gets none.
func (s *shard) acquireSlot(ctx context.Context, id uint64, c call.Call, svc *sched.Service) (pool.GrantCmd, sched.Reason) {
	ch := make(chan sched.Cmd, 1)
	s.mu.Lock()
	s.grants[id] = ch
	s.run(machinePool, pool.AcquireMsg{
		ID: id, Service: svc.Name, Team: c.Team, Class: routeClass(c),
		Deadline: c.Deadline, Body: sched.Bytes(len(c.Body)),
	})
	s.unlock()
	var cmd sched.Cmd
	select {
	case cmd = <-ch:
	case <-ctx.Done():
		if cmd = s.withdraw(id, ch); cmd == nil {
			return pool.GrantCmd{}, sched.ReasonDeadlineExceeded
		}
	}
	switch cmd := cmd.(type) {
	case pool.GrantCmd:
		return cmd, ""
	case pool.RefuseCmd:
		return pool.GrantCmd{}, cmd.Reason
	default:
		return pool.GrantCmd{}, sched.ReasonNoCapacity
	}
}

// withdraw removes a waiting request from the queue of the pool. If the pool has
// already decided, withdraw returns the decision, otherwise nil.
func (s *shard) withdraw(id uint64, ch chan sched.Cmd) sched.Cmd {
	s.mu.Lock()
	s.run(machinePool, pool.CancelMsg{ID: id})
	delete(s.grants, id)
	s.unlock()
	select {
	case cmd := <-ch:
		return cmd
	default:
		return nil
	}
}

// routeClass returns the method and the first path segment of a call. The pool
// learns run times separately for each class.
func routeClass(c call.Call) string {
	path, _, _ := strings.Cut(strings.TrimPrefix(c.Path, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	return c.Method + " " + first
}

// send sends a request to the granted target. It returns the result and the
// message that releases the slot.
func (e *Entry) send(ctx context.Context, s *shard, g pool.GrantCmd, c call.Call, svc *sched.Service, sink call.Sink) (call.Result, pool.ReleaseMsg) {
	if !s.serving() {
		return call.Refused(sched.ReasonNotOwner), pool.ReleaseMsg{Outcome: sched.NotRun, Reason: sched.ReasonNotOwner}
	}
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, svc.Timeout)
	defer cancel()
	resp, err := e.Targets.Do(ctx, g.Addr, agent.Request{
		Service: svc.Name, Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body, ID: c.RequestID,
	})
	if err != nil {
		reason := targetReason(ctx, err)
		e.log.Debug("attempt failed", "id", c.RequestID, "worker", g.Worker, "reason", reason, "err", err)
		return call.Refused(reason), pool.ReleaseMsg{Outcome: reason.Outcome(), Reason: blame(caller, err, reason)}
	}
	defer resp.Body.Close()
	if err := copyAnswer(resp, sink); err != nil {
		reason := targetReason(ctx, errors.Join(sched.ErrLost, err))
		return call.Result{Outcome: sched.Unknown, Reason: reason, Started: true},
			pool.ReleaseMsg{Outcome: sched.Unknown, Reason: blame(caller, err, reason)}
	}
	release := pool.ReleaseMsg{Outcome: sched.Ran}
	if resp.Status >= http.StatusInternalServerError {
		// The caller gets the answer unchanged, but the attempt counts as a
		// failure of the worker.
		release.Reason = sched.ReasonTargetBroken
	}
	return call.Result{Outcome: sched.Ran, Started: true}, release
}

// targetReason maps the error of an exchange with a target to a reason. Only
// errors that prove that the request did not run map to a reason whose outcome is
// NotRun.
func targetReason(ctx context.Context, err error) sched.Reason {
	switch {
	case errors.Is(err, sched.ErrLost) && ctx.Err() != nil:
		return sched.ReasonTargetTimeout
	case errors.Is(err, sched.ErrLost):
		return sched.ReasonTargetBroken
	case errors.Is(err, sched.ErrRefused):
		return sched.ReasonTargetRefused
	case errors.Is(err, sched.ErrUnavailable):
		return sched.ReasonNoTarget
	default:
		return sched.ReasonTargetBroken
	}
}

// errDisconnected means that the receiver of an answer has disconnected.
var errDisconnected = errors.New("receiver of the answer has disconnected")

// blame returns the reason of a failed exchange if the worker may be the cause,
// and an empty reason if the caller has disconnected. Otherwise callers that
// leave together would take healthy workers out of use.
func blame(caller context.Context, err error, reason sched.Reason) sched.Reason {
	if errors.Is(err, errDisconnected) || errors.Is(context.Cause(caller), context.Canceled) {
		return ""
	}
	return reason
}

// copyAnswer copies an answer to the sink. An error means that the answer is
// incomplete.
func copyAnswer(resp *agent.Response, sink call.Sink) error {
	if err := sink.Head(resp.Status, resp.Header); err != nil {
		return errors.Join(errDisconnected, err)
	}
	buf, ok := buffers.Get().(*[]byte)
	if !ok {
		return io.ErrShortBuffer
	}
	defer buffers.Put(buf)
	for {
		n, err := resp.Body.Read(*buf)
		if n > 0 {
			if werr := sink.Write((*buf)[:n]); werr != nil {
				return errors.Join(errDisconnected, werr)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// retriers holds the retry budget of each service.
type retriers struct {
	sync.Mutex
	byName map[sched.ServiceName]sched.Retrier
}

// of returns the retry budget of a service.
func (r *retriers) of(name sched.ServiceName) sched.Retrier {
	r.Lock()
	defer r.Unlock()
	if r.byName == nil {
		r.byName = map[sched.ServiceName]sched.Retrier{}
	}
	b, ok := r.byName[name]
	if !ok {
		b = &lockedRetrier{b: retry.New(retry.WithSeed(uint64(time.Now().UnixNano())))}
		r.byName[name] = b
	}
	return b
}

// lockedRetrier is a retry budget that the requests of a service share.
type lockedRetrier struct {
	mu sync.Mutex
	b  *retry.Budget
}

// Allow implements sched.Retrier.
func (l *lockedRetrier) Allow(now, deadline time.Time, attempt int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Allow(now, deadline, attempt)
}

// Observe implements sched.Retrier.
func (l *lockedRetrier) Observe(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.Observe(now)
}
