package bench

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/place"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// jobFixture runs jobs through the task machine of one shard, which is both the
// home shard and the hosting shard. It commits records, delivers events and answers
// starts, stops and inventory calls at once. It ignores other commands.
type jobFixture struct {
	m       *tasks.Machine
	now     time.Time
	inbox   []sched.Msg
	records int
	bytes   int
	events  int
	// eventBytes is the encoded size of the events between the home shard and
	// the hosting shard.
	eventBytes int
	started    map[sched.WorkerName]map[sched.TaskID]sched.TaskStart
	// state is what inventories report for every started task.
	state sched.TaskState
	// unresponsive makes the workers leave inventory calls unanswered.
	unresponsive bool
}

func newJobFixture(workers int) *jobFixture {
	l := newTaskLedger(workers, taskResources.Scale(1_000))
	f := &jobFixture{
		m: tasks.New(taskShard, l, place.NewPack()), now: benchStart,
		started: map[sched.WorkerName]map[sched.TaskID]sched.TaskStart{}, state: sched.TaskRunning,
	}
	f.update(tasks.AcquiredMsg{Epoch: 1, Workers: l.instances, HistoryLongEnough: true})
	return f
}

func (f *jobFixture) update(msg sched.Msg) {
	f.inbox = append(f.inbox, msg)
	for len(f.inbox) > 0 {
		msg, f.inbox = f.inbox[0], f.inbox[1:]
		for _, cmd := range f.m.Update(f.now, msg) {
			f.execute(cmd)
		}
	}
}

func (f *jobFixture) execute(cmd sched.Cmd) {
	switch c := cmd.(type) {
	case sched.AppendCmd:
		f.records++
		f.bytes += len(c.Record.Data)
		f.inbox = append(f.inbox, sched.CommittedMsg{Ticket: c.Ticket})
	case tasks.EventCmd:
		f.events++
		f.eventBytes += len(tasks.EncodeEvent(c.Event))
		f.inbox = append(f.inbox, tasks.EventMsg{From: taskShard, Event: c.Event})
	case tasks.StartCmd:
		if f.started[c.Worker] == nil {
			f.started[c.Worker] = map[sched.TaskID]sched.TaskStart{}
		}
		f.started[c.Worker][c.Start.Lease.Task] = c.Start
		f.inbox = append(f.inbox, tasks.StartResultMsg{
			Worker: c.Worker, Task: c.Start.Lease.Task, Attempt: c.Start.Lease.Attempt, Outcome: tasks.CallOK,
		})
	case tasks.StopCmd:
		r := f.report(f.started[c.Worker][c.Lease.Task], sched.TaskStopped)
		r.Checkpoint = "checkpoint/" + rand.Text()
		delete(f.started[c.Worker], c.Lease.Task)
		f.inbox = append(f.inbox, tasks.StopResultMsg{
			Worker: c.Worker, Task: c.Lease.Task, Attempt: c.Lease.Attempt, Outcome: tasks.CallOK, Report: r,
		})
	case tasks.InventoryCmd:
		if f.unresponsive {
			return
		}
		inv := sched.Inventory{Worker: c.Worker}
		for _, s := range f.started[c.Worker] {
			inv.Tasks = append(inv.Tasks, f.report(s, f.state))
		}
		f.inbox = append(f.inbox, tasks.InventoryMsg{Worker: c.Worker, Seq: c.Seq, Outcome: tasks.CallOK, Inventory: inv})
	}
}

func (f *jobFixture) report(s sched.TaskStart, state sched.TaskState) sched.TaskReport {
	l := s.Lease
	return sched.TaskReport{Task: l.Task, Shard: l.Shard, Epoch: l.Epoch, Attempt: l.Attempt, State: state, RunTime: time.Second}
}

// submit submits n tasks in jobs of perJob tasks and lets them start. Each task
// has a payload of the given number of bytes.
func (f *jobFixture) submit(n, perJob, payload int) {
	for i := range n / perJob {
		spec := sched.JobSpec{ID: sched.JobID(rand.Text()), Team: sched.TeamName(fmt.Sprint("Team-", i%1_100))}
		for range perJob {
			spec.Tasks = append(spec.Tasks, sched.TaskSpec{
				Class: "Tracking", Resources: taskResources, RunTime: time.Hour, Payload: make([]byte, payload),
			})
		}
		f.update(tasks.SubmitMsg{Waiter: tasks.Waiter(i + 1), Spec: spec, Targets: []tasks.HostingShard{{Shard: taskShard}}})
	}
	f.tick(10 * time.Millisecond)
}

func (f *jobFixture) tick(d time.Duration) {
	f.now = f.now.Add(d)
	f.update(sched.TickMsg{})
}

// finish lets all tasks succeed.
func (f *jobFixture) finish() {
	f.state = sched.TaskSucceeded
	for range 3 {
		f.tick(2 * time.Second)
	}
}

// takeCounts returns the number of journal records since the last call, and
// their bytes.
func (f *jobFixture) takeCounts() (records, bytes int) {
	records, bytes = f.records, f.bytes
	f.records, f.bytes = 0, 0
	return records, bytes
}
