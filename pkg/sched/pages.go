package sched

import "context"

// pageFilterKey is the key of the function that [WithPageFilter] adds to a context.
type pageFilterKey struct{}

// WithPageFilter returns a context with which [MetadataStore.Range] calls filter for each
// page that has arrived, and returns what filter returns in place of the page. A caller
// that needs a part of a long list only so never holds all of it. The calls also tell a
// long list from a store that does not answer.
func WithPageFilter(ctx context.Context, filter func(page []Item) []Item) context.Context {
	return context.WithValue(ctx, pageFilterKey{}, filter)
}

// FilterPage calls the function that [WithPageFilter] added to the context, if any, and
// returns the items to keep.
func FilterPage(ctx context.Context, page []Item) []Item {
	if filter, ok := ctx.Value(pageFilterKey{}).(func([]Item) []Item); ok {
		return filter(page)
	}
	return page
}
