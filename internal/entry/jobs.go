package entry

import (
	"context"
	"time"

	"github.com/mangoslip/mangoslip/internal/peer"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/tasks"
)

// jobTimeout bounds the wait until the submission or cancellation of a job is
// durable.
const jobTimeout = 10 * time.Second

// SubmitJob implements front.Backend.
func (e *Entry) SubmitJob(ctx context.Context, spec sched.JobSpec) (sched.JobStatus, sched.Reason) {
	if e.stopping.Load() {
		// An earlier submission under the same id may have been accepted.
		return sched.JobStatus{}, sched.ReasonKeyOwnerUnavailable
	}
	if cfg := e.conf.inForce(); cfg != nil {
		if t, ok := cfg.Team(spec.Team); ok {
			spec.Team = t.Name
		}
	}
	return e.jobCall(ctx, spec.ID,
		func(ctx context.Context, shard sched.ShardID) ([]byte, sched.Reason) {
			return e.SubmitJobAt(ctx, shard, tasks.EncodeJob(spec))
		},
		func(ctx context.Context, p *peer.Client, shard sched.ShardID) ([]byte, sched.Reason, error) {
			return p.SubmitJob(ctx, shard, tasks.EncodeJob(spec))
		})
}

// CancelJob implements front.Backend.
func (e *Entry) CancelJob(ctx context.Context, id sched.JobID) (sched.JobStatus, sched.Reason) {
	return e.jobCall(ctx, id,
		func(ctx context.Context, shard sched.ShardID) ([]byte, sched.Reason) {
			return e.CancelJobAt(ctx, shard, id)
		},
		func(ctx context.Context, p *peer.Client, shard sched.ShardID) ([]byte, sched.Reason, error) {
			return p.CancelJob(ctx, shard, id)
		})
}

// jobCall runs a call at the owner of a job's home shard, which is this entry or
// a peer. The home shard is the one that the job's id belongs to. If the owner
// does not answer, an earlier submission under the same id may have been accepted.
// The reason is then one whose outcome is not NotRun.
func (e *Entry) jobCall(
	ctx context.Context, id sched.JobID,
	local func(context.Context, sched.ShardID) ([]byte, sched.Reason),
	remote func(context.Context, *peer.Client, sched.ShardID) ([]byte, sched.Reason, error),
) (sched.JobStatus, sched.Reason) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	shard, ok := e.keyShard(string(id))
	if !ok {
		return sched.JobStatus{}, sched.ReasonKeyOwnerUnavailable
	}
	to, ok := e.ownerOf(shard)
	if !ok {
		return sched.JobStatus{}, sched.ReasonKeyOwnerUnavailable
	}
	var status []byte
	var reason sched.Reason
	if to == e.Name {
		status, reason = local(ctx, shard)
	} else {
		p, ok := e.dialEntry(to)
		if !ok {
			return sched.JobStatus{}, sched.ReasonKeyOwnerUnavailable
		}
		var err error
		if status, reason, err = remote(ctx, p, shard); err != nil {
			return sched.JobStatus{}, sched.ReasonPeerBroken
		}
	}
	if reason == sched.ReasonNotOwner {
		reason = sched.ReasonKeyOwnerUnavailable
	}
	if reason != "" {
		return sched.JobStatus{}, reason
	}
	s, err := tasks.DecodeStatus(status)
	if err != nil {
		e.log.Error("decoding a job status failed", "job", id, "err", err)
		return sched.JobStatus{}, sched.ReasonPeerBroken
	}
	return s, ""
}

// SubmitJobAt implements peer.Backend.
func (e *Entry) SubmitJobAt(ctx context.Context, id sched.ShardID, job []byte) ([]byte, sched.Reason) {
	spec, err := tasks.DecodeJob(job)
	if err != nil {
		return nil, sched.ReasonBadRequest
	}
	targets := e.hostingShards()
	return e.jobAt(ctx, id, func(w tasks.Waiter) sched.Msg {
		return tasks.SubmitMsg{Waiter: w, Spec: spec, Targets: targets}
	})
}

// CancelJobAt implements peer.Backend.
func (e *Entry) CancelJobAt(ctx context.Context, id sched.ShardID, job sched.JobID) ([]byte, sched.Reason) {
	return e.jobAt(ctx, id, func(w tasks.Waiter) sched.Msg {
		return tasks.CancelMsg{Waiter: w, Job: job}
	})
}

// jobAt posts a message to the tasks machine of a shard that this entry serves
// and waits for the reply.
func (e *Entry) jobAt(ctx context.Context, id sched.ShardID, msg func(tasks.Waiter) sched.Msg) ([]byte, sched.Reason) {
	s, ok := e.shards.Load().byID[id]
	if !ok || !s.serving() {
		return nil, sched.ReasonNotOwner
	}
	w := tasks.Waiter(e.ids.Add(1))
	ch := make(chan tasks.ReplyCmd, 1)
	s.mu.Lock()
	if s.phase != phaseServing || s.suspended {
		s.mu.Unlock()
		return nil, sched.ReasonNotOwner
	}
	s.jobs[w] = ch
	s.run(machineTasks, msg(w))
	s.unlock()
	select {
	case r := <-ch:
		switch {
		case r.Reason != "" && r.Outcome == sched.Unknown:
			return nil, sched.ReasonPeerBroken
		case r.Reason != "":
			return nil, r.Reason
		case !r.Known:
			return nil, sched.ReasonUnknownJob
		}
		return tasks.EncodeStatus(r.Status), ""
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.jobs, w)
		s.mu.Unlock()
		return nil, sched.ReasonPeerBroken
	}
}

// hostingShards returns the shards whose workers can run tasks. Free is the total
// capacity of the live workers, Biggest that of the largest one.
func (e *Entry) hostingShards() []tasks.HostingShard {
	v, set := e.listView.Load(), e.shards.Load()
	var out []tasks.HostingShard
	for _, id := range set.layout {
		t := tasks.HostingShard{Shard: id}
		for _, w := range v.workers[id] {
			if w.State != sched.StateLive {
				continue
			}
			t.Free = t.Free.Add(w.Capacity)
			t.Biggest = bigger(t.Biggest, w.Capacity)
		}
		if t.Biggest != (sched.Resources{}) {
			out = append(out, t)
		}
	}
	return out
}

// bigger returns the worker size with more accelerators, or with more CPU if the
// accelerators are equal.
func bigger(a, b sched.Resources) sched.Resources {
	if b.Accelerators != a.Accelerators {
		if b.Accelerators > a.Accelerators {
			return b
		}
		return a
	}
	if b.CPU > a.CPU {
		return b
	}
	return a
}

// Job implements front.Backend.
func (e *Entry) Job(ctx context.Context, id sched.JobID) (sched.JobStatus, bool, sched.Reason) {
	jobs, reason := e.collectJobs(ctx, id)
	if len(jobs) == 0 {
		return sched.JobStatus{}, false, reason
	}
	return jobs[0], true, ""
}

// Jobs implements front.Backend.
func (e *Entry) Jobs(ctx context.Context) ([]sched.JobStatus, sched.Reason) {
	return e.collectJobs(ctx, "")
}

// collectJobs asks all entries for the jobs, or for one job, of the home shards
// that they own. The reason is set if the list is incomplete because an entry did
// not answer.
func (e *Entry) collectJobs(ctx context.Context, id sched.JobID) ([]sched.JobStatus, sched.Reason) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	encoded := e.LocalJobs(ctx, id)
	var reason sched.Reason
	for name := range e.listView.Load().entries {
		if name == e.Name {
			continue
		}
		p, ok := e.dialEntry(name)
		if !ok {
			continue
		}
		more, err := p.ListJobs(ctx, id)
		if err != nil {
			reason = sched.ReasonPeerBroken
			continue
		}
		encoded = append(encoded, more...)
	}
	var out []sched.JobStatus
	for _, b := range encoded {
		s, err := tasks.DecodeStatus(b)
		if err != nil {
			reason = sched.ReasonPeerBroken
			continue
		}
		out = append(out, s)
	}
	return out, reason
}

// maxJobsListed bounds the number of jobs that one shard lists.
const maxJobsListed = 10000

// LocalJobs implements peer.Backend.
func (e *Entry) LocalJobs(_ context.Context, id sched.JobID) [][]byte {
	var out [][]byte
	for _, s := range e.shards.Load().byID {
		if !s.serving() {
			continue
		}
		s.mu.Lock()
		if id != "" {
			if j, ok := s.tasks.Job(id); ok {
				out = append(out, tasks.EncodeStatus(j))
			}
		} else {
			for _, j := range s.tasks.Jobs(maxJobsListed) {
				out = append(out, tasks.EncodeStatus(j))
			}
		}
		s.mu.Unlock()
	}
	return out
}
