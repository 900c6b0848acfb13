// Package cache holds bounded maps, for what is known about things that callers name.
// Callers may use any number of names, so an unbounded map would grow for ever.
//
// # Usage
//
//	c := cache.New[string, time.Duration](4096)
//	c.Put("carve", time.Second)
//	took, ok := c.Get("carve")
package cache

// Cache is a map with a bounded number of keys. A new key beyond the bound replaces
// the key that was added first. It is not safe for concurrent use.
type Cache[K comparable, V any] struct {
	values map[K]V
	// ring holds the keys in the order in which they were added; next is the position
	// of the key that is replaced next.
	ring []K
	next int
	size int
}

// New returns an empty cache of at most size keys.
func New[K comparable, V any](size int) *Cache[K, V] {
	return &Cache[K, V]{values: map[K]V{}, size: size}
}

// Get returns the value of a key and whether it is known.
func (c *Cache[K, V]) Get(key K) (V, bool) {
	v, ok := c.values[key]
	return v, ok
}

// Put sets the value of a key.
func (c *Cache[K, V]) Put(key K, value V) {
	if _, known := c.values[key]; !known {
		c.add(key)
	}
	c.values[key] = value
}

func (c *Cache[K, V]) add(key K) {
	if len(c.ring) < c.size {
		c.ring = append(c.ring, key)
		return
	}
	delete(c.values, c.ring[c.next])
	c.ring[c.next] = key
	c.next = (c.next + 1) % c.size
}

// Clear removes all keys.
func (c *Cache[K, V]) Clear() {
	clear(c.values)
	clear(c.ring) // The strings of the keys would stay in memory.
	c.ring, c.next = c.ring[:0], 0
}

// Len returns the number of keys.
func (c *Cache[K, V]) Len() int { return len(c.values) }
