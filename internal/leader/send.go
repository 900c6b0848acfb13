package leader

import (
	"context"
	"errors"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

func (t *term) start(cmd flow.StartCmd) {
	if !t.wanted(cmd) {
		t.post(flow.StartResultMsg{
			Result: flow.Result{Worker: cmd.Member.Worker, Sent: t.l.now(), Fence: cmd.Order.Fence, Err: flow.ErrWithdrawn}, Run: cmd.Order.Run,
		})
		return
	}
	var reply sched.OrderReply
	sent, err := t.sendOrder(orderTimeout, 0, func(ctx context.Context) (err error) {
		reply, err = t.orders.Start(ctx, cmd.Member, cmd.Order)
		return err
	})
	t.l.stats.Observe("StartSeconds", t.l.now().Sub(sent))
	t.post(flow.StartResultMsg{
		Result: flow.Result{Worker: cmd.Member.Worker, Sent: sent, Fence: cmd.Order.Fence, Err: err}, Run: cmd.Order.Run, Reply: reply,
	})
}

// wanted reports whether the state machine still wants a start to be sent.
func (t *term) wanted(cmd flow.StartCmd) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Wanted(t.l.now(), cmd.Member.Worker, cmd.Order.Run)
}

func (t *term) stop(cmd flow.StopCmd) {
	var reply sched.OrderReply
	sent, err := t.sendOrder(orderTimeout, 0, func(ctx context.Context) (err error) {
		reply, err = t.orders.Stop(ctx, cmd.Member, cmd.Order)
		return err
	})
	t.post(flow.StopResultMsg{
		Result: flow.Result{Worker: cmd.Member.Worker, Sent: sent, Fence: cmd.Order.Fence, Err: err}, Run: cmd.Order.Run, Reply: reply,
	})
}

func (t *term) throttle(cmd flow.ThrottleCmd) {
	var reply sched.OrderReply
	sent, err := t.sendOrder(orderTimeout, 0, func(ctx context.Context) (err error) {
		reply, err = t.orders.Throttle(ctx, cmd.Member, cmd.Order)
		return err
	})
	t.post(flow.ThrottleResultMsg{
		Result: flow.Result{Worker: cmd.Member.Worker, Sent: sent, Fence: cmd.Order.Fence, Err: err}, Run: cmd.Order.Run,
		Percent: cmd.Order.Percent, Reply: reply,
	})
}

func (t *term) renewWorkerLease(cmd flow.RenewCmd) {
	var report sched.RenewReport
	sent, err := t.sendOrder(cmd.Timeout, cmd.Order.Wait, func(ctx context.Context) (err error) {
		report, err = t.orders.Renew(ctx, cmd.Member, cmd.Order)
		return err
	})
	t.post(flow.RenewResultMsg{
		Result: flow.Result{Worker: cmd.Member.Worker, Sent: sent, Fence: cmd.Order.Fence, Err: err}, Seq: cmd.Seq, Report: report,
	})
}

// errNoAdviser means that no adviser is configured.
var errNoAdviser = errors.New("no adviser is configured")

func (t *term) askAdviser(cmd flow.AdviseCmd) {
	sent := t.l.now()
	msg := flow.AdviseResultMsg{Request: cmd.Request, Sent: sent, Err: errNoAdviser}
	if t.l.adviser != nil {
		msg.Advice, msg.Err = t.l.adviser.Advise(t.ctx, cmd.Request)
		msg.Sent = sent.Add(msg.Advice.Waited)
	}
	t.l.stats.Observe("AdviceSeconds", t.l.now().Sub(msg.Sent))
	t.post(msg)
}

// maxUsualTimeout is the longest timeout, while answers are quick, of an order to a
// worker that answers like the others.
const maxUsualTimeout = 400 * time.Millisecond

// sendOrder sends an order and adapts the timeouts to its outcome. minimum is the
// timeout while answers are quick, and wait is added to the timeout. A minimum
// above maxUsualTimeout is for a worker that is slower than the others; its
// answers do not lengthen their timeouts. sendOrder returns the time at which the
// order was sent.
func (t *term) sendOrder(minimum, wait time.Duration, send func(context.Context) error) (time.Time, error) {
	usual := t.timeouts.timeout(min(minimum, maxUsualTimeout))
	timeout := t.timeouts.timeout(minimum)
	ctx, cancel := context.WithTimeout(t.ctx, timeout+wait)
	defer cancel()
	sent := t.l.now()
	err := send(ctx)
	took := t.l.now().Sub(sent)
	switch {
	case err == nil && wait == 0 && took > usual:
	case err == nil && wait == 0:
		t.timeouts.recordAnswer(took)
	case err == nil:
		t.timeouts.resetMisses()
	case errors.Is(err, context.DeadlineExceeded):
		t.l.stats.Count("OrdersUnanswered", 1)
		t.timeouts.recordMiss(usual, max(took-timeout-wait, 0))
	}
	return sent, err
}
