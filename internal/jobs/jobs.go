// Package jobs handles the job requests of callers on any entry. It implements
// [sched.JobService].
//
// A job is accepted once it is in the store. Its key is written only if it does
// not exist yet, so a repeated submission finds the first one. An entry that
// cannot reach the store asks other entries to record the job. A request whose
// outcome is unknown is refused with [sched.Unknown], never with [sched.NotRun].
//
// A cancellation is recorded under a key of its own, also for a job that is not in the
// store: the write of that job may still take effect, and must not start anything then.
//
// # Usage
//
//	s := jobs.New(store, leader, peers, jobs.WithLogger(log))
//	err := s.Submit(ctx, workflow)
package jobs

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangoslip/mangoslip/internal/guard"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const (
	// attemptTimeout bounds one call to the store.
	attemptTimeout = 700 * time.Millisecond
	// hedgeAfter is how long the store may take before another entry is asked to
	// write the same record. Both may write it, since records are idempotent.
	hedgeAfter = 150 * time.Millisecond
	// askTimeout bounds one call to another entry.
	askTimeout = 600 * time.Millisecond
	// stateTimeout bounds a request to the leader for the state of a job. It is
	// short because the store can still be read afterwards.
	stateTimeout = 250 * time.Millisecond
	// retryPause is the pause before a write with an unknown outcome is repeated.
	retryPause = 60 * time.Millisecond
	// minRetryAfter is the shortest retry-after time of a request that was refused
	// because the store or the leader could not be reached.
	minRetryAfter = time.Second
	// retryAfterShare and retryAfterJitter give the retry-after time as a share of
	// how long the store has been unreachable. An outage that has lasted for some
	// time is likely to last as long again, and callers repeat a request only a
	// few times. The jitter keeps callers that were refused at the same time from
	// returning at the same time.
	retryAfterShare  = 0.6
	retryAfterJitter = 0.3
	// asksPerRequest bounds the number of other entries asked for one request.
	asksPerRequest = 2
)

// Leadership gives access to the leader's state machine, if this entry leads, and
// to what this entry knows about the leader.
type Leadership interface {
	// Current returns the entry that this one believes to be the leader.
	Current() layout.Leader
	// State returns the state of a job in the state machine of this entry, whether
	// the job is known there, and whether this entry is confirmed as the leader.
	State(id sched.JobID) (state sched.JobState, known, leads bool)
	// QueuedJobs returns the length of a queue and whether this entry leads.
	QueuedJobs(q sched.QueueName) (n int, leads bool)
	// ObserveLeader records the leader that another entry named.
	ObserveLeader(v layout.Leader)
}

// Peers lists other entries and sends questions to them.
type Peers interface {
	// List returns the other entries that may be asked, the preferred one first.
	List() []layout.Entry
	// Ask sends a question to an entry. After an error it is unknown whether the
	// question was carried out.
	Ask(ctx context.Context, e layout.Entry, q relay.Question) (relay.Answer, error)
}

// Service handles job requests. It is safe for concurrent use.
type Service struct {
	store  sched.MetadataStore
	leader Leadership
	peers  Peers
	log    *slog.Logger
	now    func() time.Time
	health Health
	ended  *stateCache
	// adviser is asked on behalf of other entries; nil if there is none.
	adviser sched.Adviser
	// unknownCancels limits the cancellations of jobs that are not in the store.
	unknownCancels *rate.Limiter
	// room bounds the memory of accepted jobs; nil if there is no bound. storedChecks
	// limits the checks whether a refused job is in the store.
	room         *room
	storedChecks *rate.Limiter
	// late lists the late jobs while this entry leads; nil if it never lists them.
	late        LateSource
	lateTimeout time.Duration
}

// Option changes a setting of a [Service].
type Option func(*Service)

// WithLogger sets the logger; the default discards.
func WithLogger(l *slog.Logger) Option { return func(s *Service) { s.log = l } }

// WithAdviser sets the adviser that this entry asks on behalf of other entries.
func WithAdviser(a sched.Adviser) Option { return func(s *Service) { s.adviser = a } }

// New returns a service.
func New(store sched.MetadataStore, leader Leadership, peers Peers, opts ...Option) *Service {
	s := &Service{
		store: store, leader: leader, peers: peers, log: slog.New(slog.DiscardHandler), now: time.Now,
		ended: newStateCache(stateCacheSize), unknownCancels: rate.NewLimiter(unknownCancelsPerSecond, unknownCancelsBurst),
		storedChecks: rate.NewLimiter(storedChecksPerSecond, storedChecksBurst), lateTimeout: lateTimeout,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Health returns the record of whether the store can be reached.
func (s *Service) Health() *Health { return &s.health }

// retryAfter returns the time after which a refused caller should try again.
func (s *Service) retryAfter() time.Duration {
	share := retryAfterShare + retryAfterJitter*rand.Float64()
	return max(minRetryAfter, time.Duration(share*float64(s.health.UnreachableFor(s.now()))))
}

// Submit implements [sched.JobService].
func (s *Service) Submit(ctx context.Context, w *sched.Workflow) error {
	if stored, err := s.admit(ctx, w); stored || err != nil {
		return err
	}
	value := layout.Encode(layout.Job{Workflow: w, Accepted: s.now().UnixMilli()})
	return s.record(ctx, layout.JobKey(w.ID), value, relay.Question{Verb: relay.VerbSubmit, Job: w.ID, Workflow: w})
}

// result is the outcome of writing a record, either directly to the store or
// through other entries.
type result struct {
	err error
	// unknown means that the record may exist or may still be written.
	unknown bool
	// peer means that the result comes from other entries.
	peer bool
}

// record creates a key that is never changed afterwards. It writes to the store,
// and also asks other entries if that fails or takes longer than hedgeAfter. If
// the store counts as unreachable, it asks other entries only. q is the question
// that makes another entry write the same record.
func (s *Service) record(ctx context.Context, key string, value []byte, q relay.Question) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	running := 0
	if !s.health.Unreachable() {
		running++
		go func() {
			results <- s.guarded("record in store", func() result { return s.recordInStore(ctx, key, value) })
		}()
	}
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	asked := false
	ask := func() {
		if !asked {
			asked = true
			running++
			go func() { results <- s.guarded("ask others", func() result { return s.askOthers(ctx, q) }) }()
		}
	}
	if running == 0 {
		ask()
	}
	unknown := false
	var last error
	for running > 0 {
		select {
		case <-hedge.C:
			ask()
		case <-ctx.Done():
			return &sched.Refusal{Reason: sched.ReasonDeadlineExceeded, Outcome: sched.Unknown, Err: ctx.Err()}
		case r := <-results:
			running--
			if r.err == nil {
				return nil
			}
			unknown = unknown || r.unknown
			last = r.err
			ask()
		}
	}
	outcome := sched.NotRun
	if unknown {
		outcome = sched.Unknown
	}
	return &sched.Refusal{Reason: sched.ReasonStoreUnavailable, Outcome: outcome, RetryAfter: s.retryAfter(), Err: last}
}

// guarded calls f. After a panic the outcome is unknown.
func (s *Service) guarded(step string, f func() result) (r result) {
	err := guard.Run(func() { r = f() })
	if err != nil {
		guard.Log(s.log, step, err)
		return result{err: err, unknown: true}
	}
	return r
}

// recordInStore writes a key to the store and repeats the write while its outcome
// is unknown.
func (s *Service) recordInStore(ctx context.Context, key string, value []byte) result {
	unknown := false
	for {
		err := s.write(ctx, key, value)
		switch {
		case err == nil, errors.Is(err, sched.ErrConflict):
			return result{} // Written by this call or by an earlier one.
		case errors.Is(err, sched.ErrRefused):
			// The store would refuse the same write again.
			return result{err: err, unknown: unknown}
		case errors.Is(err, sched.ErrUnavailable) && !unknown:
			return result{err: err}
		case !errors.Is(err, sched.ErrUnavailable):
			unknown = true
		}
		if s.health.Unreachable() {
			// Waiting here does not help while the store is unreachable. The caller
			// can repeat the request at another entry under the same id.
			return result{err: err, unknown: true}
		}
		select {
		case <-ctx.Done():
			return result{err: err, unknown: true}
		case <-time.After(retryPause):
		}
	}
}

// write creates a key unless it exists.
func (s *Service) write(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err := s.store.Commit(ctx, sched.Txn{
		Conditions: []sched.Condition{{Key: key}},
		Writes:     []sched.Write{{Key: key, Value: value}},
	})
	s.health.Record(err)
	return err
}

// askOthers asks other entries, one after the other, to write a record.
func (s *Service) askOthers(ctx context.Context, q relay.Question) result {
	out := result{err: errNoPeer, peer: true}
	for i, e := range s.peers.List() {
		if i == asksPerRequest || ctx.Err() != nil {
			break
		}
		a, err := s.ask(ctx, e, q, askTimeout)
		s.log.Info("asked another entry to record", "id", q.Job, "peer", e.Name, "verb", q.Verb, "reason", a.Reason,
			"outcome", a.Outcome, "error", err)
		switch {
		case err != nil:
			out.unknown, out.err = true, err
		case a.Reason == "":
			return result{peer: true}
		default:
			out.err = a.Err()
			out.unknown = out.unknown || a.Outcome != sched.NotRun
		}
	}
	return out
}

// errNoPeer means that no other entry is known.
var errNoPeer = errors.New("no other entry to ask")

// ask sends a question to an entry and passes on the leader that its answer names.
func (s *Service) ask(ctx context.Context, e layout.Entry, q relay.Question, timeout time.Duration) (relay.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := s.peers.Ask(ctx, e, q)
	if err == nil && a.Leader.Term > 0 {
		s.leader.ObserveLeader(a.Leader)
	}
	return a, err
}

// State implements [sched.JobService].
func (s *Service) State(ctx context.Context, id sched.JobID) (sched.JobState, error) {
	if state, ok := s.ended.get(id); ok {
		return state, nil
	}
	state, known, confirmed := s.stateOfLeader(ctx, id)
	if !confirmed {
		// A state from an entry that may have been replaced as leader is used only
		// if the store cannot be read.
		stored, err := s.storedState(ctx, id)
		switch {
		case err == nil:
			state = stored
		case !known || !isUnreachable(err):
			return 0, err
		}
	}
	if state.Final() {
		s.ended.put(id, state)
	}
	return state, nil
}

// isUnreachable reports whether a request failed because the store could not be
// reached.
func isUnreachable(err error) bool {
	refusal := (*sched.Refusal)(nil)
	return errors.As(err, &refusal) && refusal.Reason == sched.ReasonStoreUnavailable
}

// stateOfLeader returns the state of a job in the leader's state machine, on this
// entry or on another one. known reports whether the job is known there, and
// confirmed whether in addition that entry is certainly still the leader.
func (s *Service) stateOfLeader(ctx context.Context, id sched.JobID) (state sched.JobState, known, confirmed bool) {
	state, known, confirmed = s.leader.State(id)
	if known || confirmed {
		return state, known, known && confirmed
	}
	e, ok := s.believedLeader()
	if !ok {
		return 0, false, false
	}
	a, err := s.ask(ctx, e, relay.Question{Verb: relay.VerbState, Job: id}, stateTimeout)
	if err != nil {
		s.log.Info("leader does not answer", "id", id, "leader", e.Name, "error", err)
		return 0, false, false
	}
	known = a.Reason == ""
	return a.State, known, known && !a.Stale
}

// believedLeader returns the entry that this one believes to be the leader, and
// whether a leader is known at all.
func (s *Service) believedLeader() (layout.Entry, bool) {
	l := s.leader.Current()
	return layout.Entry{Name: l.Name, Addr: l.Addr}, l.Term > 0
}

// Waiting implements [sched.JobService].
func (s *Service) Waiting(ctx context.Context, q sched.QueueName) (int, error) {
	if n, leads := s.leader.QueuedJobs(q); leads {
		return n, nil
	}
	e, ok := s.believedLeader()
	if !ok {
		return 0, &sched.Refusal{Reason: sched.ReasonNoOwner, Outcome: sched.NotRun, RetryAfter: s.retryAfter()}
	}
	a, err := s.ask(ctx, e, relay.Question{Verb: relay.VerbWaiting, Queue: q}, askTimeout)
	if err != nil {
		return 0, &sched.Refusal{Reason: sched.ReasonNoOwner, Outcome: sched.NotRun, RetryAfter: s.retryAfter(), Err: err}
	}
	return a.Count, a.Err()
}
