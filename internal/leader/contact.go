package leader

import (
	"sync"
	"time"
)

// contact holds when a leader last reached the store. It has its own lock, because
// the renewal of the leader's lease must not wait for an update of the state machine.
// It is safe for concurrent use.
type contact struct {
	mu sync.Mutex
	// confirmedAt is the start of the most recent call to the store that showed
	// the term to be the newest.
	confirmedAt time.Time
	// workReadAt is the start of the most recent call to the store that completed
	// the jobs and cancellations that the state machine knows, registerReadAt that
	// of the most recent read of the register of workers.
	workReadAt, registerReadAt time.Time
	// evacuationsReadAt is the same for the evacuations, zero if they are not read.
	evacuationsReadAt time.Time
	// pageReadAt is when the last page of the stored state arrived.
	pageReadAt time.Time
	// renewedSince is since when each renewal of the leader's lease has succeeded,
	// zero if the last one failed. renewedAt is when the last one was sent.
	renewedSince, renewedAt time.Time
}

// confirmed records a confirmation of the term by a call that began at asked, and
// returns the start of the most recent one.
func (c *contact) confirmed(asked time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked.After(c.confirmedAt) {
		c.confirmedAt = asked
	}
	return c.confirmedAt
}

// workRead records a complete read of the jobs and cancellations.
func (c *contact) workRead(asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workReadAt = asked
}

// registerRead records a read of the register of workers.
func (c *contact) registerRead(asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registerReadAt = asked
}

// evacuationsRead records a read of the evacuations.
func (c *contact) evacuationsRead(asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuationsReadAt = asked
}

// lastWorkRead returns when the last complete read of the work began.
func (c *contact) lastWorkRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workReadAt
}

// oldestRead returns the earliest beginning of the last complete reads of the work, of
// the register and, if they are read, of the evacuations.
func (c *contact) oldestRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := earlier(c.workReadAt, c.registerReadAt)
	if !c.evacuationsReadAt.IsZero() {
		oldest = earlier(oldest, c.evacuationsReadAt)
	}
	return oldest
}

// pageRead records that a page of the stored state has arrived.
func (c *contact) pageRead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pageReadAt = now
}

// lastPage returns when the last page of the stored state arrived, or began if none has.
func (c *contact) lastPage(began time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pageReadAt.After(began) {
		return c.pageReadAt
	}
	return began
}

// renewed records whether the leader's lease was renewed by a call that began at
// asked. After a suspension of the process, longer than the time to live of the
// lease, the lease counts as renewed since then.
func (c *contact) renewed(asked time.Time, succeeded bool, ttl time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !succeeded:
		c.renewedSince = time.Time{}
	case c.renewedSince.IsZero() || asked.Sub(c.renewedAt) > ttl:
		c.renewedSince = asked
	}
	c.renewedAt = asked
}

// renewals returns since when each renewal of the leader's lease has succeeded, zero
// if the last one failed.
func (c *contact) renewals() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.renewedSince
}
