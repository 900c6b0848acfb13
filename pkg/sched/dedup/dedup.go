// Package dedup keeps the idempotency records of one shard, so that a request
// with a key runs at most once.
//
// The first call with a key gets Go, that is the permission to run, only after
// its intent to run is durable in the shard's journal. A repeat, which is a
// later call with the same key, waits for the first call, gets its answer, or is
// refused because the outcome of the first call is unknown. A request that did
// not run frees its key once this is durable.
//
// Answers are kept for a short time and up to a total size. The key itself is
// remembered for a day. When the memory for keys is full, the machine refuses new
// keys rather than forget one early.
//
// # Usage
//
//	m := dedup.New()
//	m.Update(now, dedup.AcquiredMsg{})
//	cmds := m.Update(now, dedup.BeginMsg{Waiter: 1, Key: "Team/Charge/k1", RequestID: "r1"})
//	// write the record of the sched.AppendCmd to the journal; once it is durable:
//	cmds = m.Update(now, sched.CommittedMsg{Ticket: ticket})
//	// cmds holds dedup.ReplyCmd{Waiter: 1, Verdict: dedup.Go}
//
// The user of this package scopes the keys: a Key consists of team, service and
// the caller's idempotency key. Former names of teams and services are replaced
// by their current names.
package dedup

import (
	"net/http"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Defaults and limits of a [Machine].
const (
	// DefaultAnswerTTL is how long an answer is kept for repeats.
	DefaultAnswerTTL = 15 * time.Minute
	// DefaultKeyTTL is how long a key is remembered, counted from the end of
	// its request or, if the outcome is unknown, from when the request began.
	DefaultKeyTTL = 24 * time.Hour
	// DefaultAnswerBytes limits the memory of a shard's answers.
	DefaultAnswerBytes = 16 << 20
	// DefaultKeyBytes limits the memory of a shard's keys without their
	// answers.
	DefaultKeyBytes = 32 << 20
	// DefaultWaiters limits the number of waiting repeats.
	DefaultWaiters = 4096
	// MaxAnswer is the size in bytes of the largest answer body that is kept.
	MaxAnswer = 64 << 10
	// DefaultMargin is how long after the deadline of a request the machine
	// still waits for its outcome. It covers the time that a report takes
	// between entries.
	DefaultMargin = 5 * time.Second
	// appendRetryDelay is the delay before a failed append is retried.
	appendRetryDelay = time.Second
	// keyStateBytes is the memory of a keyState in bytes, including its timers
	// and its map slot but not its strings.
	keyStateBytes = 320
)

// Verdict is the decision on a [BeginMsg].
type Verdict string

// The verdicts.
const (
	// Go permits the request to run.
	Go Verdict = "Go"
	// Repeat means that the request ran before; the [ReplyCmd] carries the
	// answer of the first call.
	Repeat Verdict = "Repeat"
	// Refused means that the request must not run; the [ReplyCmd] carries the
	// reason.
	Refused Verdict = "Refused"
)

// Answer is the answer of a target to a request.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// size estimates the memory of an answer in bytes.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := 64 + len(a.Body)
	for k, vs := range a.Header {
		n += 32 + len(k)
		for _, v := range vs {
			n += 16 + len(v)
		}
	}
	return n
}

// BeginMsg asks whether a request may run.
type BeginMsg struct {
	// Waiter identifies the message in its ReplyCmd. It is unique among the
	// messages without a reply, and not 0.
	Waiter uint64
	Key    string
	// RequestID identifies the call; a repeat has a different one. A call
	// sends the same id again only if it did not get Go because the owner of
	// the shard changed.
	RequestID string
	// Fingerprint is a hash of method, path and body.
	Fingerprint uint64
	// From is the entry that runs the request and reports its outcome.
	From sched.EntryName
	// Deadline is the deadline of the request and so of the reply.
	Deadline time.Time
}

// FinishMsg reports the outcome of a request that got Go.
type FinishMsg struct {
	Key       string
	RequestID string
	Outcome   sched.Outcome
	// Answer is the answer to keep for repeats, if the request ran.
	Answer *Answer
}

// EntryGoneMsg reports that an entry is no longer in the instance list. The
// outcomes of the requests that it was running are unknown.
type EntryGoneMsg struct{ EntryName sched.EntryName }

// AcquiredMsg reports that this entry owns the shard and that the state has been
// restored from the journal. The machine starts to serve.
type AcquiredMsg struct{}

// SuspendMsg reports that the ownership of the shard is no longer confirmed. No
// request begins until a [ResumeMsg].
type SuspendMsg struct{}

// ResumeMsg reports that the ownership is confirmed again.
type ResumeMsg struct{}

// LostMsg reports that another entry owns the shard. The machine drops all state.
type LostMsg struct{}

// ReplyCmd is the reply to a [BeginMsg].
type ReplyCmd struct {
	Waiter  uint64
	Verdict Verdict
	Reason  sched.Reason
	Answer  *Answer
}

// phase is the state of a key.
type phase uint8

const (
	// pending: the record of the intent is not durable yet.
	pending phase = iota
	// running: the request got Go, or its intent was restored from the
	// journal; it may be running.
	running
	// freeing: the request did not run. The key is free once this is durable.
	freeing
	// ran: the request ran, and its target answered.
	ran
	// unknown: the request may have run; its outcome was not reported.
	unknown
)

// keyState is the state of one key.
type keyState struct {
	key string
	// id is the RequestID of the first call.
	id          string
	fingerprint uint64
	from        sched.EntryName
	deadline    time.Time
	// at is when the request began or, if it ran, when it finished.
	at    time.Time
	phase phase
	// firstWaiter is the Waiter of the BeginMsg that gets Go; 0 once it has a
	// reply.
	firstWaiter uint64
	// cancelled means that a pending request must not get Go any more.
	cancelled bool
	// neverRan means that the request never got Go and never will.
	neverRan bool
	// durable means that the journal holds the outcome and not only the intent.
	durable bool
	answer  *Answer
	waiters []BeginMsg
}

// size estimates the memory of a key in bytes, without its answer.
func (s *keyState) size() int { return keyStateBytes + len(s.key) + len(s.id) + len(s.from) }

// pendingAppend identifies a record that is not durable yet.
type pendingAppend struct {
	key string
	id  string
	op  op
}

// Machine manages the idempotency keys of one shard. It implements
// [sched.Durable].
type Machine struct {
	answerTTL      time.Duration
	keyTTL         time.Duration
	margin         time.Duration
	maxAnswerBytes int
	maxKeyBytes    int
	maxWaiters     int

	states     map[string]*keyState
	tickets    map[sched.Ticket]pendingAppend
	lastTicket sched.Ticket
	timers     timers
	// answerOrder lists the kept answers, the oldest first.
	answerOrder []requestRef
	// answerBytes and keyBytes are the memory in use.
	answerBytes int
	keyBytes    int
	waiterCount int
	serving     bool
	paused      bool
	cmds        []sched.Cmd
}

var _ sched.Durable = (*Machine)(nil)

// Option configures a [Machine].
type Option func(*Machine)

// WithAnswerTTL sets how long an answer is kept for repeats.
func WithAnswerTTL(d time.Duration) Option { return func(m *Machine) { m.answerTTL = d } }

// WithKeyTTL sets how long a key is remembered, counted as for
// [DefaultKeyTTL].
func WithKeyTTL(d time.Duration) Option { return func(m *Machine) { m.keyTTL = d } }

// WithMargin sets how long after the deadline of a request the machine still
// waits for its outcome.
func WithMargin(d time.Duration) Option { return func(m *Machine) { m.margin = d } }

// WithBytes limits the memory of the answers and of the keys without their
// answers.
func WithBytes(answers, keys int) Option {
	return func(m *Machine) { m.maxAnswerBytes, m.maxKeyBytes = answers, keys }
}

// WithWaiters limits the number of waiting repeats.
func WithWaiters(n int) Option { return func(m *Machine) { m.maxWaiters = n } }

// New returns a machine that refuses all calls until an [AcquiredMsg].
func New(opts ...Option) *Machine {
	m := &Machine{
		answerTTL:      DefaultAnswerTTL,
		keyTTL:         DefaultKeyTTL,
		margin:         DefaultMargin,
		maxAnswerBytes: DefaultAnswerBytes,
		maxKeyBytes:    DefaultKeyBytes,
		maxWaiters:     DefaultWaiters,
	}
	for _, o := range opts {
		o(m)
	}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.states = map[string]*keyState{}
	m.tickets = map[sched.Ticket]pendingAppend{}
	m.timers = nil
	m.answerOrder = nil
	m.answerBytes, m.keyBytes, m.waiterCount = 0, 0, 0
	m.serving, m.paused = false, false
}
