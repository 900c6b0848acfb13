package trace

import (
	"slices"
	"strconv"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// Worker is a worker whose tasks run until the session finishes or stops them.
// It keeps the reports of ended tasks until they are acknowledged.
type Worker struct {
	t     *Trace
	name  sched.WorkerName
	node  *Node
	tasks []sched.TaskReport
	// checkpoints counts the checkpoints; the count is part of their names.
	checkpoints int
}

// NewWorker returns a worker without tasks.
func NewWorker(t *Trace, name sched.WorkerName) *Worker { return &Worker{t: t, name: name} }

// SetNode sets the node that receives the results of commands.
func (w *Worker) SetNode(n *Node) { w.node = n }

// Execute executes a command that is addressed to this worker. It returns false
// if the command is for another worker or of another kind.
func (w *Worker) Execute(cmd sched.Cmd) bool {
	switch c := cmd.(type) {
	case tasks.StartCmd:
		return c.Worker == w.name && w.start(c.Start)
	case tasks.RenewCmd:
		if c.Worker == w.name {
			w.node.Reply(tasks.RenewResultMsg{Worker: w.name, Missing: w.missing(c.Leases), Outcome: tasks.CallOK})
		}
		return c.Worker == w.name
	case tasks.StopCmd:
		return c.Worker == w.name && w.stop(c)
	case tasks.InventoryCmd:
		if c.Worker == w.name {
			inventory := sched.Inventory{Worker: w.name, Tasks: slices.Clone(w.tasks), Clock: w.t.now.Sub(w.t.start)}
			w.node.Reply(tasks.InventoryMsg{Worker: w.name, Seq: c.Seq, Outcome: tasks.CallOK, Inventory: inventory})
		}
		return c.Worker == w.name
	case tasks.AcknowledgeCmd:
		if c.Worker == w.name {
			w.tasks = slices.DeleteFunc(w.tasks, func(r sched.TaskReport) bool {
				return r.Task == c.Leases[0].Task && r.Attempt == c.Leases[0].Attempt
			})
		}
		return c.Worker == w.name
	default:
		return false
	}
}

func (w *Worker) start(s sched.TaskStart) bool {
	w.tasks = append(w.tasks, sched.TaskReport{
		Task: s.Lease.Task, Shard: s.Lease.Shard, Epoch: s.Lease.Epoch, Attempt: s.Lease.Attempt,
		State: sched.TaskRunning, Resources: s.Resources,
	})
	w.node.Reply(tasks.StartResultMsg{Worker: w.name, Task: s.Lease.Task, Attempt: s.Lease.Attempt, Outcome: tasks.CallOK})
	return true
}

// find returns the running attempt of a task, or nil.
func (w *Worker) find(id sched.TaskID) *sched.TaskReport {
	i := slices.IndexFunc(w.tasks, func(r sched.TaskReport) bool { return r.Task == id && r.State == sched.TaskRunning })
	if i < 0 {
		return nil
	}
	return &w.tasks[i]
}

// missing returns the tasks of the leases whose attempt is not running here.
func (w *Worker) missing(leases []sched.Lease) []sched.TaskID {
	var ids []sched.TaskID
	for _, l := range leases {
		if r := w.find(l.Task); r == nil || r.Attempt != l.Attempt {
			ids = append(ids, l.Task)
		}
	}
	return ids
}

func (w *Worker) stop(c tasks.StopCmd) bool {
	msg := tasks.StopResultMsg{Worker: w.name, Task: c.Lease.Task, Attempt: c.Lease.Attempt, Outcome: tasks.CallRefused}
	if r := w.find(c.Lease.Task); r != nil && r.Attempt == c.Lease.Attempt {
		r.State = sched.TaskStopped
		if c.Checkpoint {
			w.checkpoints++
			r.Checkpoint = "Checkpoint" + strconv.Itoa(w.checkpoints)
		}
		msg.Outcome, msg.Report = tasks.CallOK, *r
	}
	w.node.Reply(msg)
	return true
}

// Finish ends a running task successfully. It returns false if the task is not
// running on this worker.
func (w *Worker) Finish(id sched.TaskID) bool {
	r := w.find(id)
	if r != nil {
		r.State = sched.TaskSucceeded
		w.t.Record(string(w.name), "TaskSucceeded", *r)
	}
	return r != nil
}
