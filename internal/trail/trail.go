// Package trail writes the log of a process: one line of key=value pairs for
// each event, on a writer that never holds up a decision.
//
// Lines wait in a bounded buffer and are written by one goroutine. Within a
// second only a budget of lines of each event is taken, so that a frequent event
// does not crowd out a rare one. Beyond it the lines of most ids are left out,
// those of the others are kept whole, and a line says how many were left out.
// Warnings and errors are always taken while the buffer has room.
//
// # Usage
//
//	w := trail.New(os.Stdout)
//	defer w.Close()
//	log := slog.New(w.Handler(slog.LevelInfo))
//	log.Info("job accepted", "id", id)
package trail

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultBudget is the lines of one event and second that are taken
	// whatever their id. A standard day writes about 100 starts a second.
	defaultBudget = 200
	// sampleOneIn is the share of ids whose lines are kept beyond the budget.
	sampleOneIn = 8
	// bufferSize bounds the bytes that wait for the writer.
	bufferSize = 1 << 20
	flushEvery = 100 * time.Millisecond
	idKey      = "id"
)

// Writer takes log lines. It is safe for concurrent use.
type Writer struct {
	out    io.Writer
	budget int

	mu         sync.Mutex
	buf        []byte
	spare      []byte
	second     int64
	lineCounts map[string]int
	skipped    int
	wake       chan struct{}
	done       chan struct{}
	closing    bool
}

// Option changes a setting of a [Writer].
type Option func(*Writer)

// WithBudget sets the lines of one event and second that are taken whatever
// their id.
func WithBudget(lines int) Option { return func(w *Writer) { w.budget = lines } }

// New returns a writer and starts its goroutine; Close ends it.
func New(out io.Writer, opts ...Option) *Writer {
	w := &Writer{
		out: out, budget: defaultBudget, lineCounts: map[string]int{},
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, o := range opts {
		o(w)
	}
	go w.run()
	return w
}

// Close writes what waits.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}

// Skipped returns how many lines were left out.
func (w *Writer) Skipped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.skipped
}

// Write implements io.Writer for the handler: it takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > bufferSize {
		w.skipped++
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

// admit reports whether the budget takes a line.
func (w *Writer) admit(now time.Time, level slog.Level, event, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := now.Unix(); s != w.second {
		w.second = s
		clear(w.lineCounts)
	}
	w.lineCounts[event]++
	n := w.lineCounts[event]
	if n <= w.budget || level >= slog.LevelWarn {
		return true
	}
	if id != "" && n <= 2*w.budget && xxhash.Sum64String(id)%sampleOneIn == 0 {
		return true
	}
	w.skipped++
	return false
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes the lines that wait, a few times a second.
func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	reported := 0
	for {
		select {
		case <-tick.C:
		case <-w.wake:
		}
		w.mu.Lock()
		lines, skipped, closing := w.buf, w.skipped, w.closing
		w.buf, w.spare = w.spare[:0], nil
		w.mu.Unlock()
		if skipped > reported {
			r := slog.NewTextHandler(w.out, nil)
			record := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines left out", 0)
			record.AddAttrs(slog.Int("lines", skipped-reported))
			_ = r.Handle(context.Background(), record) // There is no other place to tell.
			reported = skipped
		}
		if len(lines) > 0 {
			w.write(lines)
		}
		w.mu.Lock()
		w.spare = lines[:0]
		w.mu.Unlock()
		if closing {
			return
		}
	}
}

// maxWrite is the most that one write takes, in whole lines, so that lines of
// processes that share a pipe do not mix.
const maxWrite = 4096

// write writes lines in chunks.
func (w *Writer) write(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWrite {
			if i := bytes.LastIndexByte(lines[:maxWrite], '\n'); i >= 0 {
				n = i + 1
			}
		}
		_, _ = w.out.Write(lines[:n]) // There is no other place to tell.
		lines = lines[n:]
	}
}

// Handler returns a handler for events at or above a level.
func (w *Writer) Handler(level slog.Leveler) slog.Handler {
	return &handler{w: w, Handler: slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})}
}

// handler asks the budget before a line is formatted.
type handler struct {
	slog.Handler
	w *Writer
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	id := ""
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == idKey {
			id = a.Value.String()
			return false
		}
		return true
	})
	if !h.w.admit(r.Time, r.Level, r.Message, id) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{w: h.w, Handler: h.Handler.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{w: h.w, Handler: h.Handler.WithGroup(name)}
}
