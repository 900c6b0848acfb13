package fake

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"goji.io/pat"
	"golang.org/x/time/rate"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// admit counts a call and applies the faults that all kinds of calls share:
// delay, outage and rate limit. It returns false if it has sent an error
// response.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, count *int, limit *rate.Limiter) bool {
	s.mu.Lock()
	*count++
	f := s.faults
	s.mu.Unlock()
	sleepContext(r.Context(), f.Delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Outage:
		s.counts.Outages++
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	case !limit.Allow():
		s.counts.Limited++
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, &s.counts.Gets, s.reads) {
		return
	}
	s.mu.Lock()
	item, ok := s.items[pat.Param(r, "key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeItem(w, item)
}

func writeItem(w http.ResponseWriter, item sched.Item) {
	setVersion(w, item.Version)
	w.Header().Set("Content-Length", strconv.Itoa(len(item.Value)))
	_, _ = w.Write(item.Value)
}

func setVersion(w http.ResponseWriter, v sched.Version) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(v), 10)))
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, &s.counts.Lists, s.reads) {
		return
	}
	prefix := r.URL.Query().Get("prefix")
	items := []sched.Item{}
	s.mu.Lock()
	for k, item := range s.items {
		if strings.HasPrefix(k, prefix) {
			items = append(items, item)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b sched.Item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, items)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "value exceeds the size limit", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.admit(w, r, &s.counts.Puts, s.writes) {
		return
	}
	s.write(w, r, func(key string) {
		item := sched.Item{Key: key, Value: value, Version: s.lastVersion}
		s.items[key] = item
		if strings.HasPrefix(key, configPrefix) {
			s.configWrites = append(s.configWrites, ConfigWrite{key, value, item.Version, s.now()})
		}
		setVersion(w, item.Version)
	})
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, &s.counts.Deletes, s.writes) {
		return
	}
	s.write(w, r, func(key string) { delete(s.items, key) })
}

// write applies a change if the key still has the version in If-Match. Versions
// increase over all keys, so a key that is deleted and written again never
// repeats a version. If the faults say that this response is lost, write drops
// the connection after the change.
func (s *Store) write(w http.ResponseWriter, r *http.Request, apply func(key string)) {
	match, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version", http.StatusBadRequest)
		return
	}
	key := pat.Param(r, "key")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key].Version != sched.Version(match) {
		s.counts.Conflicts++
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
		return
	}
	s.lastVersion++
	apply(key)
	close(s.changed)
	s.changed = make(chan struct{})
	if s.dropsResponse() {
		s.counts.Lost++
		panic(http.ErrAbortHandler)
	}
}

// dropsResponse counts a write that was applied and reports whether its response
// is dropped. The caller holds s.mu.
func (s *Store) dropsResponse() bool {
	s.appliedWrites++
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseEvery > 0 && s.appliedWrites%s.faults.LoseEvery == 0
}

// watch is a long poll: it responds with the value when the version of the key
// is higher than after, or with 204 when the wait has passed.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := time.ParseDuration(q.Get("wait"))
	if err != nil || err2 != nil {
		http.Error(w, "after and wait are needed", http.StatusBadRequest)
		return
	}
	if !s.admit(w, r, &s.counts.Watches, s.reads) {
		return
	}
	timer := time.NewTimer(min(wait, maxWatch))
	defer timer.Stop()
	for {
		s.mu.Lock()
		item, changed := s.items[q.Get("key")], s.changed
		silent, down := s.faults.SilentWatch, s.faults.Outage
		s.mu.Unlock()
		if item.Version > sched.Version(after) && !silent && !down {
			writeItem(w, item)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}
