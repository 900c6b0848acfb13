package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/admit"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/retry"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var places = admit.PlaceMsg{Places: []route.Place{{Peer: "e1"}, {Peer: "e2"}}}

// drive sends messages to a new machine and returns the commands of the last
// message.
func drive(msgs ...sched.Msg) []sched.Cmd {
	m := admit.New(retry.New(retry.WithShare(1, 1)))
	var out []sched.Cmd
	for _, msg := range msgs {
		if s, ok := msg.(admit.StartMsg); ok && s.Deadline.IsZero() {
			s.Deadline = start.Add(time.Second)
			msg = s
		}
		out = m.Update(start, msg)
	}
	return out
}

func ended(n int, o sched.Outcome, r sched.Reason) admit.AttemptEndedMsg {
	return admit.AttemptEndedMsg{Attempt: n, Outcome: o, Reason: r}
}

func requireAnswer(t *testing.T, o sched.Outcome, r sched.Reason, msgs ...sched.Msg) {
	t.Helper()
	out := drive(msgs...)
	require.NotEmpty(t, out)
	got, ok := out[len(out)-1].(admit.AnswerCmd)
	require.True(t, ok, "%v", out)
	require.Equal(t, o, got.Outcome)
	require.Equal(t, r, got.Reason)
}

func requireRetry(t *testing.T, msgs ...sched.Msg) {
	t.Helper()
	out := drive(msgs...)
	require.Len(t, out, 1)
	require.IsType(t, admit.WaitCmd{}, out[0])
}

// Guards against retries that may run a request twice, and against NotRun for
// a request that may have run.
func TestAttempts(t *testing.T) {
	refused := ended(1, sched.NotRun, sched.ReasonTargetRefused)
	broken := ended(1, sched.Unknown, sched.ReasonTargetBroken)
	t.Run("not run is retried", func(t *testing.T) {
		requireRetry(t, admit.StartMsg{}, places, refused)
	})
	t.Run("unknown is not", func(t *testing.T) {
		requireAnswer(t, sched.Unknown, sched.ReasonTargetBroken, admit.StartMsg{}, places, broken)
	})
	t.Run("unknown and idempotent is", func(t *testing.T) {
		requireRetry(t, admit.StartMsg{Idempotent: true}, places, broken)
	})
	t.Run("unknown stays unknown", func(t *testing.T) {
		requireAnswer(t, sched.Unknown, sched.ReasonTargetBroken, admit.StartMsg{Idempotent: true}, places,
			broken, admit.WaitedMsg{}, places, ended(2, sched.NotRun, sched.ReasonDeadlineTooShort))
	})
	t.Run("contradiction is unknown", func(t *testing.T) {
		requireAnswer(t, sched.Unknown, sched.ReasonTargetTimeout, admit.StartMsg{}, places,
			ended(1, sched.NotRun, sched.ReasonTargetTimeout))
	})
	t.Run("not after the answer has started", func(t *testing.T) {
		cut := broken
		cut.AnswerStarted = true
		requireAnswer(t, sched.Unknown, sched.ReasonTargetBroken, admit.StartMsg{Idempotent: true}, places, cut)
	})
	t.Run("not at the failed place", func(t *testing.T) {
		out := drive(admit.StartMsg{}, places, refused, admit.WaitedMsg{}, places)
		require.Equal(t, []sched.Cmd{admit.AttemptCmd{Attempt: 2, Place: places.Places[1]}}, out)
	})
	t.Run("late end of an earlier attempt", func(t *testing.T) {
		require.Empty(t, drive(admit.StartMsg{}, places, refused, admit.WaitedMsg{}, places, ended(1, sched.Ran, "")))
	})
	t.Run("no owner", func(t *testing.T) {
		requireAnswer(t, sched.NotRun, sched.ReasonNoOwner, admit.StartMsg{}, admit.PlaceMsg{})
	})
	t.Run("no retry past the deadline", func(t *testing.T) {
		requireAnswer(t, sched.NotRun, sched.ReasonTargetRefused, admit.StartMsg{}, places, admit.DeadlineMsg{}, refused)
	})
}

// Guards against keys that are never finished, and against a request that runs
// without the permission of the key's owner.
func TestKeys(t *testing.T) {
	granted := admit.KeyVerdictMsg{Verdict: dedup.Go}
	finish := func(o sched.Outcome) admit.FinishKeyCmd { return admit.FinishKeyCmd{Outcome: o} }
	keyed := admit.StartMsg{Keyed: true}
	cases := map[string]struct {
		want sched.Outcome
		msgs []sched.Msg
	}{
		"ran":                     {sched.Ran, []sched.Msg{granted, places, ended(1, sched.Ran, "")}},
		"unknown":                 {sched.Unknown, []sched.Msg{granted, places, ended(1, sched.Unknown, "")}},
		"deadline before a place": {sched.NotRun, []sched.Msg{granted, admit.DeadlineMsg{}}},
		"gone before the verdict": {sched.NotRun, []sched.Msg{admit.CallerGoneMsg{}, granted}},
		"gone before a place":     {sched.NotRun, []sched.Msg{granted, admit.CallerGoneMsg{}}},
		"gone while running":      {sched.Ran, []sched.Msg{granted, places, admit.CallerGoneMsg{}, ended(1, sched.Ran, "")}},
		"deadline before verdict": {sched.NotRun, []sched.Msg{admit.DeadlineMsg{}, granted}},
		"verdict lost":            {sched.NotRun, []sched.Msg{admit.KeyVerdictMsg{Verdict: dedup.Refused, Reason: sched.ReasonNoOwner, Lost: true}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, drive(append([]sched.Msg{keyed}, c.msgs...)...), finish(c.want))
		})
	}
	t.Run("refused", func(t *testing.T) {
		requireAnswer(t, sched.Unknown, sched.ReasonFirstCallUnknown, keyed,
			admit.KeyVerdictMsg{Verdict: dedup.Refused, Reason: sched.ReasonFirstCallUnknown})
	})
	t.Run("deadline before verdict is unknown", func(t *testing.T) {
		requireAnswer(t, sched.Unknown, sched.ReasonFirstCallUnknown, keyed, admit.DeadlineMsg{})
	})
}
