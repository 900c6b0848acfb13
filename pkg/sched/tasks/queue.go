package tasks

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// maxRunTimePenalty bounds how far a task is sorted behind shorter ones. Within
// its team, a task is overtaken only by tasks that arrive at most this much
// later, so long tasks do not starve.
const maxRunTimePenalty = 5 * time.Minute

// team holds the queued tasks and the resource usage of one team.
type team struct {
	name  sched.TeamName
	used  sched.Resources
	quota sched.Resources
	// dominantShare is the fraction of its quota that the team uses, for the
	// resource of which this fraction is the largest.
	dominantShare float64
	// queues and bandPos are indexed by priority band.
	queues  [2]indexedHeap[*task]
	bandPos [2]int
	// unplaced counts the tasks of the team for which the current scheduling
	// pass found no worker.
	unplaced int
}

// queue orders the tasks that may start now: urgent tasks before others, then
// tasks of the team with the lowest dominant share of its quota, then by arrival
// time plus predicted run time. Operations on single tasks take O(log n).
type queue struct {
	teams map[sched.TeamName]*team
	// teamsByShare holds the teams with queued tasks, by priority band.
	teamsByShare [2]indexedHeap[*team]
	// capacity is the total capacity of the shard.
	capacity sched.Resources
	// quotaShare is the fraction of each quota that applies to this shard.
	quotaShare float64
}

func newQueue(quotaShare float64) *queue {
	q := &queue{teams: map[sched.TeamName]*team{}, quotaShare: quotaShare}
	for band := range q.teamsByShare {
		q.teamsByShare[band] = indexedHeap[*team]{
			less: func(a, b *team) bool {
				if a.dominantShare != b.dominantShare {
					return a.dominantShare < b.dominantShare
				}
				return a.name < b.name
			},
			pos: func(t *team) *int { return &t.bandPos[band] },
		}
	}
	return q
}

// band returns the priority band of a task: 0 if it is urgent, 1 otherwise.
func band(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

// team returns the team with this name, and adds it if it is new.
func (q *queue) team(name sched.TeamName) *team {
	if t, ok := q.teams[name]; ok {
		return t
	}
	t := &team{name: name}
	for b := range t.queues {
		t.queues[b] = indexedHeap[*task]{less: taskLess, pos: func(t *task) *int { return &t.queuePos }}
	}
	q.teams[name] = t
	return t
}

func taskLess(a, b *task) bool {
	if a.orderKey != b.orderKey {
		return a.orderKey < b.orderKey
	}
	if a.id.Job != b.id.Job {
		return a.id.Job < b.id.Job
	}
	return a.id.Index < b.id.Index
}

// push queues a task. The caller has set its orderKey.
func (q *queue) push(t *task) {
	tm, b := q.team(t.team), band(t.urgent)
	tm.queues[b].push(t)
	if tm.bandPos[b] == 0 {
		q.teamsByShare[b].push(tm)
	}
}

// remove removes a task if it is queued.
func (q *queue) remove(t *task) {
	tm, b := q.team(t.team), band(t.urgent)
	if !tm.queues[b].remove(t) {
		return
	}
	if tm.queues[b].len() == 0 {
		q.teamsByShare[b].remove(tm)
	}
}

// pop removes and returns the first task of a priority band.
func (q *queue) pop(b int) (*task, bool) {
	tm, ok := q.teamsByShare[b].top()
	if !ok {
		return nil, false
	}
	t, _ := tm.queues[b].top()
	q.remove(t)
	return t, true
}

// markUnplaced records that no worker was found for a popped task. A team with
// too many such tasks is left out of the band until one of its tasks is pushed
// again.
func (q *queue) markUnplaced(t *task, b int) {
	tm := q.team(t.team)
	if tm.unplaced++; tm.unplaced >= maxUnplacedPerTeam {
		q.teamsByShare[b].remove(tm)
	}
}

// addUsage adds resources to the usage of a team if sign is 1, or subtracts them
// if it is -1.
func (q *queue) addUsage(name sched.TeamName, r sched.Resources, sign int) {
	tm := q.team(name)
	tm.used = tm.used.Add(r.Scale(sign))
	q.updateShare(tm)
}

// updateShare recomputes the dominant share of a team. The share of a resource
// without a quota is relative to the capacity of the shard.
func (q *queue) updateShare(tm *team) {
	share := func(used, quota, total int64) float64 {
		bound := float64(quota) * q.quotaShare
		if quota == 0 {
			bound = float64(max(total, 1))
		}
		return float64(used) / bound
	}
	tm.dominantShare = max(
		share(int64(tm.used.CPU), int64(tm.quota.CPU), int64(q.capacity.CPU)),
		share(int64(tm.used.Memory), int64(tm.quota.Memory), int64(q.capacity.Memory)),
		share(int64(tm.used.Accelerators), int64(tm.quota.Accelerators), int64(q.capacity.Accelerators)),
	)
	for b := range q.teamsByShare {
		q.teamsByShare[b].fix(tm)
	}
}

// configure sets the quotas of the teams and the capacity of the shard.
func (q *queue) configure(cfg *sched.Config, total sched.Resources) {
	q.capacity = total
	if cfg != nil {
		for _, tm := range q.teams {
			tm.quota = sched.Resources{}
		}
		for i := range cfg.Teams {
			q.team(cfg.Teams[i].Name).quota = cfg.Teams[i].Quota
		}
	}
	for _, tm := range q.teams {
		q.updateShare(tm)
	}
}
