package bench

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/internal/call"
)

// errAnswer means that a request did not get the expected answer.
var errAnswer = errors.New("unexpected answer")

// get sends a GET request to a service and checks that the answer is complete.
func get(c *http.Client, url, service string) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Mangoslip-Service", service)
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || len(body) < answerSize {
		return fmt.Errorf("%w: status %d, outcome %s: %s", errAnswer, resp.StatusCode,
			resp.Header.Get(call.HeaderOutcome), body)
	}
	return nil
}

// answerSize is the minimum size of an answer in bytes.
const answerSize = 512

// quotePath asks a target for an answer of answerSize without a delay.
var quotePath = fmt.Sprintf("/quote?Token=t&Size=%d", answerSize)

// closedLoop sends n requests from a fixed number of senders, each of which
// waits for an answer before the next request. It returns the latencies and an
// error if any request failed.
func closedLoop(n, concurrency int, send func() error) ([]time.Duration, error) {
	var mu sync.Mutex
	var all []time.Duration
	var firstErr error
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			took := make([]time.Duration, 0, n/concurrency)
			var err error
			for range n / concurrency {
				began := time.Now()
				err = cmp.Or(err, send())
				took = append(took, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			all, firstErr = append(all, took...), cmp.Or(firstErr, err)
		})
	}
	wg.Wait()
	return all, firstErr
}

// openLoop sends n requests at a fixed rate that does not depend on the answers.
// Latencies are measured from the time at which a request was due.
func openLoop(n, perSecond int, send func() error) ([]time.Duration, error) {
	took, errs := make([]time.Duration, n), make([]error, n)
	var wg sync.WaitGroup
	began := time.Now()
	for i := range n {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			errs[i] = send()
			took[i] = time.Since(due)
		})
	}
	wg.Wait()
	return took, cmp.Or(errs...)
}

// quantileOf returns the quantile q of ds and sorts ds.
func quantileOf(ds []time.Duration, q float64) time.Duration {
	slices.Sort(ds)
	return ds[int(q*float64(len(ds)-1))]
}
