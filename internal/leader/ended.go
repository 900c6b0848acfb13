package leader

import (
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// shortenEnded returns a filter for pages of the work prefix. It shortens the records of
// jobs that have ended by their stored progress, because all of them together may be
// larger than the memory.
func shortenEnded(progress map[string]sched.Item) pageFilter {
	return func(page []sched.Item) []sched.Item {
		for n := range page {
			id, ok := layout.JobIDFromKey(page[n].Key)
			if ok && hasEnded(progress[layout.Root+flow.KeyProgress+string(id)]) {
				page[n].Value = shortRecord(page[n].Value)
			}
		}
		return page
	}
}

// hasEnded reports whether stored progress is that of a job that has ended.
func hasEnded(progress sched.Item) bool {
	if len(progress.Value) == 0 {
		return false
	}
	state, err := flow.ProgressState(progress.Value)
	return err == nil && state.Final()
}

// shortRecord returns the record of a job with what the state machine needs of a job that
// has ended, in place of its steps. It returns a damaged record as it is.
func shortRecord(record []byte) []byte {
	var job struct {
		Workflow struct {
			ID    sched.JobID     `cbor:"1,keyasint"`
			Queue sched.QueueName `cbor:"2,keyasint"`
		} `cbor:"1,keyasint"`
		Accepted int64 `cbor:"2,keyasint"`
	}
	if layout.Decode(record, &job) != nil {
		return record
	}
	w := &sched.Workflow{ID: job.Workflow.ID, Queue: job.Workflow.Queue, Steps: make([]sched.StepSpec, 1)}
	return layout.Encode(layout.Job{Workflow: w, Accepted: job.Accepted})
}
