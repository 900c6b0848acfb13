package jobs_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangoslip/mangoslip/internal/jobs"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/internal/relay"
)

// Guards against a question of another entry that makes an entry panic.
func FuzzQuestion(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var q relay.Question
		if cbor.Unmarshal(data, &q) != nil {
			return
		}
		jobs.New(memory.New().Client(), noLeader{}, fakePeers{}).Answer(t.Context(), q)
	})
}
