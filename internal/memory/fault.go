package memory

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// SetCut sets whether the client is cut off from the store. While it is, its
// calls are not executed and fail with [sched.ErrUnavailable].
func (c *Client) SetCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	c.wake()
}

// SetDelay sets the additional time of each call.
func (c *Client) SetDelay(d time.Duration) { c.delay.Store(int64(d)) }

// SetReadsSilent sets the prefix whose reads get no answer. They fail with
// [sched.ErrLost] after one second. With an empty prefix all reads are answered.
func (c *Client) SetReadsSilent(prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentPrefix = prefix
}

// SetAnswerDelay sets how long after they were formed the answers of ranges and
// watches under a prefix arrive.
func (c *Client) SetAnswerDelay(prefix string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delayedPrefix, c.answerDelay = prefix, d
}

// answerDelayOf returns the delay of the answers of ranges and watches of a prefix.
func (c *Client) answerDelayOf(prefix string) time.Duration {
	if c.answerDelay > 0 && strings.HasPrefix(prefix, c.delayedPrefix) {
		return c.answerDelay
	}
	return 0
}

// SetWatchesSilent sets whether the client's watches get no answer, as if their
// connections had gone silent. That holds for the watches in progress too, even
// after it is unset. They fail with [sched.ErrLost] one second after their wait.
func (c *Client) SetWatchesSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
	if silent {
		c.silences++
		c.wake()
	}
}

// SetDown sets whether the store is unavailable for all clients. Leases continue
// to expire meanwhile.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetFailAll sets whether every call fails with [sched.ErrLost], which leaves
// open whether the call was executed. None is.
func (s *Store) SetFailAll(failAll bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failAll = failAll
	s.wake()
}

// LoseNext makes the next n commits take effect but fail with [sched.ErrLost].
func (s *Store) LoseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// Remove removes a key, even if its lease has not expired.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Compact drops the history of changes. Watches after an earlier version fail
// with [sched.ErrCompacted].
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
	s.wake()
}

// awaitTimeout waits for the timeout of a call whose answer does not come.
func awaitTimeout(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return errors.Join(sched.ErrLost, ctx.Err())
}
