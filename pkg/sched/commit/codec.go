package commit

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Format is the version of the encoding of every value that this package
// writes to the store: batches, snapshot parts and manifests.
const Format = 1

// Errors that describe why a stored value cannot be used.
var (
	// ErrChecksum means that a value's checksum does not match its content.
	ErrChecksum = errors.New("checksum mismatch")
	// ErrFormat means that a value has an unknown format version.
	ErrFormat = errors.New("unknown format version")
	// ErrMisplaced means that a value was found under the key of another
	// shard or ring slot.
	ErrMisplaced = errors.New("value belongs elsewhere")
)

// envelope is the stored form of every value: the encoded body, its xxHash64
// checksum and the format version.
type envelope struct {
	_      struct{} `cbor:",toarray"`
	Format uint64
	Sum    uint64
	Body   []byte
}

// Batch is one commit of a shard's journal: the records of one group of
// appends. Writer is the id of the write, by which the machine recognises its
// own batch when it reads the value back.
type Batch struct {
	_       struct{} `cbor:",toarray"`
	Shard   string
	Epoch   sched.Epoch
	Seq     uint64
	Writer  string
	Records []EncodedRecord
}

// EncodedRecord is the encoded form of a [sched.Record].
type EncodedRecord struct {
	_    struct{} `cbor:",toarray"`
	Kind sched.RecordKind
	Data []byte
}

// part is one value of a snapshot. A snapshot has as many parts as its records
// need.
type part struct {
	_       struct{} `cbor:",toarray"`
	Shard   string
	Epoch   sched.Epoch
	Writer  string
	Records []EncodedRecord
}

// manifest lists the parts of a complete snapshot. It is written after the
// last part, so an unfinished snapshot is never used.
type manifest struct {
	_      struct{} `cbor:",toarray"`
	Shard  string
	Epoch  sched.Epoch
	Writer string
	// Seq is the sequence number of the last batch that the snapshot covers;
	// 0 means that there is no snapshot.
	Seq uint64
	// Set is the set of part keys, 0 or 1, that the snapshot uses.
	Set int
	// Sums are the checksums of the parts in order.
	Sums []uint64
}

// recordOverhead is an upper bound, in bytes, of what the encoding adds to the
// data of a record.
const recordOverhead = 16

// recordSize returns an upper bound of the encoded size of a record, in bytes.
func recordSize(r sched.Record) int { return len(r.Data) + recordOverhead }

// encode returns the stored form of a body and the checksum of the body.
func encode(body any) (value []byte, sum uint64) {
	b, err := cbor.Marshal(body)
	if err != nil {
		// Bodies hold only numbers, strings and bytes, which always encode.
		panic(err)
	}
	sum = xxhash.Sum64(b)
	value, err = cbor.Marshal(envelope{Format: Format, Sum: sum, Body: b})
	if err != nil {
		panic(err)
	}
	return value, sum
}

// decoder raises the limit on array elements: a value of the largest size can
// hold more small records than the library's default of 131,072 elements.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// decode checks the format version and the checksum of a stored value, decodes
// its body into body and returns the checksum.
func decode(value []byte, body any) (sum uint64, err error) {
	var e envelope
	if err := decoder.Unmarshal(value, &e); err != nil {
		return 0, eris.Wrap(err, "envelope")
	}
	if e.Format != Format {
		return 0, fmt.Errorf("%w: %d", ErrFormat, e.Format)
	}
	if xxhash.Sum64(e.Body) != e.Sum {
		return 0, ErrChecksum
	}
	if err := decoder.Unmarshal(e.Body, body); err != nil {
		return 0, eris.Wrap(err, "body")
	}
	return e.Sum, nil
}

func encodeRecords(rs []sched.Record) []EncodedRecord {
	es := make([]EncodedRecord, len(rs))
	for i, r := range rs {
		es[i] = EncodedRecord{Kind: r.Kind, Data: r.Data}
	}
	return es
}

func appendRecords(rs []sched.Record, es []EncodedRecord) []sched.Record {
	for _, e := range es {
		rs = append(rs, sched.Record{Kind: e.Kind, Data: e.Data})
	}
	return rs
}
