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

const (
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// pageItems and pageBytes bound one page of a range.
	pageItems = 500
	pageBytes = 1 << 20
	// maxWatchWait bounds how long a watch waits.
	maxWatchWait = 30 * time.Second
	maxTxnRows   = 32
)

// item is an item of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int64  `json:"lease"`
}

// event is a change of the store, as a watch returns it.
type event struct {
	item
	Removed bool
}

// MarshalJSON returns a removal without the fields of an item.
func (e event) MarshalJSON() ([]byte, error) {
	if !e.Removed {
		return json.Marshal(e.item)
	}
	return json.Marshal(struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
		Removed  bool   `json:"removed"`
	}{e.Key, e.Revision, true})
}

type lease struct {
	ttl   time.Duration
	until time.Time
	// keys holds the keys that were written with the lease.
	keys map[string]bool
}

// store is a stand-in of the platform's metadata store: linearizable, with pages,
// watches, conditional transactions and leases. It loses nothing.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	// keys holds the keys in order. It is sorted again when unsorted is set.
	keys     []string
	unsorted bool
	history  []event
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
}

// firstRevision is the revision of the store when a case begins. Items that are older
// than the case have lower ones.
const firstRevision = 10_000_000

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), revision: firstRevision}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

// expire removes the keys of the leases that have ended.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	l := s.leases[id]
	delete(s.leases, id)
	var keys []string
	for k := range l.keys {
		if s.items[k].Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.revision++
		for _, k := range keys {
			s.remove(k)
		}
		s.wake()
	}
}

// put writes a value as the operator or a worker does, and returns the revision.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.wake()
	return s.revision
}

// addOld adds items that were written long before the case began, so that no watch shows
// them. Their keys are in order.
func (s *store) addOld(old []item) {
	const part = 1000
	for from := 0; from < len(old); from += part {
		s.mu.Lock()
		for _, i := range old[from:min(from+part, len(old))] {
			s.items[i.Key] = i
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.find("")
	merged := make([]string, 0, len(s.keys)+len(old))
	for _, i := range old {
		for len(s.keys) > 0 && s.keys[0] < i.Key {
			merged, s.keys = append(merged, s.keys[0]), s.keys[1:]
		}
		merged = append(merged, i.Key)
	}
	s.keys = append(merged, s.keys...)
}

// withPrefix returns the items under a prefix.
func (s *store) withPrefix(prefix string) []item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []item
	for _, k := range s.keysAfter(prefix, "") {
		if !strings.HasPrefix(k, prefix) {
			break
		}
		out = append(out, s.items[k])
	}
	return out
}

func (s *store) write(key string, value []byte, l int64) {
	old, ok := s.items[key]
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: l}
	if ok {
		i.Created = old.Created
	} else {
		s.keys = append(s.keys, key)
		s.unsorted = true
	}
	s.items[key] = i
	if x := s.leases[l]; x != nil {
		x.keys[key] = true
	}
	s.history = append(s.history, event{item: i})
}

func (s *store) remove(key string) {
	delete(s.items, key)
	if at := s.find(key); at < len(s.keys) && s.keys[at] == key {
		s.keys = append(s.keys[:at], s.keys[at+1:]...)
	}
	s.history = append(s.history, event{item: item{Key: key, Revision: s.revision}, Removed: true})
}

// find returns the position of a key in the order of the keys.
func (s *store) find(key string) int {
	if s.unsorted {
		sort.Strings(s.keys)
		s.unsorted = false
	}
	return sort.SearchStrings(s.keys, key)
}

// keysAfter returns the keys from the first one with a prefix, or from the one behind
// after.
func (s *store) keysAfter(prefix, after string) []string {
	at := s.find(prefix)
	if after != "" {
		at = s.find(after)
		if at < len(s.keys) && s.keys[at] == after {
			at++
		}
	}
	return s.keys[at:]
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	name, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	q := r.URL.Query()
	switch name {
	case "kv-key":
		s.get(w, q.Get("key"))
	case "kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.watch(w, r, q.Get("prefix"), after, min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease":
		s.grant(w, r)
	case "kv-keep", "kv-lease-end":
		n, _ := strconv.ParseInt(id, 10, 64)
		s.keepOrEnd(w, n, name == "kv-keep")
	default:
		writeJSON(w, http.StatusNotFound, nil)
	}
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, nil)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	out, size, more := []item{}, 0, false
	for _, k := range s.keysAfter(prefix, after) {
		if !strings.HasPrefix(k, prefix) {
			break
		}
		if len(out) == pageItems || size > pageBytes {
			more = true
			break
		}
		out = append(out, s.items[k])
		size += len(k) + len(s.items[k].Value)
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": out, "has-more": more, "store-revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		events := []event{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[from:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
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

// forbidden reports whether the system may not write a key.
func forbidden(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in txn
	if decodeBody(r, &in) != nil || len(in.Expected)+len(in.Writes)+len(in.Remove) > maxTxnRows {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	status, body := s.commit(&in)
	writeJSON(w, status, body)
}

func (s *store) commit(in *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, x := range in.Expected {
		i, ok := s.items[x.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == x.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, x := range in.Writes {
		if forbidden(x.Key) {
			return http.StatusForbidden, nil
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, x := range in.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, k := range in.Remove {
		if _, ok := s.items[k]; ok {
			s.remove(k)
		}
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if decodeBody(r, &in) != nil || in.TTL < 1000 {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	s.lastID++
	id, ttl := s.lastID, time.Duration(in.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl, time.Now().Add(ttl), map[string]bool{}}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": in.TTL})
}

func (s *store) keepOrEnd(w http.ResponseWriter, id int64, keep bool) {
	s.mu.Lock()
	l := s.leases[id]
	switch {
	case l == nil:
	case keep:
		l.until = time.Now().Add(l.ttl)
	default:
		s.endLease(id)
	}
	s.mu.Unlock()
	if l == nil {
		writeJSON(w, http.StatusNotFound, nil)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // An error means that the caller has disconnected.
	}
}

func decodeBody(r *http.Request, dst any) error {
	defer r.Body.Close()
	return json.NewDecoder(r.Body).Decode(dst)
}
