package jobs_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/jobs"
	"github.com/mangoslip/mangoslip/internal/layout"
	"github.com/mangoslip/mangoslip/internal/memory"
	"github.com/mangoslip/mangoslip/internal/quota"
	"github.com/mangoslip/mangoslip/internal/relay"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// keeper tells what the leader keeps. It is unknown on an entry that does not lead.
type keeper struct {
	kept  sched.Bytes
	leads bool
}

func (k *keeper) Kept() (sched.KeptJobs, bool) { return sched.KeptJobs{Cost: k.kept}, k.leads }

// follower knows a leader on another entry.
type follower struct{ noLeader }

func (follower) Current() layout.Leader { return layout.Leader{Name: "a", Term: 1} }

// Guards against jobs beyond what the leader has room for, and against a caller who is
// told that a job does not run although its first submission was accepted.
func TestNoRoom(t *testing.T) {
	cost := flow.Cost(job("1"))
	for name, f := range map[string]func(*testing.T, *keeper, *memory.Client, *jobs.Service){
		"Full": func(t *testing.T, k *keeper, _ *memory.Client, s *jobs.Service) {
			require.NoError(t, s.Submit(requestContext(t), job("1")))
			k.kept = 2 * cost
			requireRefused(t, s.Submit(requestContext(t), job("2")), sched.ReasonQuotaExceeded, sched.NotRun)
			require.NoError(t, s.Submit(requestContext(t), job("1")), "the job is in the store")
		},
		"StoreCut": func(t *testing.T, k *keeper, c *memory.Client, s *jobs.Service) {
			k.kept = 2 * cost
			c.SetCut(true)
			requireRefused(t, s.Submit(requestContext(t), job("1")), sched.ReasonStoreUnavailable, sched.Unknown)
		},
		"TooLarge": func(t *testing.T, _ *keeper, _ *memory.Client, s *jobs.Service) {
			w := job("1")
			w.Steps[0].Count = 10_000
			requireRefused(t, s.Submit(requestContext(t), w), sched.ReasonBodyTooLarge, sched.NotRun)
		},
		"ManyRefused": func(t *testing.T, k *keeper, _ *memory.Client, s *jobs.Service) {
			k.kept = 2 * cost
			outcomes := map[sched.Outcome]int{}
			var mu sync.Mutex
			var callers sync.WaitGroup
			for range 60 {
				callers.Go(func() {
					refusal := (*sched.Refusal)(nil)
					_ = errors.As(s.Submit(requestContext(t), job("1")), &refusal)
					mu.Lock()
					defer mu.Unlock()
					outcomes[refusal.Outcome]++
				})
			}
			callers.Wait()
			require.Equal(t, map[sched.Outcome]int{sched.NotRun: 50, sched.Unknown: 10}, outcomes)
		},
		"OtherEntry": func(t *testing.T, k *keeper, c *memory.Client, s *jobs.Service) {
			other := jobs.New(c, follower{}, fakePeers{s}, jobs.WithQuota(&keeper{}, 2*cost))
			require.NoError(t, other.Submit(requestContext(t), job("1")))
			w := job("2")
			w.Steps[0].Count = 10_000
			requireRefused(t, other.Submit(requestContext(t), w), sched.ReasonBodyTooLarge, sched.NotRun)
			k.kept = 2 * cost
			requireRefused(t, other.Submit(requestContext(t), job("3")), sched.ReasonQuotaExceeded, sched.NotRun)
		},
		"NoLeader": func(t *testing.T, k *keeper, _ *memory.Client, s *jobs.Service) {
			k.leads = false
			require.NoError(t, s.Submit(requestContext(t), job("1")))
			require.NoError(t, s.Submit(requestContext(t), job("2")))
			requireRefused(t, s.Submit(requestContext(t), job("3")), sched.ReasonNoOwner, sched.NotRun)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, k := memory.New().Client(), &keeper{leads: true}
				f(t, k, c, jobs.New(c, noLeader{}, fakePeers{}, jobs.WithQuota(k, 2*cost)))
			})
		})
	}
}

var _ quota.Asker = (*jobs.Service)(nil)

// Guards against a leader of an older build, which grants nothing, that makes the other
// entries refuse all jobs.
func TestLeaderWithoutQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := memory.New().Client()
		s := jobs.New(c, follower{}, oldPeers{}, jobs.WithQuota(&keeper{}, flow.Cost(job("1"))))
		for _, id := range []sched.JobID{"1", "2", "3"} {
			require.NoError(t, s.Submit(requestContext(t), job(id)))
		}
	})
}

// oldPeers is an entry of an older build, which answers questions that it does not know
// without a reason.
type oldPeers struct{}

func (oldPeers) List() []layout.Entry { return []layout.Entry{{Name: "a"}} }
func (oldPeers) Ask(context.Context, layout.Entry, relay.Question) (relay.Answer, error) {
	return relay.Answer{}, nil
}
