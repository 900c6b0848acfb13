// Package memory is a metadata store in memory, with versions, leases, watches
// and fault injection. It replaces the platform's store in tests and implements
// [sched.MetadataStore]. It uses the clock of package time, so it can run inside
// testing/synctest.
//
// # Usage
//
//	s := memory.New()
//	c := s.Client()
//	s.SetDown(true) // calls of c fail with sched.ErrUnavailable: not executed
//	s.LoseNext(1)   // the next commit is executed, but returns sched.ErrLost
package memory

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Store is the store of a deployment, shared by the clients that [Store.Client]
// returns. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	version sched.Version
	items   map[string]storedItem
	leases  map[sched.LeaseID]*lease
	// history holds the changes after the version oldest.
	history []sched.Change
	oldest  sched.Version
	// changed is closed and replaced whenever watches must look again.
	changed chan struct{}
	// down, failAll and loseNext are faults; see SetDown, SetFailAll and
	// LoseNext.
	down     bool
	failAll  bool
	loseNext int
	calls    int
}

// storedItem is an item and the lease that it is attached to, 0 if none.
type storedItem struct {
	sched.Item
	lease sched.LeaseID
}

// lease is a lease with its time to live and the time at which it expires.
type lease struct {
	ttl   time.Duration
	until time.Time
}

const (
	// callDelay is how long a call takes.
	callDelay = 2 * time.Millisecond
	// pageDelay is how long one page of a delayed range takes.
	pageDelay = 500 * time.Millisecond
	// answerTimeout is how long a client waits for an answer that does not come.
	// The wait of a watch is added to it.
	answerTimeout = time.Second
)

// New returns an empty store.
func New() *Store {
	return &Store{items: map[string]storedItem{}, leases: map[sched.LeaseID]*lease{}, changed: make(chan struct{})}
}

// Client is the connection of one process to the store.
type Client struct {
	*Store
	cut bool
	// silent means that watches get no answer; see SetWatchesSilent. silences
	// counts how often it was set.
	silent   bool
	silences int
	// silentPrefix is the prefix whose reads get no answer, if it is not empty.
	silentPrefix string
	// delay is the additional time of each call, in nanoseconds.
	delay atomic.Int64
	// answerDelay is how long after they were formed the answers of ranges and
	// watches under delayedPrefix arrive.
	answerDelay   time.Duration
	delayedPrefix string
}

// Client returns a new client. Each process of a simulated deployment needs its
// own, because [Client.SetCut] affects a single client.
func (s *Store) Client() *Client { return &Client{Store: s} }

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a value unconditionally, as operators do.
func (s *Store) Put(key string, value []byte) sched.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(key, value, 0)
	return s.version
}

func (s *Store) put(key string, value []byte, l sched.LeaseID) {
	i := sched.Item{Key: key, Value: value, Version: s.version}
	s.items[key] = storedItem{i, l}
	s.history = append(s.history, sched.Change{Item: i})
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.version++
	delete(s.items, key)
	s.history = append(s.history, sched.Change{Item: sched.Item{Key: key, Version: s.version}, Removed: true})
	s.wake()
}

// wake makes all watches look for changes and faults.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time to live is over.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys attached to it.
func (s *Store) endLease(id sched.LeaseID) {
	delete(s.leases, id)
	for k, e := range s.items {
		if e.lease == id {
			s.remove(k)
		}
	}
}

// begin starts a call. It waits for the duration of a call and returns an error
// if a fault makes the call fail. If it returns nil, it has locked c.mu, and the
// caller must unlock it.
func (c *Client) begin(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Join(sched.ErrUnavailable, ctx.Err())
	case <-time.After(callDelay + time.Duration(c.delay.Load())):
	}
	c.mu.Lock()
	c.calls++
	c.expire()
	if c.failAll {
		c.mu.Unlock()
		return sched.ErrLost
	}
	if c.down || c.cut {
		c.mu.Unlock()
		return sched.ErrUnavailable
	}
	return nil
}

// Get implements [sched.MetadataStore].
func (c *Client) Get(ctx context.Context, key string) (sched.Item, error) {
	if err := c.begin(ctx); err != nil {
		return sched.Item{}, err
	}
	defer c.mu.Unlock()
	e, ok := c.items[key]
	if !ok {
		return sched.Item{}, sched.ErrNotFound
	}
	return e.Item, nil
}

// Range implements [sched.MetadataStore].
func (c *Client) Range(ctx context.Context, prefix string, _ bool) ([]sched.Item, sched.Version, error) {
	if err := c.begin(ctx); err != nil {
		return nil, 0, err
	}
	if c.silentPrefix != "" && strings.HasPrefix(prefix, c.silentPrefix) {
		c.mu.Unlock()
		return nil, 0, awaitTimeout(ctx, answerTimeout)
	}
	var out []sched.Item
	for k, e := range c.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e.Item)
		}
	}
	at, delay := c.version, c.answerDelayOf(prefix)
	c.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	// A delayed answer stands for a list with many pages.
	for ; delay > 0; delay -= pageDelay {
		time.Sleep(min(delay, pageDelay))
		sched.FilterPage(ctx, nil)
	}
	return sched.FilterPage(ctx, out), at, nil
}

// Watch implements [sched.MetadataStore].
func (c *Client) Watch(
	ctx context.Context, prefix string, after sched.Version, wait time.Duration,
) ([]sched.Change, sched.Version, error) {
	deadline := time.Now().Add(wait)
	c.mu.Lock()
	silences := c.silences
	c.mu.Unlock()
	for {
		if err := c.begin(ctx); err != nil {
			return nil, 0, err
		}
		if c.silent || c.silences != silences {
			c.mu.Unlock()
			return nil, 0, awaitTimeout(ctx, time.Until(deadline)+answerTimeout)
		}
		if after < c.oldest {
			c.mu.Unlock()
			return nil, 0, sched.ErrCompacted
		}
		var out []sched.Change
		for _, x := range c.history {
			if x.Version > after && strings.HasPrefix(x.Key, prefix) {
				out = append(out, x)
			}
		}
		at, changed, next := c.version, c.changed, c.nextExpiry()
		delay := c.answerDelayOf(prefix)
		c.mu.Unlock()
		left := time.Until(deadline)
		if len(out) > 0 || left <= 0 {
			time.Sleep(delay)
			return out, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, errors.Join(sched.ErrLost, ctx.Err())
		case <-changed:
		case <-time.After(min(left, next)):
		}
	}
}

// nextExpiry returns the time until the next lease may expire, at most one
// second.
func (s *Store) nextExpiry() time.Duration {
	next := time.Second
	for _, l := range s.leases {
		next = min(next, max(time.Until(l.until), 0)+time.Millisecond)
	}
	return next
}

// Commit implements [sched.MetadataStore].
func (c *Client) Commit(ctx context.Context, txn sched.Txn) (sched.Version, error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	defer c.mu.Unlock()
	conflict := &sched.ConflictError{}
	conflicting := false
	for _, x := range txn.Conditions {
		e, ok := c.items[x.Key]
		if ok {
			conflict.Items = append(conflict.Items, e.Item)
		}
		conflicting = conflicting || e.Version != x.Version
	}
	if conflicting {
		return 0, conflict
	}
	for _, w := range txn.Writes {
		if w.Lease != 0 && c.leases[w.Lease] == nil {
			return 0, sched.ErrNoLease
		}
	}
	c.version++
	for _, w := range txn.Writes {
		c.put(w.Key, w.Value, w.Lease)
	}
	version := c.version
	for _, k := range txn.Removes {
		c.remove(k)
	}
	if c.loseNext > 0 {
		c.loseNext--
		return 0, sched.ErrLost
	}
	return version, nil
}

// Grant implements [sched.MetadataStore].
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (sched.LeaseID, time.Duration, error) {
	if err := c.begin(ctx); err != nil {
		return 0, 0, err
	}
	defer c.mu.Unlock()
	c.version++
	id := sched.LeaseID(c.version)
	c.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	return id, ttl, nil
}

// Renew implements [sched.MetadataStore].
func (c *Client) Renew(ctx context.Context, id sched.LeaseID) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	defer c.mu.Unlock()
	l := c.leases[id]
	if l == nil {
		return sched.ErrNoLease
	}
	l.until = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements [sched.MetadataStore].
func (c *Client) Revoke(ctx context.Context, id sched.LeaseID) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	defer c.mu.Unlock()
	if c.leases[id] == nil {
		return sched.ErrNoLease
	}
	c.endLease(id)
	return nil
}

var _ sched.MetadataStore = (*Client)(nil)
