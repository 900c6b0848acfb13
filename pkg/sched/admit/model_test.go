package admit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/admit"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/retry"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// TestMain fixes the seed, so that every run checks the same sequences.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "7", "rapid.checks": "3000", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against a request with a key that runs twice, and against answers that
// contradict what ran. Lost commits, takeovers, late and repeated reports,
// callers that close their connection and entries that leave can cause both.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: start, keys: dedup.New(), retrier: retry.New(retry.WithShare(1, 100)), runs: map[string][]string{}, freed: map[string]bool{}, granted: map[string][]string{}}
		s.keys.Update(s.now, dedup.AcquiredMsg{})
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   s.arrive,
			"deliver":  s.deliver,
			"commit":   s.commit,
			"commit2":  s.commit,
			"end":      s.endAttempt,
			"end2":     s.endAttempt,
			"finish":   s.deliverReport,
			"takeover": s.takeover,
			"pass":     s.advance,
			"gone":     s.callerGone,
			"entry":    func(*rapid.T) { s.update(t, dedup.EntryGoneMsg{EntryName: "e1"}) },
			"":         s.check,
		})
	})
}

// call is one request of a caller. The field delivered means that its BeginMsg
// has reached the owner of the key, and verdict that the call has got an answer
// to it. The field granted means that this answer was Go, and notRun that the
// call has reported NotRun to the owner.
type call struct {
	*admit.Machine
	id, key   string
	waiter    uint64
	deadline  time.Time
	delivered bool
	verdict   bool
	attempt   int
	ran       bool
	granted   bool
	finished  bool
	notRun    bool
	answer    *admit.AnswerCmd
}

// simulation is the environment of the machines: the owner of the keys with its
// journal, the network and the targets.
type simulation struct {
	now     time.Time
	keys    *dedup.Machine
	retrier sched.Retrier
	calls   []*call
	journal []sched.Record
	appends []sched.AppendCmd
	reports []dedup.FinishMsg
	// runs holds the calls that really ran, by key, and granted those that got
	// Go. freed holds the calls whose keys are durably free.
	runs    map[string][]string
	granted map[string][]string
	freed   map[string]bool
}

func (s *simulation) arrive(t *rapid.T) {
	if len(s.calls) >= 8 {
		return
	}
	n := len(s.calls) + 1
	c := &call{
		Machine:  admit.New(s.retrier),
		id:       fmt.Sprintf("r%d", n),
		key:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
		waiter:   uint64(n),
		deadline: s.now.Add(2 * time.Second),
	}
	s.calls = append(s.calls, c)
	s.step(t, c, admit.StartMsg{Deadline: c.deadline, Keyed: true})
}

// step sends a message to a call and executes the commands that take no time.
func (s *simulation) step(t *rapid.T, c *call, msg sched.Msg) {
	for _, cmd := range c.Update(s.now, msg) {
		switch cmd := cmd.(type) {
		case admit.PlaceCmd:
			s.step(t, c, admit.PlaceMsg{Places: []route.Place{{Peer: "e1"}, {Peer: "e2"}}})
		case admit.WaitCmd:
			s.step(t, c, admit.WaitedMsg{})
		case admit.AttemptCmd:
			c.attempt = cmd.Attempt
		case admit.FinishKeyCmd:
			c.finished = true
			c.notRun = cmd.Outcome == sched.NotRun
			f := dedup.FinishMsg{Key: c.key, RequestID: c.id, Outcome: cmd.Outcome}
			if cmd.Outcome == sched.Ran {
				f.Answer = &dedup.Answer{Body: []byte(c.id)}
			}
			s.reports = append(s.reports, f)
		case admit.AnswerCmd:
			s.checkAnswer(t, c, cmd)
		}
	}
	if c.Done() && c.granted && !c.finished {
		t.Fatalf("%s ended without finishing its key", c.id)
	}
}

// checkAnswer checks an answer against what really ran.
func (s *simulation) checkAnswer(t *rapid.T, c *call, a admit.AnswerCmd) {
	switch {
	case c.answer != nil:
		t.Fatalf("%s was answered twice", c.id)
	case a.Outcome == sched.NotRun && c.ran:
		t.Fatalf("%s ran but was answered NotRun %s", c.id, a.Reason)
	case a.Outcome == sched.Ran && len(s.runs[c.key]) == 0:
		t.Fatalf("%s was answered Ran, but nothing ran for its key", c.id)
	case a.Answer != nil && string(a.Answer.Body) != s.runs[c.key][0]:
		t.Fatalf("%s got the answer of %s", c.id, a.Answer.Body)
	}
	c.answer = &a
}

// update sends a message to the machine of the key's owner.
func (s *simulation) update(t *rapid.T, msg sched.Msg) {
	for _, cmd := range s.keys.Update(s.now, msg) {
		switch cmd := cmd.(type) {
		case sched.AppendCmd:
			s.appends = append(s.appends, cmd)
		case dedup.ReplyCmd:
			s.reply(t, s.calls[cmd.Waiter-1], cmd)
		}
	}
}

// reply passes a verdict to its call, unless the call to the owner has failed.
func (s *simulation) reply(t *rapid.T, c *call, r dedup.ReplyCmd) {
	if r.Verdict == dedup.Go {
		for _, id := range s.granted[c.key] {
			if !s.freed[id] {
				t.Fatalf("%s got Go, but %s is not durably free", c.id, id)
			}
		}
		s.granted[c.key] = append(s.granted[c.key], c.id)
	}
	if c.verdict {
		return
	}
	c.verdict = true
	c.granted = r.Verdict == dedup.Go
	s.step(t, c, admit.KeyVerdictMsg{Verdict: r.Verdict, Reason: r.Reason, Answer: r.Answer})
}

// pick draws one of the calls for which ok returns true.
func (s *simulation) pick(t *rapid.T, ok func(*call) bool) *call {
	var cs []*call
	for _, c := range s.calls {
		if ok(c) {
			cs = append(cs, c)
		}
	}
	if len(cs) == 0 {
		return nil
	}
	return rapid.SampledFrom(cs).Draw(t, "call")
}

// deliver passes a BeginMsg to the owner, or fails the call before the message
// arrives. The message may then arrive late.
func (s *simulation) deliver(t *rapid.T) {
	c := s.pick(t, func(c *call) bool { return !c.delivered })
	if c == nil {
		return
	}
	if !c.verdict && rapid.IntRange(0, 9).Draw(t, "broken") == 0 {
		c.verdict = true
		s.step(t, c, admit.KeyVerdictMsg{Verdict: dedup.Refused, Reason: sched.ReasonNoOwner, Lost: true})
		return
	}
	c.delivered = true
	s.update(t, dedup.BeginMsg{Waiter: c.waiter, Key: c.key, RequestID: c.id, Fingerprint: 1, From: "e1", Deadline: c.deadline})
}

// commit ends the oldest append: it becomes durable, fails, or has an unknown
// outcome.
func (s *simulation) commit(t *rapid.T) {
	if len(s.appends) == 0 {
		return
	}
	a := s.appends[0]
	s.appends = s.appends[1:]
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "failed", "lost", "lost effective"}).Draw(t, "commit") {
	case "ok":
		s.write(t, a.Record)
		s.update(t, sched.CommittedMsg{Ticket: a.Ticket})
	case "failed":
		s.update(t, sched.CommitFailedMsg{Ticket: a.Ticket, Reason: sched.ReasonStoreUnavailable})
	case "lost effective":
		s.write(t, a.Record)
		fallthrough
	default:
		s.update(t, sched.CommitFailedMsg{Ticket: a.Ticket, Reason: sched.ReasonStoreUnavailable, Lost: true})
	}
}

// write makes a record durable. It fails the test if the record frees the key of
// a call that got Go and has not reported NotRun.
func (s *simulation) write(t *rapid.T, r sched.Record) {
	s.journal = append(s.journal, r)
	var record struct {
		Op uint8  `cbor:"2,keyasint"`
		ID string `cbor:"4,keyasint"`
	}
	if err := cbor.Unmarshal(r.Data, &record); err != nil {
		t.Fatal(err)
	}
	// Operation 3 frees a key (opFree in package dedup).
	if record.Op != 3 {
		return
	}
	s.freed[record.ID] = true
	for _, c := range s.calls {
		if c.id == record.ID && c.granted && !c.notRun {
			t.Fatalf("%s was freed without a report that it did not run", c.id)
		}
	}
}

// endAttempt ends an attempt. The reported outcome may differ from what really
// happened.
func (s *simulation) endAttempt(t *rapid.T) {
	c := s.pick(t, func(c *call) bool { return c.attempt > 0 })
	if c == nil {
		return
	}
	msg := admit.AttemptEndedMsg{Attempt: c.attempt}
	c.attempt = 0
	switch rapid.SampledFrom([]string{"ran", "broke", "cut", "refused", "silent"}).Draw(t, "attempt") {
	case "ran":
		s.run(t, c)
		msg.Outcome = sched.Ran
	case "broke":
		s.run(t, c)
		msg.Reason = sched.ReasonTargetBroken
	case "cut":
		s.run(t, c)
		msg.Reason, msg.AnswerStarted = sched.ReasonTargetBroken, true
	case "refused":
		msg.Outcome, msg.Reason = sched.NotRun, sched.ReasonTargetRefused
	case "silent":
		msg.Reason = sched.ReasonTargetTimeout
	}
	s.step(t, c, msg)
}

func (s *simulation) run(t *rapid.T, c *call) {
	c.ran = true
	s.runs[c.key] = append(s.runs[c.key], c.id)
	if c.answer != nil && c.answer.Outcome == sched.NotRun {
		t.Fatalf("%s was answered NotRun, then ran", c.id)
	}
	if len(s.runs[c.key]) > 1 {
		t.Fatalf("key %s ran for %v", c.key, s.runs[c.key])
	}
}

// deliverReport delivers a report of an outcome to the owner. Reports arrive in any
// order, and may arrive twice or never.
func (s *simulation) deliverReport(t *rapid.T) {
	if len(s.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.reports)-1).Draw(t, "report")
	f := s.reports[i]
	how := rapid.IntRange(0, 5).Draw(t, "how")
	if how != 0 {
		s.reports = append(s.reports[:i], s.reports[i+1:]...)
	}
	if how != 1 {
		s.update(t, f)
	}
}

// takeover moves the shard to another owner, which restores the journal or a
// snapshot of it. Appends in flight may still become durable, in order.
func (s *simulation) takeover(t *rapid.T) {
	n := rapid.IntRange(0, len(s.appends)).Draw(t, "written")
	for _, a := range s.appends[:n] {
		s.write(t, a.Record)
	}
	s.appends = nil
	s.update(t, dedup.LostMsg{})
	s.keys = dedup.New()
	for _, r := range s.journal {
		if err := s.keys.Restore(r); err != nil {
			t.Fatal(err)
		}
	}
	if rapid.Bool().Draw(t, "snapshot") {
		s.journal = s.keys.Snapshot()
	}
	s.update(t, dedup.AcquiredMsg{})
}

func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 1100 * time.Millisecond, 8 * time.Second}).Draw(t, "pass"))
	s.update(t, sched.TickMsg{})
	for _, c := range s.calls {
		if !s.now.Before(c.deadline) && !c.Done() {
			s.step(t, c, admit.DeadlineMsg{})
		}
	}
}

func (s *simulation) callerGone(t *rapid.T) {
	if c := s.pick(t, func(c *call) bool { return !c.Done() }); c != nil {
		s.step(t, c, admit.CallerGoneMsg{})
	}
}

// check fails the test if a call has ended without an answer.
func (s *simulation) check(t *rapid.T) {
	for _, c := range s.calls {
		if c.Done() && c.answer == nil {
			t.Fatalf("%s ended without an answer", c.id)
		}
	}
}
