// Package relay sends questions between entries: who leads, the state of jobs
// that only the leader knows in full, and job requests of an entry that cannot
// reach the store. A question is forwarded at most once.
//
// Calls use the connect protocol with CBOR bodies.
//
// # Usage
//
//	mux.Handle(relay.Handler(answerer))
//	c := relay.NewClient()
//	answer, err := c.Ask(ctx, addr, relay.Question{Verb: relay.VerbState, Job: id})
package relay

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/wire"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

const procedure = "/mangoslip.Relay/Ask"

// Verb is the kind of a question.
type Verb uint8

// The verbs. Values are part of the format between entries.
const (
	// VerbState asks the leader for the state of a job.
	VerbState Verb = 1
	// VerbWaiting asks the leader for the length of a queue.
	VerbWaiting Verb = 2
	// VerbSubmit and VerbCancel ask an entry that reaches the store to store a
	// job or its cancellation.
	VerbSubmit Verb = 3
	VerbCancel Verb = 4
	// VerbLeader tells the other entry which leader this one knows of, and asks
	// for the leader that the other one knows of.
	VerbLeader Verb = 5
	// VerbAdvise asks an entry to forward a question to the adviser.
	VerbAdvise Verb = 6
	// VerbLate asks the leader for the late jobs. An entry of an older build answers
	// without them and without a reason.
	VerbLate Verb = 7
	// VerbRoom asks the leader for room for accepted jobs. An entry of an older build
	// answers without room and without a reason.
	VerbRoom Verb = 8
)

// Question is what one entry asks another.
type Question struct {
	Verb     Verb            `cbor:"1,keyasint"`
	Job      sched.JobID     `cbor:"2,keyasint,omitempty"`
	Queue    sched.QueueName `cbor:"3,keyasint,omitempty"`
	Workflow *sched.Workflow `cbor:"4,keyasint,omitempty"`
	Leader   layout.Leader   `cbor:"5,keyasint"`
	// Advice is the question for the adviser.
	Advice *sched.AdviceRequest `cbor:"6,keyasint,omitempty"`
	// Limit bounds the late jobs of the answer.
	Limit int `cbor:"7,keyasint,omitempty"`
	// Cost is how much room the question asks for.
	Cost sched.Bytes `cbor:"8,keyasint,omitempty"`
}

// Answer is the reply. Reason is empty on success.
type Answer struct {
	State      sched.JobState `cbor:"1,keyasint,omitempty"`
	Count      int            `cbor:"2,keyasint,omitempty"`
	Reason     sched.Reason   `cbor:"3,keyasint,omitempty"`
	Outcome    sched.Outcome  `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"5,keyasint,omitempty"`
	// Stale means that the answering entry may have been replaced as leader.
	Stale bool `cbor:"7,keyasint,omitempty"`
	// Leader is the newest leader that the answering entry knows of.
	Leader layout.Leader `cbor:"6,keyasint"`
	// Advice is the adviser's answer.
	Advice *sched.Advice `cbor:"8,keyasint,omitempty"`
	// SinceStore is how long ago the store last answered the answering entry, in
	// answers to VerbLeader. StoreAnswered means that it has answered at all.
	SinceStore    time.Duration `cbor:"9,keyasint,omitempty"`
	StoreAnswered bool          `cbor:"10,keyasint,omitempty"`
	// Late holds the late jobs, in answers to VerbLate.
	Late *sched.LateJobs `cbor:"11,keyasint,omitempty"`
	// Room is what the leader grants, in answers to VerbRoom.
	Room sched.Bytes `cbor:"12,keyasint,omitempty"`
}

// Err returns the error of the answer, or nil on success.
func (a *Answer) Err() error {
	if a.Reason == "" {
		return nil
	}
	return &sched.Refusal{Reason: a.Reason, Outcome: a.Outcome, RetryAfter: a.RetryAfter}
}

// Answerer answers the questions of other entries.
type Answerer interface {
	Answer(ctx context.Context, q Question) Answer
}

// codec encodes messages with CBOR.
type codec struct{}

func (codec) Name() string                       { return "cbor" }
func (codec) Marshal(v any) ([]byte, error)      { return cbor.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return cbor.Unmarshal(data, v) }

// Handler returns the path and the HTTP handler of the service that answers
// questions.
func Handler(a Answerer) (string, http.Handler) {
	ask := func(ctx context.Context, req *connect.Request[Question]) (*connect.Response[Answer], error) {
		answer := a.Answer(ctx, *req.Msg)
		return connect.NewResponse(&answer), nil
	}
	return procedure, connect.NewUnaryHandler(procedure, ask, connect.WithCodec(codec{}))
}

// Client asks other entries. It is safe for concurrent use.
type Client struct {
	wire *wire.Transport

	mu      sync.Mutex
	clients map[netip.AddrPort]*connect.Client[Question, Answer]
}

const (
	dialTimeout = 300 * time.Millisecond
	maxConns    = 32
)

// NewClient returns a client.
func NewClient() *Client {
	return &Client{
		wire:    wire.New(wire.WithMaxConns(maxConns), wire.WithDialTimeout(dialTimeout)),
		clients: map[netip.AddrPort]*connect.Client[Question, Answer]{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// Ask sends a question to the entry at addr. After an error it is unknown whether
// that entry handled the question.
func (c *Client) Ask(ctx context.Context, addr netip.AddrPort, q Question) (Answer, error) {
	resp, err := c.client(addr).CallUnary(ctx, connect.NewRequest(&q))
	if err != nil {
		return Answer{}, sched.Wrap(err, "ask", addr.String())
	}
	return *resp.Msg, nil
}

func (c *Client) client(addr netip.AddrPort) *connect.Client[Question, Answer] {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl := c.clients[addr]
	if cl == nil {
		cl = connect.NewClient[Question, Answer](doer{c.wire}, "http://"+addr.String()+procedure, connect.WithCodec(codec{}))
		c.clients[addr] = cl
	}
	return cl
}

// doer adapts the transport to [connect.HTTPClient].
type doer struct{ t *wire.Transport }

func (d doer) Do(req *http.Request) (*http.Response, error) { return d.t.Do(req) }
