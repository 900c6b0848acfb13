package leader

import (
	"errors"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// forgetCancels removes cancellations on the condition that their jobs are not in the
// store and that the term is unchanged.
func (t *term) forgetCancels(cmd flow.ForgetCancelsCmd) {
	txn := sched.Txn{Conditions: []sched.Condition{{Key: layout.TermKey, Version: t.version}}}
	for _, id := range cmd.Jobs {
		txn.Conditions = append(txn.Conditions, sched.Condition{Key: layout.JobKey(id)})
		txn.Removes = append(txn.Removes, layout.CancelKey(id))
	}
	msg := flow.ForgotCancelsMsg{Jobs: cmd.Jobs}
	_, msg.Err = t.l.store.Commit(t.ctx, txn)
	if conflict := (*sched.ConflictError)(nil); errors.As(msg.Err, &conflict) {
		msg.Superseded = conflict.Version(layout.TermKey) != t.version
		for _, id := range cmd.Jobs {
			if conflict.Version(layout.JobKey(id)) != 0 {
				msg.Stored = append(msg.Stored, id)
			}
		}
	}
	t.post(msg)
}
