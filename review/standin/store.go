//go:build review

package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key with its value.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// fault is how the store treats the calls of one entry.
type fault int

const (
	faultNone fault = iota
	// faultBusy answers 503; nothing is done.
	faultBusy
	// faultSilent gives no answer; nothing is done.
	faultSilent
	// faultReset resets the connection; nothing is done.
	faultReset
)

// store is the platform's metadata store. Each entry has its own door, so that a fault
// can be limited to some entries.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	changed  chan struct{}
	delay    time.Duration
	// pageItems is the most items of one page.
	pageItems int
}

func newStore() *store {
	s := &store{
		revision: 1, items: map[string]storeItem{}, leases: map[int64]*storeLease{},
		changed: make(chan struct{}), delay: 4 * time.Millisecond, pageItems: 500,
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.until) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// put and the methods below it need s.mu.
func (s *store) put(key string, value []byte, lease int64) {
	old, ok := s.items[key]
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.note(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.note(storeItem{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *store) note(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

// write stores a value for the operator or a worker.
func (s *store) write(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, b, 0)
}

// get returns the value of a key.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

// door is the store as one entry reaches it.
type door struct {
	s  *store
	mu sync.Mutex
	f  fault
	// lateShare is the share of the writes that are done late and not answered.
	lateShare float64
	// closed is closed and replaced when the fault changes, which cuts waiting watches.
	closed chan struct{}
}

func newDoor(s *store) *door { return &door{s: s, closed: make(chan struct{})} }

func (d *door) set(f fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.f = f
	close(d.closed)
	d.closed = make(chan struct{})
}

// setLate sets the share of the writes that are done late.
func (d *door) setLate(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lateShare = share
}

const (
	minLateness = time.Second
	maxLateness = 6 * time.Second
)

// late decides whether a write is done late, and waits until it is.
func (d *door) late() bool {
	d.mu.Lock()
	late := rand.Float64() < d.lateShare
	d.mu.Unlock()
	if late {
		time.Sleep(minLateness + rand.N(maxLateness-minLateness))
	}
	return late
}

func (d *door) state() (fault, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.f, d.closed
}

// fail carries out the fault and reports whether there is one.
func (d *door) fail(w http.ResponseWriter, r *http.Request, f fault) bool {
	switch f {
	case faultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case faultSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faultReset:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	f, closed := d.state()
	if err != nil || d.fail(w, r, f) {
		return
	}
	time.Sleep(d.s.delay)
	q := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/-/")
	switch {
	case path == "kv-key":
		d.s.serveKey(w, q.Get("key"))
	case path == "kv-range":
		d.s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "kv-watch":
		if f := d.watch(w, r, closed); f {
			f, _ := d.state()
			if !d.fail(w, r, f) {
				panic(http.ErrAbortHandler) // The fault has ended; the watch is cut.
			}
		}
	case path == "kv-txn":
		if d.late() {
			d.s.serveTxn(httptest.NewRecorder(), body)
			panic(http.ErrAbortHandler)
		}
		d.s.serveTxn(w, body)
	case path == "kv-lease":
		d.s.serveGrant(w, body)
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		d.s.serveLease(w, path)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // An error means that the peer has disconnected.
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	out := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > s.pageItems
	if more {
		out = out[:s.pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": out, "has-more": more, "store-revision": at})
}

// watch reports true if the door's fault changed while the watch was waiting.
func (d *door) watch(w http.ResponseWriter, r *http.Request, closed chan struct{}) bool {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	s := d.s
	for over := false; ; {
		s.mu.Lock()
		out := []storeItem{}
		from := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, i := range s.history[from:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				out = append(out, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": out, "store-revision": at})
			return false
		}
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-closed:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, body []byte) {
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
	if json.Unmarshal(body, &in) != nil || len(in.Expected)+len(in.Writes)+len(in.Remove) > 32 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []storeItem{}, false
	for _, x := range in.Expected {
		i, ok := s.items[x.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Revision != x.Revision
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range in.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, x := range in.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, k := range in.Remove {
		s.remove(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, body []byte) {
	var in struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.Unmarshal(body, &in) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
	s.revision++
	id := int64(s.revision)
	s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) serveLease(w http.ResponseWriter, path string) {
	call, text, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		reply(w, http.StatusNotFound, map[string]any{})
		return
	case call == "kv-keep":
		l.until = time.Now().Add(l.ttl)
	default:
		s.endLease(id)
	}
	reply(w, http.StatusOK, map[string]any{})
}
