// Package client is a client of the batch API and of the operators' API of an
// entry. It also defines the JSON bodies of both.
//
// # Usage
//
//	var job client.Job
//	if err := json.Unmarshal(data, &job); err != nil { … }
//	status, err := client.New(addr, "").Submit(ctx, job, key)
package client

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// MaxTasks is the maximum number of tasks in a job, with [Task.Count] expanded.
const MaxTasks = 10_000

// Duration is a duration that is written as in Go ("20s").
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil || v < 0 {
		return eris.Errorf("is %q; write a duration such as \"20s\"", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Task describes one task, or Count equal tasks.
type Task struct {
	Class        sched.ClassName
	CPU          text.CPU
	Memory       text.Memory
	Accelerators int      `json:",omitempty"`
	RunTime      Duration `json:",omitempty"`
	// Payload is opaque to the scheduler. It is written as base64.
	Payload []byte `json:",omitempty"`
	// Count is the number of equal tasks; 0 means 1.
	Count int `json:",omitempty"`
}

// Job is the body of POST /v1/jobs.
type Job struct {
	Team   sched.TeamName
	Urgent bool
	Tasks  []Task
}

// Spec checks the body and returns the job, in which a task with a Count is listed
// Count times.
func (j *Job) Spec(id sched.JobID) (sched.JobSpec, error) {
	spec := sched.JobSpec{ID: id, Team: j.Team, Urgent: j.Urgent}
	if j.Team == "" {
		return sched.JobSpec{}, eris.New("job: Team is missing; name a team of the services text")
	}
	for i, t := range j.Tasks {
		n := max(t.Count, 1)
		switch {
		case t.Class == "":
			return sched.JobSpec{}, eris.Errorf("job: Tasks[%d].Class is missing; name a class of the services text", i)
		case t.Count < 0 || t.Accelerators < 0:
			return sched.JobSpec{}, eris.Errorf("job: Tasks[%d]: Count and Accelerators must not be negative", i)
		case n > MaxTasks-len(spec.Tasks):
			return sched.JobSpec{}, eris.Errorf("a job has at most %d tasks; split it", MaxTasks)
		}
		task := sched.TaskSpec{
			Class:     t.Class,
			Resources: sched.Resources{CPU: sched.MilliCPU(t.CPU), Memory: sched.Bytes(t.Memory), Accelerators: t.Accelerators},
			RunTime:   time.Duration(t.RunTime),
			Payload:   t.Payload,
		}
		for range n {
			spec.Tasks = append(spec.Tasks, task)
		}
	}
	if len(spec.Tasks) == 0 {
		return sched.JobSpec{}, eris.New("job: Tasks is empty; list at least one task")
	}
	return spec, nil
}
