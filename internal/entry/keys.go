package entry

import (
	"context"
	"errors"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/admit"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
)

// finishTimeout bounds the time for reporting the outcome of a request to the
// owner of its key. The owner treats an outcome that is not reported as unknown.
const finishTimeout = 30 * time.Second

// errNotOwner causes a report of an outcome to be retried, possibly at a new
// owner.
var errNotOwner = errors.New("shard has no serving owner")

// keyPart escapes one part of a scoped key, so that a part cannot contain the
// separator.
func keyPart(s string) string { return url.QueryEscape(s) }

// beginKey asks the owner of the key's shard whether the request may run.
func (r *request) beginKey() {
	r.msgs <- r.e.keyDecision(r.e.context(), r)
}

// Times of the wait for an owner of a key's shard.
const (
	// keyOwnerWait bounds the wait. After a graceful shutdown or a handover a
	// shard has no owner until the other entries read the ownership table, which
	// they do every 2 s.
	keyOwnerWait = 3 * time.Second
	// keyOwnerPause is the pause before the owner is asked again.
	keyOwnerPause = 20 * time.Millisecond
)

// keyDecision asks the owner of the key's shard whether the request may run, and
// asks again while no owner answers. It sets Lost in the result if an owner that
// was asked may have recorded the key. The report of the outcome then frees the
// key.
func (e *Entry) keyDecision(ctx context.Context, r *request) admit.KeyVerdictMsg {
	ctx, cancel := context.WithDeadline(ctx, r.c.Deadline)
	defer cancel()
	until := time.Now().Add(keyOwnerWait)
	for mayBeDurable := false; ; {
		msg, retry := e.askOwner(ctx, r)
		mayBeDurable = mayBeDurable || msg.Lost
		msg.Lost = mayBeDurable
		if !retry || time.Now().After(until) || !pause(ctx, keyOwnerPause) {
			return msg
		}
		e.stats.Retried(msg.Reason)
	}
}

// askOwner asks the entry that owns the key's shard according to the ownership
// table. Retry reports whether the caller may ask again.
func (e *Entry) askOwner(ctx context.Context, r *request) (msg admit.KeyVerdictMsg, retry bool) {
	refused := admit.KeyVerdictMsg{Verdict: dedup.Refused, Reason: sched.ReasonKeyOwnerUnavailable}
	shard, ok := e.keyShard(r.key)
	if !ok {
		return refused, true
	}
	to, ok := e.ownerOf(shard)
	if !ok {
		return refused, true
	}
	k := peer.KeyCall{
		Shard: shard, Key: r.key, RequestID: r.callID, Fingerprint: fingerprint(r.c),
		Timeout: time.Until(r.c.Deadline), From: e.Name,
	}
	if to == e.Name {
		return decisionMsg(e.BeginKey(ctx, k))
	}
	p, ok := e.dialEntry(to)
	if !ok {
		return refused, true
	}
	v, err := p.BeginKey(ctx, k)
	if err != nil {
		refused.Lost = !errors.Is(err, sched.ErrUnavailable)
		return refused, !refused.Lost
	}
	return decisionMsg(v)
}

// decisionMsg converts the decision of the key's owner to a message for the admit
// machine. Retry reports whether the owner may be asked again.
func decisionMsg(v peer.KeyVerdict) (msg admit.KeyVerdictMsg, retry bool) {
	msg = admit.KeyVerdictMsg{Verdict: dedup.Verdict(v.Verdict), Reason: v.Reason}
	switch {
	case msg.Verdict == dedup.Repeat:
		msg.Answer = &dedup.Answer{Status: v.Answer.Status, Header: v.Answer.Header, Body: v.Answer.Body}
	case v.Reason == sched.ReasonNotOwner:
		msg.Reason = sched.ReasonKeyOwnerUnavailable
		retry = true
	case v.Reason == sched.ReasonKeyOwnerUnavailable:
		msg.Lost, retry = true, true
	}
	return msg, retry
}

// BeginKey implements peer.Backend. It refuses with NotOwner if the key was not
// recorded, and with KeyOwnerUnavailable if the key may have been recorded.
func (e *Entry) BeginKey(ctx context.Context, k peer.KeyCall) peer.KeyVerdict {
	refused := peer.KeyVerdict{Verdict: peer.VerdictRefused, Reason: sched.ReasonKeyOwnerUnavailable}
	s, ok := e.shards.Load().byID[k.Shard]
	if !ok || !s.serving() {
		return peer.KeyVerdict{Verdict: peer.VerdictRefused, Reason: sched.ReasonNotOwner}
	}
	id := e.ids.Add(1)
	ch := make(chan dedup.ReplyCmd, 1)
	s.mu.Lock()
	s.keys[id] = ch
	s.run(machineDedup, dedup.BeginMsg{
		Waiter: id, Key: k.Key, RequestID: k.RequestID, Fingerprint: k.Fingerprint,
		From: k.From, Deadline: time.Now().Add(k.Timeout),
	})
	s.unlock()
	select {
	case c := <-ch:
		return e.peerDecision(s, c)
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.keys, id)
		s.mu.Unlock()
		return refused
	}
}

// peerDecision converts a reply of the dedup machine. It passes the decision Go on
// only if this entry still serves the shard. Otherwise a new owner may have read
// the journal before the key was recorded.
func (e *Entry) peerDecision(s *shard, c dedup.ReplyCmd) peer.KeyVerdict {
	v := peer.KeyVerdict{Verdict: peer.Verdict(c.Verdict), Reason: c.Reason}
	switch {
	case c.Verdict == dedup.Go && !s.serving(), c.Reason == sched.ReasonNotOwner:
		return peer.KeyVerdict{Verdict: peer.VerdictRefused, Reason: sched.ReasonKeyOwnerUnavailable}
	case c.Answer != nil:
		v.Answer = peer.Answer{Status: c.Answer.Status, Header: c.Answer.Header, Body: c.Answer.Body}
	}
	return v
}

// finishKey reports the outcome of a request to its key's owner in the
// background.
func (r *request) finishKey(outcome sched.Outcome) {
	report := peer.KeyOutcome{Key: r.key, RequestID: r.callID, Outcome: outcome}
	if a := r.sink.kept(); a != nil && outcome == sched.Ran {
		report.Answer = peer.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
	}
	r.e.pendingReports.Add(1)
	go func() {
		defer r.e.pendingReports.Add(-1)
		r.e.reportKey(r.e.context(), report)
	}()
}

// reportKey reports an outcome to the owner of the key's shard. It retries until
// the owner accepts the report or finishTimeout has passed.
func (e *Entry) reportKey(ctx context.Context, report peer.KeyOutcome) {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, e.reportKeyOnce(ctx, report)
	}, backoff.WithMaxElapsedTime(finishTimeout), backoff.WithNotify(func(error, time.Duration) {
		e.stats.Count("Keys", "ReportRepeated")
	}))
	if err != nil {
		e.stats.Count("Keys", "ReportFailed")
		e.log.Warn("reporting the outcome of a request to the key's owner failed", "id", report.RequestID, "err", err)
	}
}

// reportKeyOnce makes one attempt to report an outcome.
func (e *Entry) reportKeyOnce(ctx context.Context, report peer.KeyOutcome) error {
	shard, ok := e.keyShard(report.Key)
	if !ok {
		return errNotOwner
	}
	report.Shard = shard
	to, ok := e.ownerOf(shard)
	if !ok {
		return errNotOwner
	}
	if to == e.Name {
		if e.FinishKey(ctx, report) != "" {
			return errNotOwner
		}
		return nil
	}
	p, ok := e.dialEntry(to)
	if !ok {
		return errNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reason, err := p.FinishKey(ctx, report)
	if err == nil && reason != "" {
		err = errNotOwner
	}
	return err
}

// FinishKey implements peer.Backend.
func (e *Entry) FinishKey(_ context.Context, k peer.KeyOutcome) sched.Reason {
	s, ok := e.shards.Load().byID[k.Shard]
	if !ok || !s.serving() {
		return sched.ReasonNotOwner
	}
	msg := dedup.FinishMsg{Key: k.Key, RequestID: k.RequestID, Outcome: k.Outcome}
	if k.Answer.Status != 0 {
		msg.Answer = &dedup.Answer{Status: k.Answer.Status, Header: k.Answer.Header, Body: k.Answer.Body}
	}
	s.mu.Lock()
	defer s.unlock()
	if s.phase != phaseServing || s.suspended {
		return sched.ReasonNotOwner
	}
	s.run(machineDedup, msg)
	return ""
}
