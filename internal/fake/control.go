package fake

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"goji.io/pat"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// checkEpoch refuses an epoch below the highest that the worker has seen for
// the shard, and records a higher one. The caller holds w.mu.
func (w *Worker) checkEpoch(shard sched.ShardID, epoch sched.Epoch) error {
	if epoch < w.epochs[shard] {
		w.records.StaleRefused++
		return sched.ErrStaleEpoch
	}
	w.epochs[shard] = epoch
	return nil
}

// writeError responds with the HTTP status for the error of a command.
func writeError(rw http.ResponseWriter, err error) {
	status := http.StatusUnprocessableEntity
	switch {
	case errors.Is(err, sched.ErrStaleEpoch):
		status = http.StatusConflict
	case errors.Is(err, sched.ErrOtherIncarnation):
		status = http.StatusMisdirectedRequest
	case errors.Is(err, sched.ErrNotFound):
		status = http.StatusNotFound
	}
	http.Error(rw, err.Error(), status)
}

func (w *Worker) postTask(rw http.ResponseWriter, r *http.Request) {
	var s sched.TaskStart
	if !readJSON(rw, r, &s) {
		return
	}
	if err := w.startTask(s); err != nil {
		writeError(rw, err)
	}
}

func (w *Worker) startTask(s sched.TaskStart) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	l := s.Lease
	if w.forOther(l) {
		return sched.ErrOtherIncarnation
	}
	if err := w.checkEpoch(l.Shard, l.Epoch); err != nil {
		return err
	}
	if _, ok := w.tasks[attemptOf(l)]; ok {
		return nil
	}
	if w.pastNotAfter(l, now) {
		return sched.ErrRefused
	}
	// A delayed start may arrive after the start of a later attempt, or after
	// the stop of its own attempt.
	if highest, ok := w.highestAttempt[l.Task]; l.Duration <= 0 || ok && l.Attempt <= highest {
		return sched.ErrRefused
	}
	for id, t := range w.tasks {
		if id.task == l.Task && t.state == sched.TaskRunning {
			return sched.ErrRefused
		}
	}
	t := w.newTask(s, now)
	t.record = len(w.records.Tasks)
	w.records.Tasks = append(w.records.Tasks, TaskRun{
		Worker: w.cfg.Name, Task: l.Task, Shard: l.Shard, Epoch: l.Epoch, Attempt: l.Attempt,
		From: t.progress, Start: now, State: sched.TaskRunning,
	})
	w.tasks[attemptOf(l)] = t
	w.highestAttempt[l.Task] = l.Attempt
	w.checkCapacity(now)
	w.advance(now)
	return nil
}

// pastNotAfter reports whether the NotAfter of a lease has passed. Such a lease
// must not take effect any more: the owner of the shard has given up the call
// that carries it.
func (w *Worker) pastNotAfter(l sched.Lease, now time.Time) bool {
	return l.NotAfter > 0 && now.Sub(w.clockOrigin) > l.NotAfter
}

// forOther reports whether a lease is meant for another incarnation of the worker. Its
// NotAfter does not refer to the clock of this one.
func (w *Worker) forOther(l sched.Lease) bool {
	return l.Incarnation != "" && l.Incarnation != w.incarnation
}

func (w *Worker) postLeases(rw http.ResponseWriter, r *http.Request) {
	var leases []sched.Lease
	if !readJSON(rw, r, &leases) {
		return
	}
	missing, err := w.renew(leases)
	if err != nil {
		writeError(rw, err)
		return
	}
	writeJSON(rw, struct{ Missing []sched.TaskID }{missing})
}

// renew extends the leases of running attempts and returns the tasks whose
// attempt is not running. It ignores a lease whose NotAfter has passed or that is meant
// for another incarnation.
func (w *Worker) renew(leases []sched.Lease) ([]sched.TaskID, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	for _, l := range leases {
		if err := w.checkEpoch(l.Shard, l.Epoch); err != nil {
			return nil, err
		}
	}
	var missing []sched.TaskID
	for _, l := range leases {
		t, ok := w.tasks[attemptOf(l)]
		if !ok || t.state != sched.TaskRunning {
			missing = append(missing, l.Task)
			continue
		}
		if w.pastNotAfter(l, now) || w.forOther(l) {
			continue
		}
		t.start.Lease = l
		t.leaseUntil = now.Add(l.Duration)
	}
	return missing, nil
}

// taskCommand is the JSON body of a command to one task.
type taskCommand struct {
	Lease      sched.Lease
	Checkpoint bool
	Share      float64
}

// command decodes a command to one attempt, applies it and responds with the
// report of the attempt, running or ended. If the worker does not know the
// attempt, apply gets a nil task and must return an error.
func (w *Worker) command(
	rw http.ResponseWriter, r *http.Request, apply func(t *task, c taskCommand) error,
) {
	var c taskCommand
	if !readJSON(rw, r, &c) {
		return
	}
	if c.Lease.Task.String() != pat.Param(r, "id") {
		http.Error(rw, "lease is for another task", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	if err := w.checkEpoch(c.Lease.Shard, c.Lease.Epoch); err != nil {
		writeError(rw, err)
		return
	}
	t := w.tasks[attemptOf(c.Lease)]
	if err := apply(t, c); err != nil {
		writeError(rw, err)
		return
	}
	writeJSON(rw, t.report(now))
}

// postStop stops an attempt. If the attempt has ended, the response is its
// report. If the attempt is not known, its start may still be in transit: the
// worker records the attempt number, so that it refuses that start.
func (w *Worker) postStop(rw http.ResponseWriter, r *http.Request) {
	w.command(rw, r, func(t *task, c taskCommand) error {
		if t == nil {
			w.highestAttempt[c.Lease.Task] = max(w.highestAttempt[c.Lease.Task], c.Lease.Attempt)
			return sched.ErrNotFound
		}
		if t.state == sched.TaskRunning {
			if c.Checkpoint {
				t.checkpoint = checkpointHandle(t.progress)
			}
			w.end(t, sched.TaskStopped, t.progressTime)
		}
		return nil
	})
}

func (w *Worker) postCheckpoint(rw http.ResponseWriter, r *http.Request) {
	w.command(rw, r, func(t *task, _ taskCommand) error {
		if t == nil || t.state != sched.TaskRunning {
			return sched.ErrNotFound
		}
		t.checkpoint = checkpointHandle(t.progress)
		return nil
	})
}

func (w *Worker) postThrottle(rw http.ResponseWriter, r *http.Request) {
	w.command(rw, r, func(t *task, c taskCommand) error {
		if t == nil || t.state != sched.TaskRunning {
			return sched.ErrNotFound
		}
		if c.Share <= 0 || c.Share > 1 {
			return sched.ErrRefused
		}
		t.share = c.Share
		return nil
	})
}

func (w *Worker) postAck(rw http.ResponseWriter, r *http.Request) {
	var leases []sched.Lease
	if !readJSON(rw, r, &leases) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.now())
	for _, l := range leases {
		if t, ok := w.tasks[attemptOf(l)]; ok && t.state != sched.TaskRunning {
			delete(w.tasks, attemptOf(l))
		}
	}
}

func (w *Worker) getInventory(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	shard, err := sched.ParseShardID(q.Get("shard"))
	epoch, err2 := strconv.ParseUint(q.Get("epoch"), 10, 64)
	if err := errors.Join(err, err2); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	if err := w.checkEpoch(shard, sched.Epoch(epoch)); err != nil {
		writeError(rw, err)
		return
	}
	inv := sched.Inventory{Worker: w.cfg.Name, Incarnation: w.incarnation, BusySlots: make(map[sched.ServiceName]int)}
	for _, t := range w.tasks {
		inv.Tasks = append(inv.Tasks, t.report(now))
	}
	slices.SortFunc(inv.Tasks, func(a, b sched.TaskReport) int {
		if c := strings.Compare(a.Task.String(), b.Task.String()); c != 0 {
			return c
		}
		return a.Attempt - b.Attempt
	})
	for s, n := range w.busy {
		if n > 0 {
			inv.BusySlots[s] = n
		}
	}
	inv.Clock = now.Sub(w.clockOrigin)
	inv.Usage, inv.UsageAge = w.laggedUsage(now)
	writeJSON(rw, inv)
}
