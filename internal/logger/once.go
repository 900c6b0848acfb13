package logger

import "sync"

// maxKeys bounds the keys that an [Once] remembers.
const maxKeys = 100

// Once tells which keys were not logged yet, for events that recur with the same key,
// such as a damaged record that is read again and again. After maxKeys keys it reports
// every key as logged. The zero value is ready. It is safe for concurrent use.
type Once struct {
	mu     sync.Mutex
	logged map[string]bool
}

// First reports whether the key has to be logged, and remembers it.
func (o *Once) First(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.logged[key] || len(o.logged) >= maxKeys {
		return false
	}
	if o.logged == nil {
		o.logged = map[string]bool{}
	}
	o.logged[key] = true
	return true
}
