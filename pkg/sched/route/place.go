package route

import (
	"math/rand/v2"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// DefaultHintAge is the age at which a peer's hint is worth nothing. Peers
// send a heartbeat several times in that time.
const DefaultHintAge = 2 * time.Second

// Own is what a shard of the own entry has free for a service.
type Own struct {
	Shard sched.ShardID
	// Free is negative if requests wait.
	Free int
	// Targets is the number of targets of the service in the shard; a shard
	// without any cannot even queue the request.
	Targets int
}

// Place is where an attempt runs: a shard of the own entry, or a peer.
type Place struct {
	Shard sched.ShardID
	Peer  sched.EntryName
}

// Local reports whether the place is a shard of the own entry.
func (p Place) Local() bool { return p.Peer == "" }

// hint is what a peer has told about its free slots for a service.
type hint struct {
	peer       sched.EntryName
	dataCentre sched.DataCentre
	free       int
	at         time.Time
}

// Placer chooses places. It holds the hints of peers and counts what it has
// sent on each hint, so that one hint is not spent twice.
type Placer struct {
	rng             *rand.Rand
	localDataCentre sched.DataCentre
	hintAge         time.Duration
	hints           map[sched.ServiceName][]hint
	places          []Place
	keys            []float64
}

// PlacerOption configures a Placer.
type PlacerOption func(*Placer)

// WithHintAge sets the age at which a hint is worth nothing.
func WithHintAge(d time.Duration) PlacerOption { return func(p *Placer) { p.hintAge = d } }

// NewPlacer returns a placer for an entry in a data centre.
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

// Hint records what a peer had free for a service at a time. An older hint
// than the one known is ignored.
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

// Forget drops the hints of a peer that has left.
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

// Sent counts a request that was sent to a peer against its hint.
func (p *Placer) Sent(s sched.ServiceName, peer sched.EntryName) { p.adjustHint(s, peer, -1) }

// Returned counts the end of a request that was sent to a peer: its slot is
// free again. Slots turn over many times between two hints.
func (p *Placer) Returned(s sched.ServiceName, peer sched.EntryName) { p.adjustHint(s, peer, 1) }

func (p *Placer) adjustHint(s sched.ServiceName, peer sched.EntryName, n int) {
	for i := range p.hints[s] {
		if h := &p.hints[s][i]; h.peer == peer {
			h.free += n
		}
	}
}

// Place returns the places for a request of a service, best first: own shards
// with a free slot, peers of the local data centre with a fresh hint of one,
// other peers with one, places where it would queue, and peers not heard of
// lately. Within each group the order is random, weighted by free slots or by
// the inverse of the queue, so that entries with the same hints do not send to
// the same peer. The slice is valid until the next call.
func (p *Placer) Place(now time.Time, s sched.ServiceName, own []Own) []Place {
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

// queueWeight favours short queues strongly: with the inverse square, a queue
// of twice the length gets a quarter of the requests.
func queueWeight(free int) float64 {
	n := float64(1 - free)
	return 1 / (n * n)
}

// insert inserts a place by group, and within a group by a random key that
// favours weight. Lists are a handful of places long.
func (p *Placer) insert(pl Place, group int, weight float64) {
	key := float64(group) + weightedKey(p.rng, weight)
	p.places = append(p.places, pl)
	p.keys = append(p.keys, key)
	for i := len(p.keys) - 1; i > 0 && p.keys[i] > p.keys[i-1]; i-- {
		p.keys[i], p.keys[i-1] = p.keys[i-1], p.keys[i]
		p.places[i], p.places[i-1] = p.places[i-1], p.places[i]
	}
}
