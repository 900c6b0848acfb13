package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/admit"
	"github.com/mangoslip/mangoslip/pkg/sched/retry"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// newRequestWithAttempt returns a request without a key whose machine has placed
// its first attempt, so that runAttempt can run it.
func newRequestWithAttempt(deadline time.Time, attempt func(ctx context.Context) admit.AttemptEndedMsg) *request {
	r := &request{c: call.Call{Deadline: deadline}, m: admit.New(retry.New())}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	started := time.Now()
	r.m.Update(started, admit.StartMsg{Deadline: started.Add(time.Hour), Idempotent: true})
	r.m.Update(started, admit.PlaceMsg{Places: []route.Place{{Peer: "entry-2"}}})
	r.next = func() admit.AttemptEndedMsg { return attempt(ctx) }
	return r
}

// Guards against an attempt that keeps its slot after the caller has
// disconnected.
func TestCallerThatGoesEndsTheAttempt(t *testing.T) {
	caller, cancelCaller := context.WithCancel(t.Context())
	r := newRequestWithAttempt(time.Now().Add(time.Hour), func(ctx context.Context) admit.AttemptEndedMsg {
		cancelCaller()
		<-ctx.Done()
		return admit.AttemptEndedMsg{Attempt: 1, Outcome: sched.Unknown, Reason: sched.ReasonTargetBroken}
	})
	r.runAttempt(caller)
	require.True(t, r.m.Done())
	require.True(t, r.answer.Gone)
	require.Equal(t, sched.Unknown, r.answer.Outcome)
}

// Guards against a retry after the deadline: the attempt ends with a retryable
// reason when the deadline has already passed.
func TestDeadlineInAnAttemptEndsTheRequest(t *testing.T) {
	r := newRequestWithAttempt(time.Now(), func(context.Context) admit.AttemptEndedMsg {
		return admit.AttemptEndedMsg{Attempt: 1, Outcome: sched.NotRun, Reason: sched.ReasonNoCapacity}
	})
	r.runAttempt(t.Context())
	require.True(t, r.m.Done())
	require.Equal(t, sched.NotRun, r.answer.Outcome)
}
