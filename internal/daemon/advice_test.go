package daemon

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// slowAdviser takes one second for each call and counts the calls.
type slowAdviser struct{ asked atomic.Int32 }

func (a *slowAdviser) Advise(ctx context.Context, _ sched.AdviceRequest) (sched.Advice, error) {
	a.asked.Add(1)
	time.Sleep(time.Second)
	if ctx.Err() != nil {
		return sched.Advice{}, ctx.Err()
	}
	return sched.Advice{Valid: time.Second}, nil
}

// Guards against calls that wait forever because no other entry is known, and
// against a slot that is not released after a call.
func TestAdviserSlotsWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntry(nil)
		a := &slowAdviser{}
		e.Adviser = a
		l := newAdviserPool(e)
		for range 2 * adviceConcurrency {
			_, err := l.Advise(t.Context(), sched.AdviceRequest{})
			require.NoError(t, err)
		}
		require.EqualValues(t, 2*adviceConcurrency, a.asked.Load())
		require.Empty(t, l.busy)
	})
}

// Guards against a call through an entry that does not answer: it must end within
// its caller's timeout, and its slot must be released.
func TestAdviserSlotOfUnresponsivePeer(t *testing.T) {
	e := newEntry(nil)
	e.Adviser = &slowAdviser{}
	peer := layout.Entry{Name: "peer", Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	e.peers.update([]layout.Entry{peer}, time.Now())
	l := newAdviserPool(e)
	l.busy[netip.AddrPort{}] = true // This entry is busy, so that only the peer is left.
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := l.Advise(ctx, sched.AdviceRequest{})
	require.Error(t, err)
	require.Len(t, l.busy, 1)
}

// Guards against calls that wait for each other at the adviser, where their tickets grow
// old and their timeouts pass: they have to wait for a free entry before that.
func TestCallsOfOneEntryWaitBeforeTheyAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntry(nil)
		a := &slowAdviser{}
		e.Adviser = a
		l := newAdviserPool(e)
		answers := make(chan sched.Advice, adviceConcurrency)
		for range adviceConcurrency {
			go func() {
				advice, err := l.Advise(t.Context(), sched.AdviceRequest{Timeout: 1500 * time.Millisecond})
				if err == nil {
					answers <- advice
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
		require.EqualValues(t, 1, a.asked.Load(), "one call at a time")
		time.Sleep(time.Minute)
		require.Len(t, answers, adviceConcurrency)
		for i := range adviceConcurrency {
			require.Equal(t, time.Duration(i)*time.Second, (<-answers).Waited)
		}
	})
}
