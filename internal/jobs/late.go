package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// lateTimeout is the default time that the leader may take to answer which jobs are late.
const lateTimeout = 250 * time.Millisecond

// WithLateTimeout sets how long the leader may take to answer which jobs are late; the
// default is 250 ms.
func WithLateTimeout(d time.Duration) Option { return func(s *Service) { s.lateTimeout = d } }

// LateSource gives access to the late jobs in the leader's state machine.
type LateSource interface {
	// LateJobs returns the late jobs of a queue, or of all queues if the name is
	// empty, whether they are known, and whether this entry leads.
	LateJobs(q sched.QueueName, limit int) (list sched.LateJobs, known, leads bool)
}

// WithLateSource sets the state machine from which this entry answers which jobs are
// late while it leads. Without it the entry always asks the leader.
func WithLateSource(l LateSource) Option { return func(s *Service) { s.late = l } }

// errVerbUnknown means that the leader runs an older build without [relay.VerbLate].
var errVerbUnknown = errors.New("the leader's build does not list late jobs")

// Late returns the late jobs of a queue, or of all queues if the name is empty, and the
// leader that listed them. It returns a refusal if they are not known.
func (s *Service) Late(ctx context.Context, q sched.QueueName, limit int) (sched.LateJobs, sched.EntryName, error) {
	list, known, leads := s.ownLateJobs(q, limit)
	e, ok := s.believedLeader()
	switch {
	case known:
		return list, e.Name, nil
	case leads || !ok:
		return sched.LateJobs{}, "", s.lateUnknown(nil)
	}
	a, err := s.ask(ctx, e, relay.Question{Verb: relay.VerbLate, Queue: q, Limit: limit}, s.lateTimeout)
	switch {
	case err != nil:
		return sched.LateJobs{}, "", s.lateUnknown(err)
	case a.Reason != "":
		return sched.LateJobs{}, "", s.lateUnknown(a.Err())
	case a.Late == nil:
		return sched.LateJobs{}, "", s.lateUnknown(sched.Wrap(errVerbUnknown, "ask for late jobs", string(e.Name)))
	}
	return a.Late.Bounded(limit), e.Name, nil
}

// lateUnknown returns the refusal of a question for the late jobs.
func (s *Service) lateUnknown(err error) error {
	return &sched.Refusal{Reason: sched.ReasonNoOwner, Outcome: sched.NotRun, RetryAfter: s.retryAfter(), Err: err}
}

// ownLateJobs returns the late jobs in the state machine of this entry.
func (s *Service) ownLateJobs(q sched.QueueName, limit int) (list sched.LateJobs, known, leads bool) {
	if s.late == nil {
		return sched.LateJobs{}, false, false
	}
	return s.late.LateJobs(q, min(max(limit, 1), sched.MaxLateJobs))
}

// answerLate answers another entry's question for the late jobs.
func (s *Service) answerLate(q relay.Question, a *relay.Answer) {
	list, known, _ := s.ownLateJobs(q.Queue, q.Limit)
	if !known {
		a.Reason, a.Outcome, a.RetryAfter = sched.ReasonNotOwner, sched.NotRun, s.retryAfter()
		return
	}
	a.Late = &list
}
