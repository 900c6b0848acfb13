// Package memory is a metadata store in memory, with versions, leases, watches
// and faults. It stands in for the platform's store in tests and implements
// [sched.Metadata]. Its time is that of package time, so it runs inside
// testing/synctest.
//
// # Usage
//
//	s := memory.New()
//	s.SetDown(true) // calls fail as certainly not carried out
//	s.LoseNext(1)   // the next write is carried out without an answer
package memory

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Store is the store of a deployment. Clients returned by [Store.Client] share
// it. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	version sched.Version
	items   map[string]entry
	leases  map[sched.LeaseID]*lease
	history []sched.Change
	oldest  sched.Version
	changed chan struct{}
	down    bool
	reset   bool
	lose    int
	calls   int
}

type entry struct {
	sched.Item
	lease sched.LeaseID
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// delay is how long a call takes.
const delay = 2 * time.Millisecond

// New returns an empty store.
func New() *Store {
	return &Store{items: map[string]entry{}, leases: map[sched.LeaseID]*lease{}, changed: make(chan struct{})}
}

// Client is one machine's way to the store.
type Client struct {
	*Store
	cut bool
}

// Client returns a client, as each machine has one.
func (s *Store) Client() *Client { return &Client{Store: s} }

// Cut cuts the client off, or ends that: its calls fail, and are certainly not
// carried out.
func (c *Client) Cut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	c.wake()
}

// SetDown takes the store down for everybody, or ends that. Leases run on.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetReset lets every call fail without saying whether it was carried out; none
// is. Or it ends that.
func (s *Store) SetReset(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset = reset
	s.wake()
}

// LoseNext lets the next n writes take effect without an answer.
func (s *Store) LoseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Remove removes a key, although its lease lives.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a value without a condition, as operators do.
func (s *Store) Put(key string, value []byte) sched.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(key, value, 0)
	return s.version
}

func (s *Store) put(key string, value []byte, l sched.LeaseID) {
	i := sched.Item{Key: key, Value: value, Version: s.version}
	s.items[key] = entry{i, l}
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

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is up.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.end(id)
		}
	}
}

func (s *Store) end(id sched.LeaseID) {
	delete(s.leases, id)
	for k, e := range s.items {
		if e.lease == id {
			s.remove(k)
		}
	}
}

// begin starts a call: it takes its time and fails if the store is not reached.
// On success the lock is held.
func (c *Client) begin(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Join(sched.ErrUnavailable, ctx.Err())
	case <-time.After(delay):
	}
	c.mu.Lock()
	c.calls++
	c.expire()
	if c.reset {
		c.mu.Unlock()
		return sched.ErrLost
	}
	if c.down || c.cut {
		c.mu.Unlock()
		return sched.ErrUnavailable
	}
	return nil
}

// Get implements [sched.Metadata].
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

// Range implements [sched.Metadata].
func (c *Client) Range(ctx context.Context, prefix string, _ bool) ([]sched.Item, sched.Version, error) {
	if err := c.begin(ctx); err != nil {
		return nil, 0, err
	}
	defer c.mu.Unlock()
	var out []sched.Item
	for k, e := range c.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e.Item)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, c.version, nil
}

// Watch implements [sched.Metadata].
func (c *Client) Watch(
	ctx context.Context, prefix string, after sched.Version, wait time.Duration,
) ([]sched.Change, sched.Version, error) {
	deadline := time.Now().Add(wait)
	for {
		if err := c.begin(ctx); err != nil {
			return nil, 0, err
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
		c.mu.Unlock()
		left := time.Until(deadline)
		if len(out) > 0 || left <= 0 {
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

// nextExpiry returns the time until a lease may end.
func (s *Store) nextExpiry() time.Duration {
	next := time.Second
	for _, l := range s.leases {
		next = min(next, max(time.Until(l.until), 0)+time.Millisecond)
	}
	return next
}

// Commit implements [sched.Metadata].
func (c *Client) Commit(ctx context.Context, txn sched.Txn) (sched.Version, error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	defer c.mu.Unlock()
	conflict := &sched.ConflictError{}
	bad := false
	for _, x := range txn.Conditions {
		e, ok := c.items[x.Key]
		if ok {
			conflict.Items = append(conflict.Items, e.Item)
		}
		bad = bad || e.Version != x.Version
	}
	if bad {
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
	if c.lose > 0 {
		c.lose--
		return 0, sched.ErrLost
	}
	return version, nil
}

// Grant implements [sched.Metadata].
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

// Keep implements [sched.Metadata].
func (c *Client) Keep(ctx context.Context, id sched.LeaseID) error {
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

// Revoke implements [sched.Metadata].
func (c *Client) Revoke(ctx context.Context, id sched.LeaseID) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	defer c.mu.Unlock()
	if c.leases[id] == nil {
		return sched.ErrNoLease
	}
	c.end(id)
	return nil
}

var _ sched.Metadata = (*Client)(nil)
