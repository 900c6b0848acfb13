package queue

import "time"

// none is the index of no node.
const none int32 = -1

// node is a waiting request. It is an element of a heap ordered by latest start
// and of a linked list ordered by arrival.
type node struct {
	item        Item
	latestStart time.Time
	seq         uint64
	heapPos     int32
	older       int32
	newer       int32
}

// missesDeadline reports whether the request would end too late if it started
// now. A request at its deadline always would, even if its run time is not known.
func (n *node) missesDeadline(now time.Time) bool {
	return now.After(n.latestStart) || !now.Before(n.item.Deadline)
}

// lane holds the short or the long requests of a queue, ordered both by latest
// start and by arrival. Its nodes are kept in one slice and reused, so a lane
// stops allocating once it has reached its usual length.
type lane struct {
	size          int
	nodes         []node
	unused        []int32
	heap          []int32
	byID          map[uint64]int32
	newest        int32
	seq           uint64
	nonEmptySince time.Time
	lastDropAt    time.Time
}

func newLane() lane { return lane{byID: map[uint64]int32{}, newest: none} }

func (l *lane) len() int { return len(l.heap) }

// overloaded reports whether the lane has held requests without a break for
// overloadAfter, and has dropped one within overloadHold because it could not
// finish in time.
func (l *lane) overloaded(now time.Time) bool {
	if l.len() == 0 || l.lastDropAt.IsZero() {
		return false
	}
	return now.Sub(l.nonEmptySince) >= overloadAfter && now.Sub(l.lastDropAt) < overloadHold
}

func (l *lane) push(now time.Time, it Item) {
	if l.len() == 0 {
		l.nonEmptySince = now
	}
	n := l.alloc()
	l.seq++
	l.nodes[n] = node{
		item:        it,
		seq:         l.seq,
		latestStart: it.Deadline.Add(-max(it.Bound, it.Estimate)),
		heapPos:     int32(len(l.heap)),
		older:       l.newest,
		newer:       none,
	}
	if l.newest != none {
		l.nodes[l.newest].newer = n
	}
	l.newest = n
	l.byID[it.ID] = n
	l.heap = append(l.heap, n)
	l.up(len(l.heap) - 1)
}

func (l *lane) alloc() int32 {
	if k := len(l.unused); k > 0 {
		n := l.unused[k-1]
		l.unused = l.unused[:k-1]
		return n
	}
	l.nodes = append(l.nodes, node{})
	return int32(len(l.nodes) - 1)
}

// pop removes and returns the request to start next. The lane must not be empty.
func (l *lane) pop(now time.Time) Item {
	if l.overloaded(now) {
		return l.take(l.newest)
	}
	return l.take(l.heap[0])
}

// take removes a node and returns its request.
func (l *lane) take(n int32) Item {
	nd := l.nodes[n]
	l.unlink(nd)
	last := len(l.heap) - 1
	at := int(nd.heapPos)
	l.swap(at, last)
	l.heap = l.heap[:last]
	if at < last {
		l.down(at)
		l.up(at)
	}
	delete(l.byID, nd.item.ID)
	l.unused = append(l.unused, n)
	return nd.item
}

func (l *lane) unlink(nd node) {
	if nd.older != none {
		l.nodes[nd.older].newer = nd.newer
	}
	if nd.newer != none {
		l.nodes[nd.newer].older = nd.older
		return
	}
	l.newest = nd.older
}

func (l *lane) less(i, j int) bool {
	a, b := &l.nodes[l.heap[i]], &l.nodes[l.heap[j]]
	if a.latestStart.Equal(b.latestStart) {
		return a.seq < b.seq
	}
	return a.latestStart.Before(b.latestStart)
}

func (l *lane) swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.nodes[l.heap[i]].heapPos = int32(i)
	l.nodes[l.heap[j]].heapPos = int32(j)
}

func (l *lane) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !l.less(i, parent) {
			return
		}
		l.swap(i, parent)
		i = parent
	}
}

func (l *lane) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(l.heap) {
			return
		}
		if c+1 < len(l.heap) && l.less(c+1, c) {
			c++
		}
		if !l.less(c, i) {
			return
		}
		l.swap(i, c)
		i = c
	}
}
