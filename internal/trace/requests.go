package trace

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/admit"
	"github.com/mangoslip/mangoslip/pkg/sched/dedup"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/sched/retry"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// Request is a request of a caller and the behaviour of its target.
type Request struct {
	ID string
	// Key is the idempotency key, if any.
	Key     string
	Body    uint64
	Timeout time.Duration
	// Takes is how long the target runs the request.
	Takes time.Duration
	// Reason is why the target gave no answer; empty if it answers.
	Reason sched.Reason
}

// call is the state of a request in progress.
type call struct {
	Request
	node     *Node
	id       uint64
	deadline time.Time
	attempt  int
	running  bool
	ended    bool
}

// Requests connects the requests at an entry to the pool of slots and the
// idempotency keys of one shard.
type Requests struct {
	t       *Trace
	entry   sched.EntryName
	shard   sched.ShardID
	pool    *Node
	keys    *Node
	retrier sched.Retrier
	calls   map[uint64]*call
	lastID  uint64
}

// Requests adds two machines of one shard at an entry: p, the pool of slots,
// and k, the idempotency keys. If p is nil, the pool is not added. Commands of
// k other than replies are passed to execKeyCmd.
func (t *Trace) Requests(entry sched.EntryName, shard sched.ShardID, p *pool.Machine, k *dedup.Machine, execKeyCmd func(sched.Cmd)) *Requests {
	r := &Requests{t: t, entry: entry, shard: shard, retrier: retry.New(retry.WithSeed(1)), calls: map[uint64]*call{}}
	if p != nil {
		r.pool = t.Add(string(entry)+".Pool", p, r.execPoolCmd).Hide(pool.ConfigMsg{}, pool.WorkersMsg{})
	}
	r.keys = t.Add(string(entry)+".Keys", k, func(c sched.Cmd) {
		if reply, ok := c.(dedup.ReplyCmd); ok {
			r.replyKeyDecision(reply)
			return
		}
		execKeyCmd(c)
	})
	return r
}

// Send starts a request with a machine of its own. Messages and commands that
// repeat a line of another machine are hidden.
func (r *Requests) Send(q Request) {
	r.lastID++
	c := &call{Request: q, id: r.lastID, deadline: r.t.now.Add(q.Timeout)}
	c.node = r.t.Add(string(r.entry)+"."+q.ID, admit.New(r.retrier), func(cmd sched.Cmd) { r.execRequestCmd(c, cmd) }).Hide(
		admit.KeyVerdictMsg{}, admit.PlaceCmd{}, admit.PlaceMsg{}, admit.BeginKeyCmd{}, admit.WaitedMsg{},
	)
	r.calls[c.id] = c
	c.node.Send(admit.StartMsg{Deadline: c.deadline, Keyed: q.Key != ""})
	r.t.After(q.Timeout, func() {
		if !c.ended {
			c.node.deliver(admit.DeadlineMsg{})
		}
	})
}

// execRequestCmd executes a command of the machine of a request.
func (r *Requests) execRequestCmd(c *call, cmd sched.Cmd) {
	switch cmd := cmd.(type) {
	case admit.BeginKeyCmd:
		r.keys.Send(dedup.BeginMsg{Waiter: c.id, Key: c.Key, RequestID: c.ID, Fingerprint: c.Body, From: r.entry, Deadline: c.deadline})
	case admit.PlaceCmd:
		c.node.Send(admit.PlaceMsg{Places: []route.Place{{Shard: r.shard}}})
	case admit.AttemptCmd:
		c.attempt = cmd.Attempt
		r.pool.Send(pool.AcquireMsg{ID: c.id, Service: "Quote", Deadline: c.deadline})
	case admit.CancelAttemptCmd:
		r.cancelAttempt(c)
	case admit.WaitCmd:
		r.t.After(cmd.Duration, func() { c.node.deliver(admit.WaitedMsg{}) })
	case admit.FinishKeyCmd:
		msg := dedup.FinishMsg{Key: c.Key, RequestID: c.ID, Outcome: cmd.Outcome}
		if cmd.Outcome == sched.Ran {
			msg.Answer = &dedup.Answer{Status: 201, Body: []byte("order of " + c.ID)}
		}
		r.keys.Send(msg)
	case admit.AnswerCmd:
		c.ended = true
	}
}

// replyKeyDecision passes a decision on an idempotency key to the request that
// waits for it.
func (r *Requests) replyKeyDecision(c dedup.ReplyCmd) {
	r.calls[c.Waiter].node.Send(admit.KeyVerdictMsg{Verdict: c.Verdict, Reason: c.Reason, Answer: c.Answer})
}

// execPoolCmd executes a command of the pool: a granted request runs for its
// Takes.
func (r *Requests) execPoolCmd(cmd sched.Cmd) {
	switch cmd := cmd.(type) {
	case pool.GrantCmd:
		c := r.calls[cmd.ID]
		c.running = true
		r.t.After(c.Takes, func() { r.endAttempt(c) })
	case pool.RefuseCmd:
		c := r.calls[cmd.ID]
		c.node.Send(admit.AttemptEndedMsg{Attempt: c.attempt, Outcome: sched.NotRun, Reason: cmd.Reason})
	case pool.InventoryCmd:
		r.pool.Reply(pool.InventoryMsg{Worker: cmd.Worker, Epoch: cmd.Epoch})
	}
}

// endAttempt ends an attempt if it is running: it releases the slot and sends
// the outcome to the machine of the request.
func (r *Requests) endAttempt(c *call) {
	if !c.running {
		return
	}
	c.running = false
	outcome := sched.Ran
	if c.Reason != "" {
		outcome = c.Reason.Outcome()
	}
	r.pool.Send(pool.ReleaseMsg{ID: c.id, Outcome: outcome, Reason: c.Reason, Latency: c.Takes})
	c.node.Send(admit.AttemptEndedMsg{Attempt: c.attempt, Outcome: outcome, Reason: c.Reason})
}

// cancelAttempt cancels an attempt whose deadline has passed, running or
// waiting for a slot.
func (r *Requests) cancelAttempt(c *call) {
	if c.running {
		c.Reason = sched.ReasonTargetTimeout
		r.endAttempt(c)
		return
	}
	r.pool.Send(pool.CancelMsg{ID: c.id})
	c.node.Send(admit.AttemptEndedMsg{Attempt: c.attempt, Outcome: sched.NotRun, Reason: sched.ReasonDeadlineExceeded})
}

// Pool returns the node of the pool machine.
func (r *Requests) Pool() *Node { return r.pool }

// Keys returns the node of the machine of the idempotency keys.
func (r *Requests) Keys() *Node { return r.keys }
