package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

const (
	kib      sched.Bytes = 1 << 10
	mib      sched.Bytes = 1 << 20
	bound                = 8 * mib
	largeJob             = mib
)

// requireGrants checks that a ledger grants exactly n jobs of a cost.
func requireGrants(t *testing.T, l *Ledger, kept sched.KeptJobs, cost sched.Bytes, n int) {
	t.Helper()
	for i := range n {
		granted, v := l.Grant(kept, cost, 0)
		require.Equal(t, Granted, v, "job %d", i)
		require.Equal(t, cost, granted)
	}
	_, v := l.Grant(kept, cost, 0)
	require.Equal(t, Full, v)
}

// Guards against jobs beyond the bound, which end the leader for want of memory, and
// against room that stays lost after its jobs have ended or never came.
func TestLedger(t *testing.T) {
	for name, f := range map[string]func(*testing.T, *Ledger){
		"LargeJobsLeaveRoom": func(t *testing.T, l *Ledger) {
			requireGrants(t, l, sched.KeptJobs{}, largeJob, 6)
			requireGrants(t, l, sched.KeptJobs{}, flow.LargeCost, 32)
		},
		"KeptJobsCount": func(t *testing.T, l *Ledger) {
			requireGrants(t, l, sched.KeptJobs{Cost: 4 * mib}, largeJob, 2)
		},
		"TooLarge": func(t *testing.T, l *Ledger) {
			_, v := l.Grant(sched.KeptJobs{}, 7*mib, 0)
			require.Equal(t, TooLarge, v)
		},
		"DeliveredJobsCountOnce": func(t *testing.T, l *Ledger) {
			requireGrants(t, l, sched.KeptJobs{}, largeJob, 6)
			requireGrants(t, l, sched.KeptJobs{Cost: 4 * mib, Added: 4 * mib}, largeJob, 0)
			requireGrants(t, l, sched.KeptJobs{Cost: mib, Added: 6 * mib}, largeJob, 5)
		},
		"NewTerm": func(t *testing.T, l *Ledger) {
			requireGrants(t, l, sched.KeptJobs{Added: 50 * mib}, largeJob, 6)
			requireGrants(t, l, sched.KeptJobs{}, largeJob, 0)
		},
		"UnusedGrantsExpire": func(t *testing.T, l *Ledger) {
			requireGrants(t, l, sched.KeptJobs{}, largeJob, 6)
			time.Sleep(countTime - time.Millisecond)
			requireGrants(t, l, sched.KeptJobs{}, largeJob, 0)
			time.Sleep(2 * countTime)
			requireGrants(t, l, sched.KeptJobs{}, largeJob, 6)
		},
		"EntriesShareTheRoom": func(t *testing.T, l *Ledger) {
			granted, v := l.Grant(sched.KeptJobs{}, kib, 4)
			require.Equal(t, Granted, v)
			require.Equal(t, bound/32, granted)
			granted, _ = l.Grant(sched.KeptJobs{}, largeJob, 4)
			require.Equal(t, largeJob, granted)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, NewLedger(bound)) })
		})
	}
}

// fakeLeader grants what is asked for and a surplus.
type fakeLeader struct {
	verdict Verdict
	surplus sched.Bytes
	asked   int
}

func (f *fakeLeader) AskRoom(_ context.Context, cost sched.Bytes) (sched.Bytes, Verdict) {
	f.asked++
	return cost + f.surplus, f.verdict
}
func (f *fakeLeader) Entries() int { return 4 }

// requireReserves checks the verdict on a job, and how often the leader was asked so far.
func requireReserves(t *testing.T, a *Account, cost sched.Bytes, want Verdict, asked int) {
	t.Helper()
	require.Equal(t, want, a.Reserve(t.Context(), cost))
	require.Equal(t, asked, a.asker.(*fakeLeader).asked, "questions to the leader")
}

// Guards against entries that accept more than was granted, and against a crowd whose
// jobs become as many questions to the leader.
func TestAccount(t *testing.T) {
	for name, f := range map[string]func(*testing.T, *fakeLeader, *Account){
		"Credit": func(t *testing.T, l *fakeLeader, a *Account) {
			l.verdict, l.surplus = Granted, 2*kib
			requireReserves(t, a, kib, Granted, 1)
			requireReserves(t, a, kib, Granted, 1)
			requireReserves(t, a, kib, Granted, 1)
			requireReserves(t, a, kib, Granted, 2)
		},
		"CreditExpires": func(t *testing.T, l *fakeLeader, a *Account) {
			l.verdict, l.surplus = Granted, 2*kib
			requireReserves(t, a, kib, Granted, 1)
			time.Sleep(grantTime + time.Millisecond)
			requireReserves(t, a, kib, Granted, 2)
		},
		"Full": func(t *testing.T, l *fakeLeader, a *Account) {
			l.verdict = Full
			requireReserves(t, a, largeJob, Full, 1)
			requireReserves(t, a, largeJob, Full, 1)
			requireReserves(t, a, kib, Full, 2)
			time.Sleep(refusalTime + time.Millisecond)
			l.verdict = Granted
			requireReserves(t, a, largeJob, Granted, 3)
		},
		"NoLeader": func(t *testing.T, l *fakeLeader, a *Account) {
			requireReserves(t, a, mib, Granted, 1)
			requireReserves(t, a, mib, Granted, 2)
			requireReserves(t, a, kib, Unknown, 3)
			l.verdict = Granted
			requireReserves(t, a, kib, Granted, 4)
			l.verdict = Unknown
			requireReserves(t, a, 2*mib, Granted, 5)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeLeader{}
				f(t, l, NewAccount(l, bound))
			})
		})
	}
}

// Guards against a bound that takes the memory of the rest of the process.
func TestBound(t *testing.T) {
	require.Equal(t, sched.Bytes(defaultBound), Bound(0))
	require.Equal(t, sched.Bytes(minBound), Bound(64*mib))
	require.Equal(t, 55*mib, Bound(284*mib))
	require.Equal(t, 1<<17, MaxRuns(0))
	require.Equal(t, 1024, MaxRuns(64*mib))
	require.Equal(t, 28_160, MaxRuns(284*mib))
}
