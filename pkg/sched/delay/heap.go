package delay

// heap holds job indices, the one with the lowest rate first. Of equal rates the
// higher index comes first, so that decisions do not depend on the heap's layout.
type heap []int

func (h heap) less(a, b int, rates []float64) bool {
	if rates[h[a]] != rates[h[b]] {
		return rates[h[a]] < rates[h[b]]
	}
	return h[a] > h[b]
}

func (h *heap) push(job int, rates []float64) {
	*h = append(*h, job)
	for i := len(*h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.less(i, parent, rates) {
			return
		}
		(*h)[i], (*h)[parent] = (*h)[parent], (*h)[i]
		i = parent
	}
}

func (h *heap) pop(rates []float64) (int, bool) {
	x := *h
	if len(x) == 0 {
		return 0, false
	}
	out, last := x[0], len(x)-1
	x[0] = x[last]
	x = x[:last]
	*h = x
	for i := 0; ; {
		least := i
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < len(x) && x.less(c, least, rates) {
				least = c
			}
		}
		if least == i {
			return out, true
		}
		x[i], x[least] = x[least], x[i]
		i = least
	}
}
