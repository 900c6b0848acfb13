package cache

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// requireKeys checks which of the keys 0 to 9 a cache has.
func requireKeys(t *testing.T, c *Cache[int, int], keys ...int) {
	t.Helper()
	var have []int
	for k := range 10 {
		if v, ok := c.Get(k); ok {
			require.Equal(t, 2*k, v)
			have = append(have, k)
		}
	}
	require.Equal(t, keys, have)
	require.Equal(t, len(keys), c.Len())
}

// Guards against a cache that exceeds its bound, or that forgets keys that it has room
// for.
func TestCache(t *testing.T) {
	c := New[int, int](3)
	for _, k := range []int{1, 2, 3, 2, 1} {
		c.Put(k, 2*k)
	}
	requireKeys(t, c, 1, 2, 3)
	c.Put(4, 8)
	requireKeys(t, c, 2, 3, 4)
	c.Put(5, 10)
	c.Put(6, 12)
	c.Put(7, 14)
	requireKeys(t, c, 5, 6, 7)
	c.Clear()
	c.Put(8, 16)
	requireKeys(t, c, 8)
}
