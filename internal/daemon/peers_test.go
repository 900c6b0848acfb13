package daemon

import (
	"bytes"
	"log/slog"
	"math"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against a record in the list of entries that hides the others, that is called
// in vain, or that is logged at each read.
func TestOddEntryIsNoPeer(t *testing.T) {
	store := memory.New()
	var log strings.Builder
	e := New(Settings{Name: "e"}, Platform{Store: store.Client()}, WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
	put := func(name string, value []byte) { store.Put(layout.EntryPrefix+name, value) }
	put("a", layout.Encode(entryOf("a", 1, 0.5)))
	put("nested", bytes.Repeat([]byte{0x81}, 1<<20))
	put("infinite", layout.Encode(entryOf("infinite", 2, math.Inf(1))))
	put("none", layout.Encode(entryOf("none", 3, math.NaN())))
	put("port", layout.Encode(entryOf("port", 0, 1)))
	put("address", layout.Encode(layout.Entry{Name: "address"}))
	put("other", layout.Encode(entryOf("a", 9, 1)))
	put("z", layout.Encode(entryOf("z", 4, 0.5)))
	for range 3 {
		e.readEntries(t.Context())
	}
	var names []sched.EntryName
	var addrs []netip.AddrPort
	for _, p := range e.peers.list("") {
		names, addrs = append(names, p.Name), append(addrs, p.Addr)
	}
	require.ElementsMatch(t, []sched.EntryName{"a", "z"}, names)
	require.NotContains(t, addrs, entryOf("a", 9, 1).Addr)
	require.Equal(t, 6, strings.Count(log.String(), "entry's key is damaged"))
}
