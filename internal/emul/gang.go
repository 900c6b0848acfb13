package emul

import (
	"math/rand/v2"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// gangWait is how long a member waits for the others of its gang.
const gangWait = 3 * time.Second

// gangKey identifies one run of a gang.
type gangKey struct {
	job              sched.JobID
	occurrence, step int
	number           uint64
}

// gang is a run of a gang. Its members make progress only while all of them run,
// and they end together.
type gang struct {
	// members holds the runs by the index of their task.
	members map[int]*Run
	// complete means that all members have been running at the same time. ended
	// means that the gang has ended after that.
	complete, ended bool
}

func gangKeyOf(r *Run) gangKey {
	t := r.ID.Task
	return gangKey{t.Job, t.Occurrence, t.Step, r.ID.Number}
}

// join adds a run that was just started to its gang.
func (e *Emulator) join(r *Run) {
	k := gangKeyOf(r)
	g := e.gangs[k]
	if g == nil {
		g = &gang{members: map[int]*Run{}}
		e.gangs[k] = g
	}
	r.gang = g
	g.members[r.ID.Task.Index] = r
	e.After(gangWait, func() {
		if !g.complete && r.worker.runs[r.ID] == r {
			r.worker.endRun(r, sched.EndGangIncomplete)
		}
	})
	if len(g.members) == r.spec.Count && !g.ended {
		g.complete = true
		for _, o := range g.sortedMembers() {
			o.since = e.now
			o.worker.planEnd(o)
		}
	}
}

// sortedMembers returns the members by task index, so that a simulation with
// the same seed repeats exactly.
func (g *gang) sortedMembers() []*Run {
	var out []*Run
	for i := 0; len(out) < len(g.members); i++ {
		if r := g.members[i]; r != nil {
			out = append(out, r)
		}
	}
	return out
}

// any returns a random member: the one that fails if the gang fails. The others
// end with it.
func (g *gang) any(r *rand.Rand) *Run {
	members := g.sortedMembers()
	return members[r.IntN(len(members))]
}

// remove removes a member whose run has ended or was lost, and ends the other
// members if the gang was complete.
func (g *gang) remove(r *Run, how sched.EndKind) {
	delete(g.members, r.ID.Task.Index)
	if !g.complete || g.ended {
		return
	}
	g.ended = true
	if how != sched.EndDone {
		how = sched.EndGangBroken
	}
	for _, o := range g.sortedMembers() {
		if o.worker.runs[o.ID] == o {
			o.worker.endRun(o, how)
		}
	}
}
