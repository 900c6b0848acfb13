package crowd

import (
	"fmt"
	"strings"
	"testing"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
	"github.com/mangoslip/mangoslip/platform/stand"
)

const (
	endedPort = firstPort + 300
	// endedJobs jobs of endedBytes each are in the store. Together they are larger than
	// the memory in settings.
	endedJobs  = 500
	endedBytes = 200_000
)

// storeEnded writes the record and the progress of a job that has succeeded.
func storeEnded(s *stand.Platform, id sched.JobID) {
	step := sched.StepSpec{Count: 1, Affinity: strings.Repeat("a", endedBytes)}
	w := &sched.Workflow{ID: id, Queue: stand.Queue, Steps: []sched.StepSpec{step}}
	s.Store.Put(layout.JobKey(id), layout.Encode(layout.Job{Workflow: w, Accepted: 1}))
	s.Store.Put(layout.Root+flow.KeyProgress+string(id), layout.Encode(struct {
		State sched.JobState `cbor:"1,keyasint"`
	}{sched.JobCompleted}))
}

// Guards against large jobs that ended long ago and whose records make each new leader
// exceed the memory of its machine while it loads them.
func TestEndedJobs(t *testing.T) {
	e, s := startEntry(t, endedPort, fewWorkers, settings)
	e.requireStops()
	for i := range endedJobs {
		storeEnded(s, sched.JobID(fmt.Sprintf("%016x", 0xe0000+i)))
	}
	next := startProcess(t, s, endedPort+5, settings)
	next.requireServes(laterID)
	next.requireStops()
}
