package fake

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// RequestRun is one request that a target started to run.
type RequestRun struct {
	Worker  sched.WorkerName
	Service sched.ServiceName
	Method  string
	// ID is the Mangoslip-Request-Id header. Key is the Idempotency-Key
	// header, or empty.
	ID, Key string
	Token   string
	Start   time.Time
	// End is zero while the request runs.
	End time.Time
}

// TaskRun is the run of one attempt of a task.
type TaskRun struct {
	Worker  sched.WorkerName
	Task    sched.TaskID
	Shard   sched.ShardID
	Epoch   sched.Epoch
	Attempt int
	// From is the progress that the attempt resumed from, To the progress
	// that it reached.
	From, To time.Duration
	Start    time.Time
	// End is zero while the attempt runs.
	End   time.Time
	State sched.TaskState
}

// Overcommit records the start of a request or task that exceeded the capacity
// of the worker.
type Overcommit struct {
	Worker sched.WorkerName
	At     time.Time
	// Used is the sum of all running work, including the work that was
	// started.
	Used, Capacity sched.Resources
}

// WorkerRecords is what a worker has recorded.
type WorkerRecords struct {
	Config      WorkerConfig
	Requests    []RequestRun
	Tasks       []TaskRun
	Overcommits []Overcommit
	// MaxBusy is the highest number of slots in use at the same time, by
	// service.
	MaxBusy map[sched.ServiceName]int
	// MaxConnections is the highest number of connections open at the same
	// time on the data port.
	MaxConnections int
	// StaleRefused counts commands that were refused because their epoch
	// was too low.
	StaleRefused int
}

// checkCapacity records an overcommit if the running work exceeds the capacity.
// The caller holds w.mu.
func (w *Worker) checkCapacity(now time.Time) {
	used := w.used()
	if !used.Fits(w.cfg.Capacity) {
		w.records.Overcommits = append(w.records.Overcommits,
			Overcommit{Worker: w.cfg.Name, At: now, Used: used, Capacity: w.cfg.Capacity})
	}
}

// used returns the resources of the running tasks and the busy slots. The
// caller holds w.mu.
func (w *Worker) used() sched.Resources {
	var sum sched.Resources
	for _, t := range w.tasks {
		if t.state == sched.TaskRunning {
			sum = sum.Add(t.start.Resources)
		}
	}
	for _, s := range w.cfg.Services {
		sum = sum.Add(s.SlotResources.Scale(w.busy[s.Service]))
	}
	return sum
}

// usageSample is the usage at one time.
type usageSample struct {
	at   time.Time
	used sched.Resources
}

// laggedUsage returns a usage figure that is as old as the configured UsageLag,
// or the oldest one available, and its age. The caller holds w.mu.
func (w *Worker) laggedUsage(now time.Time) (sched.Resources, time.Duration) {
	w.usage = append(w.usage, usageSample{now, w.used()})
	for len(w.usage) > 1 && now.Sub(w.usage[1].at) >= w.cfg.UsageLag {
		w.usage = w.usage[1:]
	}
	return w.usage[0].used, now.Sub(w.usage[0].at)
}
