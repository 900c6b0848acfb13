package delay

import (
	"cmp"
	"slices"
	"time"
)

// shortestSpan is the time to which the missing capacity refers at least. A task
// that is a moment late would otherwise count as a lack of thousands of cores.
const shortestSpan = time.Second

// capacity tells how much work can be done until a time. Capacity that is held
// does none until it is free.
type capacity struct {
	free, ahead Amount
	held        []Held
	// sums holds, for each number of held amounts that are free, their sum, and
	// lost the work that they would have done before.
	sums, lost []Amount
}

func newCapacity(in *Input) *capacity {
	c := &capacity{free: in.Free, ahead: in.Ahead, held: slices.Clone(in.Held)}
	slices.SortFunc(c.held, func(a, b Held) int { return cmp.Compare(a.Until, b.Until) })
	c.sums, c.lost = make([]Amount, len(c.held)+1), make([]Amount, len(c.held)+1)
	for i, h := range c.held {
		c.sums[i+1] = c.sums[i].Add(h.Amount)
		c.lost[i+1] = c.lost[i].Add(h.Amount.Scale(h.Until.Seconds()))
	}
	return c
}

// total returns the capacity once nothing is held.
func (c *capacity) total() Amount { return c.free.Add(c.sums[len(c.held)]) }

// until returns how much work can be done until a time.
func (c *capacity) until(at time.Duration) Amount {
	n, _ := slices.BinarySearchFunc(c.held, at, func(h Held, at time.Duration) int {
		if h.Until <= at {
			return -1
		}
		return 1
	})
	return c.free.Add(c.sums[n]).Scale(max(at, 0).Seconds()).Sub(c.lost[n]).Sub(c.ahead)
}

// lack returns the cores, or the cores that go with the memory, that are missing
// until the deadline where most are. It is not positive if all work fits.
func (c *capacity) lack(order []item) float64 {
	most, sum, total := 0.0, Amount{}, c.total()
	for _, x := range order {
		sum = sum.Add(x.work)
		excess := sum.Sub(c.until(x.at))
		most = max(most, excess.Cores/max(x.at, shortestSpan).Seconds())
		if total.Memory > 0 {
			most = max(most, excess.Memory/total.Memory*total.Cores/max(x.at, shortestSpan).Seconds())
		}
	}
	return most
}
