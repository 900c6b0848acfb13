package sched

import "context"

// pageNoteKey is the key of the function that [WithPageNote] adds to a context.
type pageNoteKey struct{}

// WithPageNote returns a context with which [MetadataStore.Range] calls note for each
// page that has arrived. It tells a long list from a store that does not answer.
func WithPageNote(ctx context.Context, note func()) context.Context {
	return context.WithValue(ctx, pageNoteKey{}, note)
}

// NotePage calls the function that [WithPageNote] added to the context, if any.
func NotePage(ctx context.Context) {
	if note, ok := ctx.Value(pageNoteKey{}).(func()); ok {
		note()
	}
}
