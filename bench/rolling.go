package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/internal/site"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Load during the rolling restart: requests a second of each service, and the
// time that a target takes for one.
const (
	rollingQuotes = 200
	rollingOrders = 50
	rollingSleep  = 10 * time.Millisecond
	// rollingPause is the pause after each restart.
	rollingPause = 300 * time.Millisecond
)

// rollingRestart sends requests to a site during a rolling restart and counts
// the answers by their outcome.
type rollingRestart struct {
	s                               *site.Site
	c                               *http.Client
	n                               atomic.Int64
	answered, cut, unknown, noEntry atomic.Int64
	mu                              sync.Mutex
	// refused counts refusals by reason.
	refused map[sched.Reason]int
}

// send sends one request through a random entry that is ready.
func (r *rollingRestart) send(method, service, path string) {
	live := r.s.Live()
	if len(live) == 0 {
		r.noEntry.Add(1)
		return
	}
	n := r.n.Add(1)
	url := fmt.Sprintf("http://%s/s/%s%s?Token=t%d&Sleep=%s", live[rand.IntN(len(live))].FrontAddr, service, path, n, rollingSleep)
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		r.cut.Add(1)
		return
	}
	if method == http.MethodPost {
		req.Header.Set(call.HeaderKey, fmt.Sprintf("key-%d", n))
	}
	resp, err := r.c.Do(req)
	if err != nil {
		r.cut.Add(1)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.cut.Add(1)
		return
	}
	r.count(resp, string(body), fmt.Sprintf("t%d\n", n))
}

// count counts an answer by its outcome. The body of a complete answer starts
// with want.
func (r *rollingRestart) count(resp *http.Response, body, want string) {
	switch sched.ParseOutcome(resp.Header.Get(call.HeaderOutcome)) {
	case sched.Ran:
		if resp.StatusCode != http.StatusOK || !strings.HasPrefix(body, want) {
			r.cut.Add(1)
			return
		}
		r.answered.Add(1)
	case sched.NotRun:
		var p struct{ Reason sched.Reason }
		// A body that is not a problem document is counted with an empty reason.
		_ = json.Unmarshal([]byte(body), &p)
		r.mu.Lock()
		r.refused[p.Reason]++
		r.mu.Unlock()
	default:
		r.unknown.Add(1)
	}
}

// load calls send at a rate until ctx is cancelled.
func (r *rollingRestart) load(ctx context.Context, wg *sync.WaitGroup, perSecond int, send func()) {
	wg.Go(func() {
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				wg.Go(send)
			}
		}
	})
}
