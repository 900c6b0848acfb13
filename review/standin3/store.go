//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int64  `json:"lease"`
}

// event is an entry of the store's history.
type event struct {
	item
	removed bool
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

const (
	storeDelay   = 4 * time.Millisecond
	pageItems    = 500
	pageBytes    = 1 << 20
	maxTxnRows   = 32
	valueBytes   = 1 << 20
	minTTL       = time.Second
	historyKept  = 20 * time.Second
	maxWatchWait = 30 * time.Second
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	keys     []string // sorted
	leases   map[int64]*lease
	history  []event
	times    []time.Time // when the entries of history were made
	dropped  uint64      // the revision up to which the history was dropped
	changed  chan struct{}
	counts   map[string]int
	// writes and reads are the budgets of calls.
	writes, reads budget
}

// budget is a rate limit of calls.
type budget struct {
	perSecond float64
	left      float64
	at        time.Time
}

// take takes n from the budget and reports whether it sufficed.
func (b *budget) take(n float64) bool {
	now := time.Now()
	b.left = min(b.perSecond, b.left+now.Sub(b.at).Seconds()*b.perSecond)
	b.at = now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func newStore(writesPerSecond, readsPerSecond float64) *store {
	return &store{
		revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		counts: map[string]int{}, writes: budget{perSecond: writesPerSecond}, reads: budget{perSecond: readsPerSecond},
	}
}

// put writes a key without a condition, as the operator and the workers do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
}

// drop removes a key without a condition.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.unset(key)
	s.wake()
}

func (s *store) set(key string, value []byte, l int64) {
	i, ok := s.items[key]
	if !ok {
		n := sort.SearchStrings(s.keys, key)
		s.keys = append(s.keys, "")
		copy(s.keys[n+1:], s.keys[n:])
		s.keys[n] = key
		i = item{Key: key, Created: s.revision}
	}
	i.Value, i.Revision, i.Lease = value, s.revision, l
	s.items[key] = i
	s.note(event{item: i})
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	n := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys[:n], s.keys[n+1:]...)
	delete(s.items, key)
	s.note(event{item: item{Key: key, Revision: s.revision}, removed: true})
}

func (s *store) note(e event) {
	s.history, s.times = append(s.history, e), append(s.times, time.Now())
	n := 0
	for n < len(s.times) && time.Since(s.times[n]) > historyKept {
		s.dropped = s.history[n].Revision
		n++
	}
	s.history, s.times = s.history[n:], s.times[n:]
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have run out, and reports whether there were any.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for _, k := range s.keys {
		if s.items[k].Lease == id {
			keys = append(keys, k)
		}
	}
	for _, k := range keys {
		s.revision++
		s.unset(k)
	}
	s.wake()
}

// run expires leases until done is closed.
func (s *store) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/-/")
	q := r.URL.Query()
	stale := q.Get("serializable") == "1"
	time.Sleep(storeDelay)
	s.mu.Lock()
	name, _, _ := strings.Cut(path, "/")
	s.counts[name]++
	s.expire()
	ok := true
	switch {
	case stale:
	case name == "kv-txn", name == "kv-lease", name == "kv-lease-end":
		ok = s.writes.take(1)
	case name == "kv-keep":
		ok = s.reads.take(0.1)
	default:
		ok = s.reads.take(1)
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusTooManyRequests, nil)
		return
	}
	switch name {
	case "kv-key":
		s.serveKey(w, q.Get("key"))
	case "kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "kv-watch":
		s.serveWatch(w, r, q.Get("prefix"), q.Get("after"), q.Get("wait-ms"))
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease":
		s.serveLease(w, r)
	case "kv-keep":
		s.serveKeep(w, path)
	case "kv-lease-end":
		s.serveLeaseEnd(w, path)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At uint64 `json:"store-revision"`
	}{i, at})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	from := sort.SearchStrings(s.keys, max(prefix, after))
	if from < len(s.keys) && s.keys[from] == after {
		from++
	}
	out, bytes, more := []item{}, 0, false
	for _, k := range s.keys[from:] {
		if !strings.HasPrefix(k, prefix) {
			break
		}
		i := s.items[k]
		bytes += len(i.Value)
		if len(out) == pageItems || len(out) > 0 && bytes > pageBytes {
			more = true
			break
		}
		out = append(out, i)
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": out, "has-more": more, "store-revision": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix, afterText, waitText string) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	ms, _ := strconv.Atoi(waitText)
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, nil)
			return
		}
		n := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		out := []map[string]any{}
		for _, e := range s.history[n:] {
			switch {
			case !strings.HasPrefix(e.Key, prefix):
			case e.removed:
				out = append(out, map[string]any{"key": e.Key, "revision": e.Revision, "removed": true})
			default:
				out = append(out, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "created": e.Created, "lease": e.Lease})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": out, "store-revision": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Writes)+len(in.Remove) > maxTxnRows {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	for _, x := range in.Writes {
		switch {
		case len(x.Value) > valueBytes:
			reply(w, http.StatusBadRequest, nil)
			return
		case strings.HasPrefix(x.Key, "op/"), strings.HasPrefix(x.Key, "servers/"):
			reply(w, http.StatusForbidden, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, now := false, []item{}
	for _, x := range in.Expected {
		i, ok := s.items[x.Key]
		if ok {
			now = append(now, i)
		}
		conflict = conflict || i.Revision != x.Revision
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, x := range in.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, x := range in.Writes {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, k := range in.Remove {
		s.unset(k)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	ttl := min(max(time.Duration(in.TTL)*time.Millisecond, minTTL), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := int64(s.revision)
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

// leaseOf returns the lease in the last part of a path.
func leaseOf(path string) int64 {
	id, _ := strconv.ParseInt(path[strings.IndexByte(path, '/')+1:], 10, 64)
	return id
}

func (s *store) serveKeep(w http.ResponseWriter, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[leaseOf(path)]
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[leaseOf(path)] == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(leaseOf(path))
	reply(w, http.StatusOK, map[string]any{})
}
