package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Random is the baseline policy. Each request goes to a random worker and waits
// there in order of arrival.
type Random struct {
	rng     *rand.Rand
	slots   int
	busy    []int
	waiting [][]int
	ends    departures
	results []Result
}

// NewRandom returns the baseline policy for a number of workers.
func NewRandom(workers int, seed uint64) *Random {
	return &Random{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		slots:   slots,
		busy:    make([]int, workers),
		waiting: make([][]int, workers),
	}
}

// NewCentral returns the ideal policy: one central queue in order of arrival for
// the slots of all workers.
func NewCentral(workers int) *Random {
	b := NewRandom(1, 1)
	b.slots = workers * slots
	return b
}

// Run simulates the requests and returns their results in the same order.
func (b *Random) Run(requests []Request) []Result {
	b.results = make([]Result, len(requests))
	for i, r := range requests {
		b.results[i].Request = r
	}
	run(b, requests, &b.ends)
	return b.results
}

func (b *Random) arrive(now time.Duration, i int) {
	w := b.rng.IntN(len(b.busy))
	b.waiting[w] = append(b.waiting[w], i)
	b.start(now, w)
}

func (b *Random) depart(now time.Duration, d departure) {
	b.busy[d.server]--
	b.start(now, d.server)
}

func (b *Random) tick(time.Duration) {}

func (b *Random) start(now time.Duration, w int) {
	for b.busy[w] < b.slots && len(b.waiting[w]) > 0 {
		i := b.waiting[w][0]
		b.waiting[w] = b.waiting[w][1:]
		b.busy[w]++
		r := &b.results[i]
		r.End = now + r.Run
		heap.Push(&b.ends, departure{r.End, i, w})
	}
}

// Quantile returns the quantile q of the latencies of the answered requests for
// which ok reports true. It returns 0 if there are none.
func Quantile(rs []Result, q float64, ok func(*Result) bool) time.Duration {
	var ls []time.Duration
	for i := range rs {
		if rs[i].End > 0 && ok(&rs[i]) {
			ls = append(ls, rs[i].Latency())
		}
	}
	if len(ls) == 0 {
		return 0
	}
	slices.Sort(ls)
	return ls[min(int(q*float64(len(ls))), len(ls)-1)]
}

// Count returns the number of answered requests for which ok reports true.
func Count(rs []Result, ok func(*Result) bool) int {
	n := 0
	for i := range rs {
		if rs[i].End > 0 && ok(&rs[i]) {
			n++
		}
	}
	return n
}
