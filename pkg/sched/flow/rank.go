package flow

import (
	"container/heap"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// ranking holds the workers that may take tasks of one step, the best first.
// All tasks of a step have the same requirements, so each worker is rated once,
// and again only after it took a task.
type ranking struct {
	m         *Machine
	q         sched.Queue
	heap      ranks
	rated     bool
	waitLevel int
}

// rank is a worker with its rating.
type rank struct {
	w     *worker
	score float64
	// order breaks ties by the order of the workers.
	order int
}

type ranks []rank

func (r ranks) Len() int { return len(r) }
func (r ranks) Less(i, j int) bool {
	if r[i].score != r[j].score {
		return r[i].score > r[j].score
	}
	return r[i].order < r[j].order
}
func (r ranks) Swap(i, j int) { r[i], r[j] = r[j], r[i] }
func (r *ranks) Push(x any)   { *r = append(*r, x.(rank)) }
func (r *ranks) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

// best returns the worker on which a task starts, or nil. For a task that
// avoids workers it rates all workers separately.
func (r *ranking) best(t *task, waitLevel int) *worker {
	if len(t.avoid) > 0 {
		return r.m.chooseWorker(t, r.q)
	}
	if !r.rated || r.waitLevel != waitLevel {
		r.make(t, waitLevel)
	}
	for len(r.heap) > 0 {
		top := r.heap[0]
		if r.m.permitted(t, top.w, r.q) {
			return top.w
		}
		heap.Pop(&r.heap)
	}
	return nil
}

// make rates all workers for the tasks of t's step.
func (r *ranking) make(t *task, waitLevel int) {
	r.rated, r.waitLevel = true, waitLevel
	r.heap = r.heap[:0]
	for i, w := range r.m.order {
		if !r.m.permitted(t, w, r.q) {
			continue
		}
		if score, ok := r.m.score(t, w); ok {
			r.heap = append(r.heap, rank{w, score, i})
		}
	}
	heap.Init(&r.heap)
}

// rerate updates the rating of a worker after it took a task.
func (r *ranking) rerate(t *task, w *worker) {
	for i := range r.heap {
		if r.heap[i].w != w {
			continue
		}
		score, ok := r.m.score(t, w)
		if !ok || !r.m.permitted(t, w, r.q) {
			heap.Remove(&r.heap, i)
			return
		}
		r.heap[i].score = score
		heap.Fix(&r.heap, i)
		return
	}
}
