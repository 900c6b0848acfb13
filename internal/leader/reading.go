package leader

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// reading holds the items under a prefix, the version of the store at which they
// were read, and when the store was asked.
type reading struct {
	items   []sched.Item
	version sched.Version
	asked   time.Time
}

// pageFilter returns what is kept of a page of items.
type pageFilter func(page []sched.Item) []sched.Item

// wholePage keeps a page as it is.
func wholePage(page []sched.Item) []sched.Item { return page }

// read reads the items under a prefix.
func (t *term) read(prefix string) (reading, error) { return t.readFiltered(prefix, wholePage) }

// readFiltered reads the items under a prefix, and keeps what filter returns of each page.
func (t *term) readFiltered(prefix string, filter pageFilter) (reading, error) {
	asked := t.l.now()
	ctx := sched.WithPageFilter(t.ctx, func(page []sched.Item) []sched.Item {
		t.contact.pageRead(t.l.now())
		return filter(page)
	})
	items, version, err := t.l.store.Range(ctx, prefix, false)
	return reading{items, version, asked}, err
}

// byKey returns the items by their keys.
func (r reading) byKey() map[string]sched.Item {
	out := make(map[string]sched.Item, len(r.items))
	for _, i := range r.items {
		out[i.Key] = i
	}
	return out
}

// changes returns the items as changes.
func (r reading) changes() []sched.Change {
	out := make([]sched.Change, len(r.items))
	for n, i := range r.items {
		out[n] = sched.Change{Item: i}
	}
	return out
}
