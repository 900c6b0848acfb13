package tasks

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// encMode encodes equal values to equal bytes. The hash that detects a
// resubmission with a different spec depends on it.
var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// encode returns the CBOR form of v. It panics on an error, because only an
// unsupported type can cause one.
func encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b
}

// decode parses the CBOR form of a T. what names the value in the error.
func decode[T any](b []byte, what string) (T, error) {
	var v T
	err := cbor.Unmarshal(b, &v)
	return v, sched.Wrap(err, "decode "+what, "")
}

// EncodeJob returns the CBOR form of a job.
func EncodeJob(j sched.JobSpec) []byte { return encode(j) }

// DecodeJob parses the result of [EncodeJob].
func DecodeJob(b []byte) (sched.JobSpec, error) { return decode[sched.JobSpec](b, "job") }

// EncodeStatus returns the CBOR form of a job's status.
func EncodeStatus(s sched.JobStatus) []byte { return encode(s) }

// DecodeStatus parses the result of [EncodeStatus].
func DecodeStatus(b []byte) (sched.JobStatus, error) {
	return decode[sched.JobStatus](b, "job status")
}

// EncodeEvent returns the CBOR form of an event.
func EncodeEvent(e Event) []byte { return encode(e) }

// DecodeEvent parses the result of [EncodeEvent].
func DecodeEvent(b []byte) (Event, error) { return decode[Event](b, "event") }

// EncodeHostingShards returns the CBOR form of the shards that may host the tasks
// of a submission.
func EncodeHostingShards(t []HostingShard) []byte { return encode(t) }

// DecodeHostingShards parses the result of [EncodeHostingShards].
func DecodeHostingShards(b []byte) ([]HostingShard, error) {
	return decode[[]HostingShard](b, "hosting shards")
}
