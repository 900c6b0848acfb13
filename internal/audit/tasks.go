package audit

import (
	"slices"
	"strings"

	"github.com/mangoslip/mangoslip/internal/fake"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// taskRunsOf returns the run intervals of all workers by task.
func taskRunsOf(workers []fake.WorkerRecords) map[sched.TaskID][]fake.TaskRun {
	runs := make(map[sched.TaskID][]fake.TaskRun)
	for _, w := range workers {
		for _, run := range w.Tasks {
			runs[run.Task] = append(runs[run.Task], run)
		}
	}
	return runs
}

// checkOverlaps reports each pair of runs of one task that overlap in time. A run
// without an end is still running. Two runs do not overlap if one starts exactly
// when the other ends.
func checkOverlaps(r *Result, runs map[sched.TaskID][]fake.TaskRun) {
	for _, id := range sortedTasks(runs) {
		list := slices.Clone(runs[id])
		slices.SortStableFunc(list, func(a, b fake.TaskRun) int { return a.Start.Compare(b.Start) })
		for i, a := range list {
			for _, b := range list[i+1:] {
				if !a.End.IsZero() && !b.Start.Before(a.End) {
					break
				}
				r.add(&r.Counts.OverlappingRuns, "task %s ran on %s (attempt %d) and %s (attempt %d) at once",
					id, a.Worker, a.Attempt, b.Worker, b.Attempt)
			}
		}
	}
}

func sortedTasks(runs map[sched.TaskID][]fake.TaskRun) []sched.TaskID {
	ids := make([]sched.TaskID, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b sched.TaskID) int { return strings.Compare(a.String(), b.String()) })
	return ids
}

// checkLost compares the last listing of each task with its runs on workers.
func checkLost(r *Result, listings []TaskListing, runs map[sched.TaskID][]fake.TaskRun) {
	for _, t := range listings {
		succeeded := slices.ContainsFunc(runs[t.Task], func(run fake.TaskRun) bool {
			return run.State == sched.TaskSucceeded
		})
		switch {
		case !t.Listed:
			r.add(&r.Counts.LostTasks, "task %s was accepted and is not listed", t.Task)
		case t.Phase == sched.PhaseSucceeded && !succeeded:
			r.add(&r.Counts.LostTasks, "task %s is listed as succeeded and did not run to success", t.Task)
		case !t.Phase.Final() && succeeded:
			r.add(&r.Counts.LostTasks, "task %s ran to success and is listed as %s", t.Task, t.Phase)
		}
	}
}
