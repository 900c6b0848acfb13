package flow

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// handover is the stored form of what a leader that resigned knew of runs. A task that
// is not listed, of a job that is not listed as unresolved, runs nowhere.
type handover struct {
	Term uint64 `cbor:"1,keyasint"`
	// Workers lists the workers that may have runs.
	Workers []handoverWorker `cbor:"2,keyasint,omitempty"`
	Jobs    []handoverJob    `cbor:"3,keyasint,omitempty"`
	// EarlierLeader means that a leader before the one that resigned may still issue
	// orders to the holders.
	EarlierLeader bool `cbor:"4,keyasint,omitempty"`
}

// handoverWorker is a worker that may have runs. A holder may have any of the
// unresolved tasks.
type handoverWorker struct {
	Name   sched.WorkerName `cbor:"1,keyasint"`
	Holder bool             `cbor:"2,keyasint,omitempty"`
	// Left is how long the leases last, counted from when the record was made, or
	// unknownLeft.
	Left time.Duration `cbor:"3,keyasint,omitempty"`
}

// unknownLeft means that the leases on a holder may be renewed by an earlier leader.
const unknownLeft time.Duration = -1

// handoverJob is a job with tasks that may be running. Unresolved means that each of
// its tasks may be running on any holder. Waiting lists tasks without a run.
type handoverJob struct {
	ID         sched.JobID           `cbor:"1,keyasint"`
	Unresolved bool                  `cbor:"2,keyasint,omitempty"`
	Tasks      []handoverTask        `cbor:"3,keyasint,omitempty"`
	Waiting    []handoverWaitingTask `cbor:"4,keyasint,omitempty"`
}

// handoverWaitingTask is a task that has waited for a worker for some time, and the
// checkpoint that it resumes from.
type handoverWaitingTask struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	Waited                  time.Duration
	Checkpoint              string
}

func (t handoverWaitingTask) id(job sched.JobID) sched.RunTask {
	return sched.RunTask{Job: job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// handoverTask is a task that may be running on a worker, which is given by its
// position in the list of workers, or on any holder if that is anyHolder.
type handoverTask struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	Worker                  int
}

const anyHolder = -1

func (t handoverTask) id(job sched.JobID) sched.RunTask {
	return sched.RunTask{Job: job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

func (h *handover) encode() []byte {
	b, err := cbor.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("encode handover: %v", err)) // These types always encode.
	}
	return b
}

// dropWaiting makes the record smaller. The next leader does not depend on what it
// drops.
func (h *handover) dropWaiting() {
	for i := range h.Jobs {
		h.Jobs[i].Waiting = nil
	}
}

// decodeHandover reads and checks the stored form.
func decodeHandover(b []byte) (*handover, error) {
	var h handover
	if err := cbor.Unmarshal(b, &h); err != nil {
		return nil, err
	}
	for _, w := range h.Workers {
		if w.Left > maxLeasesLeft || w.Left < unknownLeft || w.Left == unknownLeft && !h.EarlierLeader {
			return nil, fmt.Errorf("leases of worker %s last for %s", w.Name, w.Left)
		}
	}
	for _, j := range h.Jobs {
		for _, t := range j.Tasks {
			if t.Worker != anyHolder && (t.Worker < 0 || t.Worker >= len(h.Workers)) {
				return nil, errUnlistedWorker
			}
		}
	}
	return &h, nil
}

// maxLeasesLeft is longer than any lease.
const maxLeasesLeft = time.Minute

var errUnlistedWorker = errors.New("a task is on a worker that is not listed")
