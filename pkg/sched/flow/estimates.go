package flow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Interference estimates are stored so that they outlive a leader. A new leader
// would otherwise have to learn them again from missed targets of
// latency-critical tasks.

const (
	// saveEstimatesEvery is the shortest time between two records of the
	// estimates.
	saveEstimatesEvery = 2 * time.Second
)

// estimateRecord is the state of the stored estimates.
type estimateRecord struct {
	version  sched.Version
	dirty    bool
	inFlight bool
	savedAt  time.Time
}

// pairEstimate is the stored form of the estimate for a pair of images. LogOdds
// is the natural logarithm of the odds that they interfere.
type pairEstimate struct {
	LatencyCritical string  `cbor:"1,keyasint"`
	BestEffort      string  `cbor:"2,keyasint"`
	LogOdds         float32 `cbor:"3,keyasint"`
}

// encode returns the stored form of the estimates, the pairs that are most likely to
// interfere first.
func (d *interference) encode() []byte {
	all := make([]pairEstimate, 0, len(d.logOdds))
	for k, l := range d.logOdds {
		all = append(all, pairEstimate{k.critical, k.bestEffort, float32(l)})
	}
	slices.SortFunc(all, func(a, b pairEstimate) int {
		return cmp.Or(cmp.Compare(b.LogOdds, a.LogOdds), cmp.Compare(a.LatencyCritical, b.LatencyCritical), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	b, err := cbor.Marshal(all)
	if err != nil {
		panic(err) // This type always encodes.
	}
	return b
}

// restore loads stored estimates.
func (d *interference) restore(b []byte) error {
	var all []pairEstimate
	if err := cbor.Unmarshal(b, &all); err != nil {
		return err
	}
	all = all[:min(len(all), maxPairs)]
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

// restoreEstimates loads the estimates that an earlier leader recorded.
func (m *Machine) restoreEstimates(b []byte, v sched.Version) {
	m.estimateRecord.version = v
	if len(b) == 0 {
		return
	}
	if err := m.interference.restore(b); err != nil {
		m.log("stored interference estimates are damaged", "version", v, "error", err)
		return
	}
	m.log("interference estimates restored", "pairs", len(m.interference.logOdds), "version", v)
}

// saveEstimates records the estimates if they have changed.
func (m *Machine) saveEstimates() {
	r := &m.estimateRecord
	if !r.dirty || r.inFlight || m.now.Sub(r.savedAt) < saveEstimatesEvery && !m.resignation.began {
		return
	}
	c := &m.commits
	c.seq++
	r.dirty, r.inFlight, r.savedAt = false, true, m.now
	c.inFlight[c.seq] = &inFlightCommit{seq: c.seq, estimates: true, sent: m.now}
	m.emit(CommitCmd{Seq: c.seq, Records: []Record{{
		Key: KeyInterference, Value: m.interference.encode(), Version: r.version,
	}}})
}

// estimatesNotSaved handles a failed commit of the estimates.
func (m *Machine) estimatesNotSaved(msg CommitFailedMsg) {
	m.estimateRecord.inFlight, m.estimateRecord.dirty = false, true
	if msg.Conflict {
		m.estimateRecord.version = msg.Versions[KeyInterference]
	}
}
