package flow

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// progress is the stored form of a job's progress.
type progress struct {
	State       sched.JobState       `cbor:"1,keyasint"`
	Cause       string               `cbor:"2,keyasint,omitempty"`
	Occurrences []progressOccurrence `cbor:"3,keyasint,omitempty"`
	Started     bool                 `cbor:"4,keyasint,omitempty"`
}

type progressOccurrence struct {
	Index int            `cbor:"1,keyasint"`
	Steps []progressStep `cbor:"2,keyasint"`
}

type progressStep struct {
	// Done has bit i set if task i has succeeded.
	Done []byte `cbor:"1,keyasint,omitempty"`
	// Failed lists the numbers of the failed runs of each task.
	Failed      map[int][]uint64 `cbor:"2,keyasint,omitempty"`
	Checkpoints map[int]string   `cbor:"3,keyasint,omitempty"`
	// Away holds when the last run of a perpetual task without a run ended, as Unix
	// time in milliseconds. Older builds ignore it.
	Away map[int]int64 `cbor:"4,keyasint,omitempty"`
}

// encodeProgress returns the stored form of a job's progress.
func encodeProgress(j *job) []byte {
	p := progress{State: j.state, Cause: j.cause, Started: j.started}
	if !j.state.Final() {
		for _, o := range j.occurrences {
			if o != nil {
				p.Occurrences = append(p.Occurrences, progressOf(o))
			}
		}
	}
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(fmt.Sprintf("encode progress: %v", err)) // These types always encode.
	}
	return b
}

func progressOf(o *occurrence) progressOccurrence {
	out := progressOccurrence{Index: o.index}
	for _, s := range o.steps {
		ps := progressStep{}
		for i, t := range s.tasks {
			switch {
			case t.phase == phaseDone:
				for len(ps.Done) <= i/8 {
					ps.Done = append(ps.Done, 0)
				}
				ps.Done[i/8] |= 1 << (i % 8)
				continue
			case t.checkpoint != "":
				if ps.Checkpoints == nil {
					ps.Checkpoints = map[int]string{}
				}
				ps.Checkpoints[i] = t.checkpoint
			}
			if t.awayMillis != 0 && len(t.runs) == 0 {
				if ps.Away == nil {
					ps.Away = map[int]int64{}
				}
				ps.Away[i] = t.awayMillis
			}
			if len(t.failed) > 0 {
				if ps.Failed == nil {
					ps.Failed = map[int][]uint64{}
				}
				ps.Failed[i] = t.failed
			}
		}
		out.Steps = append(out.Steps, ps)
	}
	return out
}

// restoreProgress applies stored progress to a new job.
func (m *Machine) restoreProgress(j *job, b []byte) error {
	var p progress
	if err := cbor.Unmarshal(b, &p); err != nil {
		return err
	}
	j.state, j.cause, j.started = p.State, p.Cause, p.Started
	if j.state.Final() {
		return nil
	}
	for _, po := range p.Occurrences {
		if po.Index < 0 || po.Index >= j.spec.Occurrences() {
			return fmt.Errorf("occurrence %d of %d", po.Index, j.spec.Occurrences())
		}
		m.restoreOccurrence(m.occurrence(j, po.Index), po)
	}
	return nil
}

func (m *Machine) restoreOccurrence(o *occurrence, po progressOccurrence) {
	for i, ps := range po.Steps {
		if i >= len(o.steps) {
			return
		}
		s := o.steps[i]
		for n, t := range s.tasks {
			t.failed, t.checkpoint = ps.Failed[n], ps.Checkpoints[n]
			m.restoreAway(t, ps.Away[n])
			if n/8 < len(ps.Done) && ps.Done[n/8]&(1<<(n%8)) != 0 {
				t.phase = phaseDone
				s.remaining--
			}
		}
		if s.remaining == 0 && len(s.tasks) > 0 {
			o.remaining--
			m.openNextSteps(s)
		}
	}
}

// ProgressState returns the state of a job from its stored progress.
func ProgressState(b []byte) (sched.JobState, error) {
	var p progress
	if err := cbor.Unmarshal(b, &p); err != nil {
		return 0, err
	}
	if p.State == sched.JobQueued && p.Started {
		return sched.JobRunning, nil
	}
	return p.State, nil
}

// EncodeRoster returns the stored form of the roster.
func EncodeRoster(members []sched.Member) []byte {
	b, err := cbor.Marshal(members)
	if err != nil {
		panic(fmt.Sprintf("encode roster: %v", err)) // These types always encode.
	}
	return b
}

// DecodeRoster returns the workers of a stored roster. Of a damaged roster it returns
// none, since a part of the workers would be taken for all.
func DecodeRoster(b []byte) ([]sched.Member, error) {
	var out []sched.Member
	if err := cbor.Unmarshal(b, &out); err != nil {
		return nil, err
	}
	return out, nil
}

// taskName returns a task's full name for logs, "job.occurrence.step.index".
func taskName(t sched.RunTask) string {
	parts := []string{string(t.Job), strconv.Itoa(t.Occurrence), strconv.Itoa(t.Step), strconv.Itoa(t.Index)}
	return strings.Join(parts, ".")
}
