package leader

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoslip/mangoslip/internal/guard"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// term is a term that this entry leads: the state machine and the loops that
// feed it.
type term struct {
	l      *Leader
	number uint64
	// version is the version of the term's key in the store. Writes of this term
	// are conditional on it.
	version sched.Version
	started time.Time

	// lease is a channel that holds the leader's lease. A goroutine takes the
	// lease out while it calls the store with it.
	lease chan sched.LeaseID

	orders sched.Orders
	// queue holds the orders that wait to be sent. Renewals of workers' leases do not
	// wait.
	queue orderQueue
	// timeouts determines the timeouts of the orders.
	timeouts answerTimeout
	contact  contact

	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	machine *flow.Machine
	// broken means that the machine has panicked.
	broken bool
	// updates adds up the recent updates, and waiting counts the messages that wait
	// for the lock or are being delivered.
	updates updateTotals
	waiting atomic.Int64
	// loggedInvalid holds the keys of the register of workers that have been
	// logged as invalid.
	loggedInvalid map[string]bool
	// skipped holds the jobs that were not delivered to the machine.
	skipped map[sched.JobID]bool
	// loaded is guarded by l.mu.
	loaded bool
	// handedOver is closed when the machine has resigned and what it knows of runs
	// has been written, or could not be.
	handedOver chan struct{}
}

// errTermOver is the cause with which the context of a term is cancelled.
var errTermOver = errors.New("term is over")

func newTerm(
	ctx context.Context, l *Leader, t layout.Term, version sched.Version, lease sched.LeaseID,
) *term {
	x := &term{
		l: l, number: t.Number, version: version, lease: make(chan sched.LeaseID, 1), started: l.now(),
		contact: contact{confirmedAt: l.now()}, loggedInvalid: map[string]bool{},
		skipped: map[sched.JobID]bool{}, handedOver: make(chan struct{}),
	}
	x.lease <- lease
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.orders, x.queue = l.orders, orderQueue{ctx: x.ctx, limit: maxDirectOrders, guard: x.guarded}
	if l.newDispatcher != nil {
		x.orders = l.newDispatcher(x.ctx, t.Number)
		x.queue.limit = maxDispatchedOrders
	}
	wall := flow.WithWallClock(func(time.Time) int64 { return time.Now().UnixMilli() })
	x.machine = flow.New(t.Number, append([]flow.Option{wall, flow.WithStopwatch(time.Now)}, l.MachineOptions...)...)
	return x
}

// run leads until the term ends.
func (t *term) run() {
	defer t.cancel(errTermOver)
	var after sched.Version
	var err error
	t.guarded("load state", func() { after, err = t.load() })
	if err == nil && t.ctx.Err() == nil {
		t.spawn("watch work", func() { t.watchWork(after) })
		t.spawn("read workers", t.pollMembers)
		if t.readsEvacuations() {
			t.spawn("read evacuations", t.pollEvacuations)
		}
		t.spawn("maintain lease", t.maintainLease)
		t.spawn("confirm term", t.confirm)
		t.spawn("tick", t.tick)
		t.spawn("check peers' contact", t.checkPeerContact)
		t.spawn("transfer leadership", t.transferToStronger)
		<-t.ctx.Done()
	}
	t.l.mu.Lock()
	if t.l.term == t {
		t.l.term = nil
	}
	t.l.mu.Unlock()
	t.wg.Wait()
	t.l.log.Info("term ends", "term", t.number, "cause", context.Cause(t.ctx), "error", err, "led", t.l.now().Sub(t.started))
}

func (t *term) spawn(step string, f func()) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.guarded(step, f)
	}()
}

// end ends the term and logs the reason.
func (t *term) end(why string) {
	t.l.log.Info("term is given up", "term", t.number, "cause", why)
	t.cancel(errTermOver)
}

// post delivers a message to the state machine and executes the commands that it
// returns.
func (t *term) post(msg sched.Msg) {
	cmds, err := t.update(msg)
	if err != nil {
		t.panicked("state machine", err)
		if job, ok := msg.(flow.JobMsg); ok {
			t.l.suspectJob(job.Job.ID)
		}
	}
	for _, c := range cmds {
		t.execute(c)
	}
}

// update delivers a message to the state machine. After a panic the state may be
// inconsistent, so the machine gets no further message.
func (t *term) update(msg sched.Msg) (cmds []sched.Cmd, err error) {
	m := t.measure(msg)
	defer m.log()
	t.mu.Lock()
	defer t.mu.Unlock()
	m.begin()
	defer m.end()
	if t.broken {
		return nil, nil
	}
	err = guard.Run(func() { cmds = t.machine.Update(t.l.now(), msg) })
	t.broken = err != nil
	return cmds, err
}

// effect executes a command on a goroutine of its own.
func (t *term) effect(step string, f func()) { go t.guarded(step, f) }

// guarded calls f. A panic ends the term, so that the next leader continues from
// the stored state, and leaves the rest of the process running.
func (t *term) guarded(step string, f func()) {
	if err := guard.Run(f); err != nil {
		t.panicked(step, err)
	}
}

func (t *term) panicked(step string, err error) {
	guard.Log(t.l.log, step, err)
	t.l.stats.Count("Panics", 1)
	t.end("a part of the leader panicked")
}

// execute executes a command of the state machine. In the metrics, Paces counts
// throttle orders and Holds counts renewals of workers' leases.
func (t *term) execute(cmd sched.Cmd) {
	switch cmd := cmd.(type) {
	case flow.LogCmd:
		t.l.log.Log(t.ctx, slog.LevelInfo, cmd.Event, cmd.Attrs...)
	case flow.StartCmd:
		t.l.stats.Count("Starts", 1)
		t.queue.add("start", func() { t.start(cmd) })
	case flow.StopCmd:
		t.l.stats.Count("Stops", 1)
		t.queue.add("stop", func() { t.stop(cmd) })
	case flow.ThrottleCmd:
		t.l.stats.Count("Paces", 1)
		t.queue.add("throttle", func() { t.throttle(cmd) })
	case flow.RenewCmd:
		t.l.stats.Count("Holds", 1)
		t.effect("renew worker lease", func() { t.renewWorkerLease(cmd) })
	case flow.AdviseCmd:
		t.l.stats.Count("Advice", 1)
		t.effect("ask adviser", func() { t.askAdviser(cmd) })
	case flow.CommitCmd:
		t.l.stats.Count("Commits", 1)
		t.effect("commit", func() { t.commit(cmd) })
	case flow.ForgetCancelsCmd:
		t.effect("forget cancellations", func() { t.forgetCancels(cmd) })
	case flow.HandoverCmd:
		t.effect("hand over", func() { t.handOver(cmd) })
	case flow.LostCmd:
		t.end(cmd.Why)
	}
}

// commit writes records on the condition that the term is unchanged.
func (t *term) commit(cmd flow.CommitCmd) {
	txn := sched.Txn{Conditions: []sched.Condition{{Key: layout.TermKey, Version: t.version}}}
	for _, r := range cmd.Records {
		key := layout.Root + r.Key
		txn.Conditions = append(txn.Conditions, sched.Condition{Key: key, Version: r.Version})
		if r.Value == nil {
			txn.Removes = append(txn.Removes, key)
			continue
		}
		txn.Writes = append(txn.Writes, sched.Write{Key: key, Value: r.Value})
	}
	sent := t.l.now()
	version, err := t.l.store.Commit(t.ctx, txn)
	t.l.stats.Observe("CommitSeconds", t.l.now().Sub(sent))
	if err == nil {
		t.recordConfirmation(sent)
		t.post(flow.CommittedMsg{Seq: cmd.Seq, Version: version})
		return
	}
	failed := flow.CommitFailedMsg{Seq: cmd.Seq, Err: err}
	if conflict := (*sched.ConflictError)(nil); errors.As(err, &conflict) {
		failed.Conflict = true
		failed.Superseded = conflict.Version(layout.TermKey) != t.version
		failed.Versions = map[string]sched.Version{}
		for _, r := range cmd.Records {
			failed.Versions[r.Key] = conflict.Version(layout.Root + r.Key)
		}
	}
	t.post(failed)
}

// recordConfirmation records that the store showed the term to be the newest, in
// answer to a call that began at asked.
func (t *term) recordConfirmation(asked time.Time) {
	t.post(flow.ConfirmedMsg{Asked: t.contact.confirmed(asked)})
}
