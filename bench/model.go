// Package bench measures the policies of the scheduler in virtual time, the cost
// of its decisions, and the overhead of a site on loopback sockets. The
// benchmarks report figures that the targets of the design are compared with.
//
// The policies are measured with a queueing model: requests arrive, hold a slot
// for their run time, and leave. The model drives the same pool machines and
// placers as an entry, or a baseline with a queue at each worker. It has no
// failures. Its only network delay is a fixed one for a forwarded request.
//
// # Usage
//
//	go test -run '^$' -bench . -benchtime 1x ./bench
package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/pool"
	"github.com/mangoslip/mangoslip/pkg/sched/route"
)

// Size and times of the simulated deployment.
const (
	entries           = 6
	slots             = 8
	forwardDelay      = time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	tickInterval      = 100 * time.Millisecond
	service           = sched.ServiceName("Quote")
)

// modelStart is the virtual time at which the queueing model starts.
var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Request is one request of a workload.
type Request struct {
	At       time.Duration
	Run      time.Duration
	Deadline time.Duration
	// Long marks requests of the class with long run times.
	Long bool
	// Entry is the index of the entry at which the request arrives.
	Entry int
}

// Result is a request with the time of its answer.
type Result struct {
	Request
	// End is the time at which the answer was complete, or 0 if the request was
	// refused.
	End time.Duration
}

// Latency returns the time from the arrival to the answer.
func (r *Result) Latency() time.Duration { return r.End - r.At }

// Flow is a stream of requests with exponential run times.
type Flow struct {
	// Rate returns the mean number of arrivals a second at the virtual time at.
	// It must not exceed MaxRate.
	Rate    func(at time.Duration) float64
	MaxRate float64
	Mean    time.Duration
	Timeout time.Duration
	Long    bool
	// Weights are the entries' shares of the arrivals. They are equal if nil.
	Weights []float64
}

// Generate draws the arrivals of the flows up to a time and sorts them by time.
// The arrivals of a flow are a Poisson process whose rate changes over time.
func Generate(rng *rand.Rand, until time.Duration, flows ...Flow) []Request {
	var out []Request
	for _, f := range flows {
		at := time.Duration(0)
		for {
			at += time.Duration(rng.ExpFloat64() / f.MaxRate * float64(time.Second))
			if at >= until {
				break
			}
			if rng.Float64() > f.Rate(at)/f.MaxRate {
				continue
			}
			out = append(out, Request{
				At:       at,
				Run:      time.Duration(rng.ExpFloat64()*float64(f.Mean)) + 1,
				Deadline: at + f.Timeout,
				Long:     f.Long,
				Entry:    f.entry(rng),
			})
		}
	}
	slices.SortFunc(out, func(a, b Request) int { return int(a.At - b.At) })
	return out
}

func (f *Flow) entry(rng *rand.Rand) int {
	if f.Weights == nil {
		return rng.IntN(entries)
	}
	u := rng.Float64()
	for i, w := range f.Weights {
		if u -= w; u < 0 {
			return i
		}
	}
	return entries - 1
}

// departure is the end of request i, which runs on the server with the given
// index: a worker in the baseline, an entry in Pools.
type departure struct {
	at     time.Duration
	i      int
	server int
}

type departures []departure

func (d departures) Len() int           { return len(d) }
func (d departures) Less(i, j int) bool { return d[i].at < d[j].at }
func (d departures) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *departures) Push(x any) { *d = append(*d, x.(departure)) }

// Pop implements heap.Interface.
func (d *departures) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// queueingSystem is a policy with simulated servers. Its methods handle the
// events of the simulation.
type queueingSystem interface {
	arrive(now time.Duration, i int)
	depart(now time.Duration, d departure)
	tick(now time.Duration)
}

// run advances virtual time from event to event until all requests have left.
func run(system queueingSystem, requests []Request, ends *departures) {
	next, nextTick := 0, time.Duration(0)
	for next < len(requests) || ends.Len() > 0 {
		at := time.Duration(1<<63 - 1)
		if next < len(requests) {
			at = requests[next].At
		}
		if ends.Len() > 0 {
			at = min(at, (*ends)[0].at)
		}
		for nextTick <= at {
			system.tick(nextTick)
			nextTick += tickInterval
		}
		if ends.Len() > 0 && (*ends)[0].at == at {
			system.depart(at, heap.Pop(ends).(departure))
			continue
		}
		system.arrive(at, next)
		next++
	}
}

// Pools is the policy of the scheduler: six entries that each own one shard and
// forward requests according to the hints of their peers. A hint is the number
// of slots that a peer has free.
type Pools struct {
	pools        []*pool.Machine
	placers      []*route.Placer
	shards       sched.Layout
	forwards     bool
	hintInterval time.Duration
	nextHint     time.Duration
	ends         departures
	results      []Result
	placedAt     []int
}

// NewPools returns the entries for a number of workers. The workers are assigned
// to shards as in a deployment.
func NewPools(workers int, seed uint64) *Pools {
	p := &Pools{shards: sched.NewLayout([]sched.DataCentre{"A", "B", "C"}, 2), forwards: true, hintInterval: heartbeatInterval}
	lists := make([][]sched.Instance, entries)
	for w := range workers {
		in := workerInstance(w)
		shard, _ := p.shards.ShardOfWorker(sched.WorkerName(in.Name), in.DataCentre)
		at := slices.Index(p.shards, shard)
		lists[at] = append(lists[at], in)
	}
	for e := range entries {
		p.add(lists[e], slots, seed+uint64(e))
	}
	return p
}

// WithHints sets the time between two hints from a peer.
func (p *Pools) WithHints(every time.Duration) *Pools {
	p.hintInterval = every
	return p
}

// NewShares returns entries that each own a fixed share of the slots of every
// worker and forward no requests.
func NewShares(workers int, seed uint64) *Pools {
	p := &Pools{shards: sched.NewLayout([]sched.DataCentre{"A", "B", "C"}, 2)}
	for e := range entries {
		var list, secondSlots []sched.Instance
		for w := range workers {
			in := workerInstance(w)
			list = append(list, in)
			// 6 entries share the 8 slots of a worker: two of the entries get a
			// second slot, listed as another worker with one slot.
			if (e+2*w)%entries < slots-entries {
				in.Name += "+"
				secondSlots = append(secondSlots, in)
			}
		}
		p.add(append(list, secondSlots...), 1, seed+uint64(e))
	}
	return p
}

func workerInstance(w int) sched.Instance {
	return sched.Instance{
		Name:       fmt.Sprintf("worker-%03d", w),
		Role:       sched.RoleWorker,
		State:      sched.StateLive,
		DataCentre: []sched.DataCentre{"A", "B", "C"}[w%3],
		Services:   []sched.ServiceName{service},
	}
}

func (p *Pools) add(list []sched.Instance, slots int, seed uint64) {
	m := pool.New(pool.WithSeed(seed), pool.WithQueue(1<<14), pool.WithTaskExpiry(0))
	cfg := &sched.Config{Revision: 1, Services: []sched.Service{{Name: service, State: sched.ServiceStarted, Slots: slots, Timeout: time.Second}}}
	m.Update(modelStart, pool.ConfigMsg{Config: cfg})
	m.Update(modelStart, pool.WorkersMsg{Workers: list})
	m.Update(modelStart, pool.AcquiredMsg{Epoch: 1})
	for _, in := range list {
		m.Update(modelStart, pool.InventoryMsg{Worker: sched.WorkerName(in.Name), Epoch: 1})
	}
	e := len(p.pools)
	p.pools = append(p.pools, m)
	p.placers = append(p.placers, route.NewPlacer(p.shards[e].DataCentre, seed))
}

// Run simulates the requests and returns their results in the same order.
func (p *Pools) Run(requests []Request) []Result {
	p.results = make([]Result, len(requests))
	p.placedAt = make([]int, len(requests))
	for i, r := range requests {
		p.results[i].Request = r
	}
	run(p, requests, &p.ends)
	return p.results
}

func (p *Pools) arrive(now time.Duration, i int) {
	r := &p.results[i]
	at := r.Entry
	if p.forwards {
		at = p.place(now, at)
	}
	p.placedAt[i] = at
	p.update(now, at, pool.AcquireMsg{ID: uint64(i), Service: service, Class: class(r.Long), Deadline: modelStart.Add(r.Deadline)})
}

// place returns the index of the entry that queues a request: e itself or the
// peer to which e forwards it.
func (p *Pools) place(now time.Duration, e int) int {
	m := p.pools[e]
	own := []route.LocalShard{{Shard: p.shards[e], Free: m.Free(service), Targets: m.Targets(service)}}
	to := p.placers[e].Place(modelStart.Add(now), service, own)[0]
	if to.Local() {
		return e
	}
	p.placers[e].Sent(service, to.Peer)
	return int(to.Peer[0] - '0')
}

// peer returns the name of the entry with index e.
func peer(e int) sched.EntryName { return sched.EntryName(rune('0' + e)) }

func class(long bool) string {
	if long {
		return "long"
	}
	return "short"
}

func (p *Pools) depart(now time.Duration, d departure) {
	r := &p.results[d.i]
	if d.server != r.Entry {
		p.placers[r.Entry].Returned(service, peer(d.server))
	}
	p.update(now, d.server, pool.ReleaseMsg{ID: uint64(d.i), Outcome: sched.Ran, Latency: r.Run})
}

func (p *Pools) tick(now time.Duration) {
	for e := range p.pools {
		p.update(now, e, sched.TickMsg{})
	}
	if now < p.nextHint {
		return
	}
	p.nextHint = now + p.hintInterval
	for e, m := range p.pools {
		for k, pl := range p.placers {
			if k != e {
				pl.Hint(service, peer(e), p.shards[e].DataCentre, m.Free(service), modelStart.Add(now))
			}
		}
	}
}

func (p *Pools) update(now time.Duration, e int, msg sched.Msg) {
	for _, c := range p.pools[e].Update(modelStart.Add(now), msg) {
		g, ok := c.(pool.GrantCmd)
		if !ok {
			continue
		}
		i := int(g.ID)
		r := &p.results[i]
		end := now + r.Run
		heap.Push(&p.ends, departure{end, i, e})
		if p.placedAt[i] != r.Entry {
			end += forwardDelay
		}
		r.End = end
	}
}
