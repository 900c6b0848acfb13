package flow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// What is believed of pairs of images outlives a leader: a new one would
// otherwise find out at the cost of the tasks that serve.

const (
	// saveBeliefsEvery is the shortest time between two records of the beliefs.
	saveEstimatesEvery = 2 * time.Second
	// beliefsMost bounds the pairs of one record.
	maxSavedPairs = 4096
)

// beliefRecord is the state of the durable beliefs.
type estimateRecord struct {
	version  sched.Version
	dirty    bool
	inFlight bool
	savedAt  time.Time
}

// belief is a pair of images in the durable form, with the logarithm of the
// odds that they do not get along.
type pairEstimate struct {
	LatencyCritical string  `cbor:"1,keyasint"`
	BestEffort      string  `cbor:"2,keyasint"`
	LogOdds         float32 `cbor:"3,keyasint"`
}

// encode returns the durable form of the beliefs: the most certain ones if there
// are too many.
func (d *interference) encode() []byte {
	all := make([]pairEstimate, 0, len(d.logOdds))
	for k, l := range d.logOdds {
		all = append(all, pairEstimate{k.critical, k.bestEffort, float32(l)})
	}
	slices.SortFunc(all, func(a, b pairEstimate) int {
		return cmp.Or(cmp.Compare(b.LogOdds, a.LogOdds), cmp.Compare(a.LatencyCritical, b.LatencyCritical), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	b, err := cbor.Marshal(all[:min(len(all), maxSavedPairs)])
	if err != nil {
		panic(err) // The type has no value that fails.
	}
	return b
}

// restore takes in durable beliefs.
func (d *interference) restore(b []byte) error {
	var all []pairEstimate
	if err := cbor.Unmarshal(b, &all); err != nil {
		return err
	}
	for _, x := range all {
		k := imagePair{x.LatencyCritical, x.BestEffort}
		d.logOdds[k], d.estimates[k] = float64(x.LogOdds), 1/(1+math.Exp(-float64(x.LogOdds)))
	}
	d.version++
	for _, x := range all {
		d.refreshCaches(x.BestEffort, true)
	}
	return nil
}

// restoreBeliefs takes in what an earlier leader recorded.
func (m *Machine) restoreEstimates(b []byte, v sched.Version) {
	m.estimateRecord.version = v
	if len(b) == 0 {
		return
	}
	if err := m.interference.restore(b); err != nil {
		m.log("stored beliefs are damaged", "version", v, "error", err)
		return
	}
	m.log("beliefs restored", "pairs", len(m.interference.logOdds), "version", v)
}

// sendBeliefs records the beliefs if they have changed.
func (m *Machine) saveEstimates() {
	r := &m.estimateRecord
	if !r.dirty || r.inFlight || m.now.Sub(r.savedAt) < saveEstimatesEvery {
		return
	}
	c := &m.commits
	c.seq++
	r.dirty, r.inFlight, r.savedAt = false, true, m.now
	c.inFlight[c.seq] = &flight{seq: c.seq, estimates: true, sent: m.now}
	m.emit(CommitCmd{Seq: c.seq, Records: []Record{{
		Key: KeyBeliefs, Value: m.interference.encode(), Version: r.version,
	}}})
}

// beliefsFailed handles a record of the beliefs that did not, or may not, take
// effect.
func (m *Machine) estimatesNotSaved(msg CommitFailedMsg) {
	m.estimateRecord.inFlight, m.estimateRecord.dirty = false, true
	if msg.Conflict {
		m.estimateRecord.version = msg.Versions[KeyBeliefs]
	}
}
