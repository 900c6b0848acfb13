package layout_test

import (
	"bytes"
	"math"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// decoders decode the kinds of records that entries read from the store.
var decoders = map[string]func(b []byte) error{
	"job":    func(b []byte) error { _, err := layout.DecodeJob(b); return err },
	"entry":  func(b []byte) error { _, err := layout.DecodeEntry(layout.EntryPrefix+"e", b); return err },
	"leader": func(b []byte) error { return layout.Decode(b, &layout.Leader{}) },
	"term":   func(b []byte) error { return layout.Decode(b, &layout.Term{}) },
	"roster": func(b []byte) error { _, err := flow.DecodeRoster(b); return err },
	"state":  func(b []byte) error { _, err := flow.ProgressState(b); return err },
}

// Guards against a record that ends the process, or takes more memory than a small
// machine has.
func TestOddRecordIsAnError(t *testing.T) {
	const size = 1 << 20
	nested := func(open ...byte) []byte { return bytes.Repeat(open, size/len(open)) }
	for name, b := range map[string][]byte{
		"empty":                   nil,
		"lists":                   nested(0x81),
		"lists of unknown length": nested(0x9f),
		"maps":                    nested(0xa1, 0x01),
		"maps under field 3":      nested(0xa1, 0x03),
		"tags":                    nested(0xc1),
		"10 million levels":       bytes.Repeat([]byte{0x81}, 10_000_000),
		"many elements":           append([]byte{0x9a, 0, 0x0f, 0xff, 0xf0}, bytes.Repeat([]byte{0xa0}, size)...),
		"length beyond the end":   {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"text beyond the end":     {0xa1, 0x01, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"number of another type":  {0xa1, 0x03, 0xf9, 0x7c, 0x00, 0xff},
	} {
		for kind, decode := range decoders {
			t.Run(name+" as "+kind, func(t *testing.T) {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := decode(b)
				runtime.ReadMemStats(&after)
				require.Error(t, err)
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64<<20))
			})
		}
	}
}

// Guards against an entry that others call in vain or that makes all others count as
// weak, because its record holds an impossible address or processor time.
func TestImpossibleEntryIsAnError(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:7720")
	entry := layout.Entry{Name: "e", Addr: addr, Processors: 0.5}
	got, err := layout.DecodeEntry(layout.EntryPrefix+"e", layout.Encode(entry))
	require.NoError(t, err)
	require.Equal(t, entry, got)
	_, err = layout.DecodeEntry(layout.EntryPrefix+"e", layout.Encode(layout.Entry{Name: "e", Addr: addr}))
	require.NoError(t, err, "an entry that does not know its processor time")
	for name, e := range map[string]layout.Entry{
		"no address":         {Name: "e", Processors: 1},
		"port 0":             {Name: "e", Addr: netip.AddrPortFrom(addr.Addr(), 0), Processors: 1},
		"unspecified":        {Name: "e", Addr: netip.MustParseAddrPort("0.0.0.0:1"), Processors: 1},
		"no number":          {Name: "e", Addr: addr, Processors: math.NaN()},
		"infinite":           {Name: "e", Addr: addr, Processors: math.Inf(1)},
		"too large":          {Name: "e", Addr: addr, Processors: 1e300},
		"negative":           {Name: "e", Addr: addr, Processors: -1},
		"no name":            {Addr: addr, Processors: 1},
		"of another's name":  {Name: "f", Addr: addr, Processors: 1},
		"name with a prefix": {Name: sched.EntryName(layout.EntryPrefix + "e"), Addr: addr, Processors: 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := layout.DecodeEntry(layout.EntryPrefix+"e", layout.Encode(e))
			require.Error(t, err)
		})
	}
}
