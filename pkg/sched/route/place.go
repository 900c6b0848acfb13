package route

import (
	"math/rand/v2"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// DefaultHintAge is the age from which on a peer's hint is not used any more.
// Peers send several heartbeats in that time.
const DefaultHintAge = 2 * time.Second

// LocalShard is the free capacity of one of the entry's own shards for a service.
type LocalShard struct {
	Shard sched.ShardID
	// Free is the number of free slots; it is negative if requests wait.
	Free int
	// Targets is the number of targets of the service in the shard. A shard
	// without targets cannot even queue a request.
	Targets int
}

// Place is where an attempt of a request runs: one of the entry's own shards,
// or a peer entry if Peer is not empty.
type Place struct {
	Shard sched.ShardID
	Peer  sched.EntryName
}

// Local reports whether the place is one of the entry's own shards.
func (p Place) Local() bool { return p.Peer == "" }

// hint is the number of free slots that a peer has reported for a service.
type hint struct {
	peer       sched.EntryName
	dataCentre sched.DataCentre
	// free is adjusted for the requests sent to the peer and returned since the
	// report.
	free int
	// at is when the slots were free.
	at time.Time
}

// Placer chooses the places of requests. It keeps the hints of peers and
// subtracts the requests that it has sent to a peer from the peer's hint, so
// that the same free slot is not used twice.
type Placer struct {
	rng             *rand.Rand
	localDataCentre sched.DataCentre
	hintAge         time.Duration
	hints           map[sched.ServiceName][]hint
	places          []Place
	// keys holds the sort keys of places, at the same indexes.
	keys []float64
}

// PlacerOption configures a Placer.
type PlacerOption func(*Placer)

// WithHintAge sets the age from which on a hint is not used any more.
func WithHintAge(d time.Duration) PlacerOption { return func(p *Placer) { p.hintAge = d } }

// NewPlacer returns a placer for an entry in a data centre. The seed determines
// its random choices.
func NewPlacer(local sched.DataCentre, seed uint64, opts ...PlacerOption) *Placer {
	p := &Placer{
		rng:             rand.New(rand.NewPCG(seed, seed)),
		localDataCentre: local,
		hintAge:         DefaultHintAge,
		hints:           map[sched.ServiceName][]hint{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Hint records the number of slots that a peer had free for a service at a
// time. It is ignored if a newer hint is known.
func (p *Placer) Hint(s sched.ServiceName, peer sched.EntryName, dc sched.DataCentre, free int, at time.Time) {
	for i := range p.hints[s] {
		h := &p.hints[s][i]
		if h.peer != peer {
			continue
		}
		if at.After(h.at) {
			*h = hint{peer, dc, free, at}
		}
		return
	}
	p.hints[s] = append(p.hints[s], hint{peer, dc, free, at})
}

// Forget removes the hints of a peer that has left.
func (p *Placer) Forget(peer sched.EntryName) {
	for s, hs := range p.hints {
		kept := hs[:0]
		for _, h := range hs {
			if h.peer != peer {
				kept = append(kept, h)
			}
		}
		p.hints[s] = kept
	}
}

// Sent subtracts a request that was sent to a peer from the peer's hint.
func (p *Placer) Sent(s sched.ServiceName, peer sched.EntryName) { p.adjustHint(s, peer, -1) }

// Returned adds the slot of a request that was sent to a peer and has ended to
// the peer's hint. Slots are used many times between two hints.
func (p *Placer) Returned(s sched.ServiceName, peer sched.EntryName) { p.adjustHint(s, peer, 1) }

// adjustHint adds n to the free slots of a peer's hint.
func (p *Placer) adjustHint(s sched.ServiceName, peer sched.EntryName, n int) {
	for i := range p.hints[s] {
		if h := &p.hints[s][i]; h.peer == peer {
			h.free += n
		}
	}
}

// Place returns the places for a request of a service, best first:
//
//   - own shards with a free slot
//   - peers of the local data centre whose recent hint shows a free slot
//   - other peers whose recent hint shows a free slot
//   - own shards and peers where the request would wait
//   - peers without a recent hint
//
// Within each group the order is random, weighted by the free slots or by the
// length of the queue, so that entries with the same hints do not all send to
// the same peer. The slice is valid until the next call.
func (p *Placer) Place(now time.Time, s sched.ServiceName, own []LocalShard) []Place {
	p.places = p.places[:0]
	p.keys = p.keys[:0]
	for _, o := range own {
		switch {
		case o.Targets == 0:
		case o.Free > 0:
			p.insert(Place{Shard: o.Shard}, 4, float64(o.Free))
		default:
			p.insert(Place{Shard: o.Shard}, 1, queueWeight(o.Free))
		}
	}
	for _, h := range p.hints[s] {
		p.addHint(now, h)
	}
	return p.places
}

// addHint inserts the peer of a hint in the group that fits the age and the
// free slots of the hint.
func (p *Placer) addHint(now time.Time, h hint) {
	age := max(now.Sub(h.at), 0)
	freshness := 1 - float64(age)/float64(p.hintAge)
	agedFree := float64(h.free) * freshness
	switch {
	case freshness <= 0:
		p.insert(Place{Peer: h.peer}, 0, 1)
	case agedFree <= 0:
		p.insert(Place{Peer: h.peer}, 1, queueWeight(h.free))
	case h.dataCentre == p.localDataCentre:
		p.insert(Place{Peer: h.peer}, 3, agedFree)
	default:
		p.insert(Place{Peer: h.peer}, 2, agedFree)
	}
}

// queueWeight returns the weight of a place where a request would wait. It is
// the inverse square of the queue length, which strongly favours short queues:
// a queue of twice the length gets a quarter of the requests.
func queueWeight(free int) float64 {
	n := float64(1 - free)
	return 1 / (n * n)
}

// insert adds a place in order of its group, the highest first, and within a
// group in order of a random key that favours weight. The list has only a few
// places, so insertion sort is sufficient.
func (p *Placer) insert(pl Place, group int, weight float64) {
	key := float64(group) + weightedKey(p.rng, weight)
	p.places = append(p.places, pl)
	p.keys = append(p.keys, key)
	for i := len(p.keys) - 1; i > 0 && p.keys[i] > p.keys[i-1]; i-- {
		p.keys[i], p.keys[i-1] = p.keys[i-1], p.keys[i]
		p.places[i], p.places[i-1] = p.places[i-1], p.places[i]
	}
}
