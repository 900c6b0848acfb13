package leader

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

const (
	// handoverTimeout bounds how long a leader that resigns waits until what it knows
	// of runs is written.
	handoverTimeout = 900 * time.Millisecond
	// loadWait bounds how long a leader that resigns waits until the stored state is
	// loaded. Without it the leader knows nothing of runs.
	loadWait = 500 * time.Millisecond
	// handoverRetry is the pause after a failed attempt to write it, and loadCheck that
	// between two checks whether the state is loaded.
	handoverRetry = 50 * time.Millisecond
	loadCheck     = 10 * time.Millisecond
)

// resign ends the term voluntarily. The state machine issues no orders from then on and
// hands over what it knows of runs. The leader's key is removed, so that another entry
// can lead at once.
func (t *term) resign(ctx context.Context, why string) {
	t.awaitLoad(ctx)
	t.mu.Lock()
	skipped := slices.Collect(maps.Keys(t.skipped))
	t.mu.Unlock()
	t.post(flow.ResignMsg{Skipped: skipped})
	wait, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	select {
	case <-t.handedOver:
	case <-t.ctx.Done():
	case <-wait.Done():
	}
	t.end(why)
	select {
	case lease := <-t.lease:
		if err := t.l.store.Revoke(ctx, lease); err != nil {
			t.l.log.Warn("leader's lease not revoked", "term", t.number, "error", err)
		}
	case <-ctx.Done():
	}
}

// awaitLoad waits until the stored state is loaded, for at most loadWait.
func (t *term) awaitLoad(ctx context.Context) {
	for deadline := t.l.now().Add(loadWait); t.l.now().Before(deadline) && t.ctx.Err() == nil; pause(ctx, loadCheck) {
		t.l.mu.Lock()
		loaded := t.loaded
		t.l.mu.Unlock()
		if loaded {
			return
		}
	}
}

// handOver writes what the state machine knows of runs and removes the leader's key, in
// one transaction that requires that the term is the newest. If it does not take effect,
// the next leader asks the workers. It may take effect late, as long as no other term
// has begun: the machine issues no orders any more.
func (t *term) handOver(cmd flow.HandoverCmd) {
	defer close(t.handedOver)
	if cmd.Value == nil {
		return
	}
	txn := sched.Txn{
		Conditions: []sched.Condition{{Key: layout.TermKey, Version: t.version}},
		Writes:     []sched.Write{{Key: layout.Root + flow.KeyHandover, Value: cmd.Value}},
		Removes:    []string{layout.LeaderKey},
	}
	for t.ctx.Err() == nil {
		_, err := t.l.store.Commit(t.ctx, txn)
		if err == nil {
			return
		}
		t.l.log.Warn("handover not written", "term", t.number, "bytes", len(cmd.Value), "error", err)
		if errors.Is(err, sched.ErrConflict) {
			return
		}
		pause(t.ctx, handoverRetry)
	}
}
