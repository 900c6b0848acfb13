package fake

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Work is the JSON payload of a task, which tells the stand-in how to run it.
type Work struct {
	// RunTime is how long the task runs at full speed.
	RunTime time.Duration
	// Fail makes the task fail at the end of its run time.
	Fail bool
}

// Payload returns the payload of a task as JSON.
func (w Work) Payload() []byte {
	b, err := json.Marshal(w)
	if err != nil {
		panic(err)
	}
	return b
}

// checkpointPrefix starts a checkpoint handle; the progress follows as a
// duration.
const checkpointPrefix = "Progress="

func checkpointHandle(progress time.Duration) string { return checkpointPrefix + progress.String() }

// checkpointProgress returns the progress that a checkpoint handle holds, or 0
// if the handle is not valid.
func checkpointProgress(handle string) time.Duration {
	d, err := time.ParseDuration(strings.TrimPrefix(handle, checkpointPrefix))
	if err != nil {
		return 0
	}
	return d
}

type attemptID struct {
	task    sched.TaskID
	attempt int
}

func attemptOf(l sched.Lease) attemptID { return attemptID{l.Task, l.Attempt} }

// task is an attempt that is running, or that has ended but is not acknowledged
// yet.
type task struct {
	start        sched.TaskStart
	work         Work
	state        sched.TaskState
	share        float64 // speed as a fraction of full speed
	progress     time.Duration
	progressTime time.Time // time at which progress was computed
	leaseUntil   time.Time
	checkpoint   string
	failure      string
	started      time.Time
	ended        time.Time
	record       int // index in WorkerRecords.Tasks
}

func (w *Worker) newTask(s sched.TaskStart, now time.Time) *task {
	t := &task{
		start: s, state: sched.TaskRunning, share: 1, progressTime: now, started: now,
		progress: checkpointProgress(s.Checkpoint), checkpoint: s.Checkpoint,
		leaseUntil: now.Add(s.Lease.Duration),
	}
	if json.Unmarshal(s.Payload, &t.work) != nil || t.work.RunTime <= 0 {
		t.work.RunTime = w.cfg.RunTime
	}
	if w.faults.FailEverything {
		t.work = Work{RunTime: t.progress, Fail: true}
	}
	return t
}

// finishTime returns when the task finishes if its speed does not change.
func (t *task) finishTime() time.Time {
	left := max(t.work.RunTime-t.progress, 0)
	return t.progressTime.Add(time.Duration(float64(left) / t.share))
}

// updateProgress computes the progress at a time up to which the task has run.
func (t *task) updateProgress(now time.Time) {
	if now.After(t.progressTime) {
		t.progress += time.Duration(float64(now.Sub(t.progressTime)) * t.share)
		t.progressTime = now
	}
}

// advance updates all tasks to now. A task whose work is done ends, and one
// whose lease has expired stops, each with the exact time as its end. Every
// read of the tasks calls advance first, so no timer is needed. The caller
// holds w.mu.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		if t.state != sched.TaskRunning {
			continue
		}
		finish := t.finishTime()
		switch {
		case !finish.After(now) && !finish.After(t.leaseUntil):
			t.progress = t.work.RunTime
			state := sched.TaskSucceeded
			if t.work.Fail {
				state, t.failure = sched.TaskFailed, "the task failed"
			}
			w.end(t, state, finish)
		case !t.leaseUntil.After(now):
			t.updateProgress(t.leaseUntil)
			w.end(t, sched.TaskLeaseExpired, t.leaseUntil)
		default:
			t.updateProgress(now)
		}
	}
}

// end records the end of a task. The caller holds w.mu.
func (w *Worker) end(t *task, state sched.TaskState, at time.Time) {
	t.state, t.ended = state, at
	r := &w.records.Tasks[t.record]
	r.State, r.End, r.To, r.Epoch = state, at, t.progress, t.start.Lease.Epoch
}

func (t *task) report(now time.Time) sched.TaskReport {
	until := now
	if t.state != sched.TaskRunning {
		until = t.ended
	}
	l := t.start.Lease
	return sched.TaskReport{
		Task: l.Task, Shard: l.Shard, Epoch: l.Epoch, Attempt: l.Attempt,
		State: t.state, Checkpoint: t.checkpoint, Error: t.failure,
		RunTime: until.Sub(t.started), Resources: t.start.Resources,
	}
}
