package tasks

// indexedHeap is a binary min-heap whose items store their position, so that any
// item can be removed or moved in O(log n).
type indexedHeap[T comparable] struct {
	items []T
	less  func(a, b T) bool
	// pos returns where an item stores its position plus one. Zero means that
	// the item is not in the heap.
	pos func(T) *int
}

// push adds an item.
func (h *indexedHeap[T]) push(x T) {
	h.items = append(h.items, x)
	*h.pos(x) = len(h.items)
	h.up(len(h.items) - 1)
}

// top returns the smallest item.
func (h *indexedHeap[T]) top() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// remove removes an item. It reports false if the item is not in the heap.
func (h *indexedHeap[T]) remove(x T) bool {
	p := h.pos(x)
	if *p == 0 {
		return false
	}
	i, last := *p-1, len(h.items)-1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*p = 0
	if i < last {
		h.down(i)
		h.up(i)
	}
	return true
}

// fix restores the heap order after the sort key of an item has changed.
func (h *indexedHeap[T]) fix(x T) {
	if p := *h.pos(x); p != 0 {
		h.down(p - 1)
		h.up(*h.pos(x) - 1)
	}
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.pos(h.items[i]), *h.pos(h.items[j]) = i+1, j+1
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
