package dedup

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// op is a state change of a key that is written to the journal. The values are
// part of the journal format.
type op uint8

const (
	// opIntent: a request may be about to run.
	opIntent op = 1
	// opRan: the request ran.
	opRan op = 2
	// opFree: the request did not run, and the key is free again.
	opFree op = 3
)

// recordVersion is the version of the encoding of a record.
const recordVersion = 1

// record is the encoded form of a state change. Times are Unix nanoseconds.
type record struct {
	Version     uint8           `cbor:"1,keyasint"`
	Op          op              `cbor:"2,keyasint"`
	Key         string          `cbor:"3,keyasint"`
	ID          string          `cbor:"4,keyasint"`
	Fingerprint uint64          `cbor:"5,keyasint,omitempty"`
	From        sched.EntryName `cbor:"6,keyasint,omitempty"`
	Deadline    int64           `cbor:"7,keyasint,omitempty"`
	At          int64           `cbor:"8,keyasint,omitempty"`
	Answer      *Answer         `cbor:"9,keyasint,omitempty"`
}

// encode returns the journal record of a state change.
func encode(s *keyState, o op) sched.Record {
	r := record{Version: recordVersion, Op: o, Key: s.key, ID: s.id}
	if o != opFree {
		r.Fingerprint = s.fingerprint
		r.From = s.from
		r.Deadline = s.deadline.UnixNano()
		r.At = s.at.UnixNano()
	}
	if o == opRan {
		r.Answer = s.answer
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		// A record holds only types that always encode.
		panic(fmt.Sprintf("encode dedup record: %v", err))
	}
	return sched.Record{Kind: sched.RecordDedup, Data: data}
}

// Restore implements [sched.Durable]. It is called before the [AcquiredMsg].
func (m *Machine) Restore(rec sched.Record) error {
	var r record
	if err := cbor.Unmarshal(rec.Data, &r); err != nil {
		return sched.Wrap(err, "decode dedup record", "")
	}
	if r.Version != recordVersion {
		return sched.Wrap(eris.Errorf("unknown record version %d", r.Version), "decode dedup record", "")
	}
	s := m.states[r.Key]
	switch r.Op {
	case opFree:
		if s != nil && s.id == r.ID {
			m.remove(s)
		}
		return nil
	case opIntent, opRan:
		if s != nil {
			m.remove(s)
		}
		m.restore(r)
		return nil
	default:
		return sched.Wrap(eris.Errorf("unknown state change %d", r.Op), "decode dedup record", "")
	}
}

// restore adds a key from the record of its intent or outcome.
func (m *Machine) restore(r record) {
	s := &keyState{
		key:         r.Key,
		id:          r.ID,
		fingerprint: r.Fingerprint,
		from:        r.From,
		deadline:    time.Unix(0, r.Deadline),
		at:          time.Unix(0, r.At),
		phase:       running,
	}
	m.add(s)
	if r.Op == opIntent {
		// The entry that runs the request may still report its outcome.
		m.addTimer(timer{at: s.deadline.Add(m.margin), ref: requestRef{s.key, s.id}, kind: dueOutcome})
		return
	}
	s.phase = ran
	s.durable = true
	m.keepAnswer(s.at, s, r.Answer)
	m.addTimer(timer{at: s.at.Add(m.keyTTL), ref: requestRef{s.key, s.id}, kind: dueKey})
}

// Snapshot implements [sched.Durable]. An outcome that is not durable yet is left
// out, so after a restore it is unknown unless a later batch of the journal holds
// it.
func (m *Machine) Snapshot() []sched.Record {
	out := make([]sched.Record, 0, len(m.states))
	for _, key := range m.keys() {
		s := m.states[key]
		if s.phase == ran && s.durable {
			out = append(out, encode(s, opRan))
			continue
		}
		out = append(out, encode(s, opIntent))
	}
	return out
}
