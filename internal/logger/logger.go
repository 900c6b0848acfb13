// Package logger writes the log of a process: one line of key=value pairs for
// each event. Logging never blocks the caller on output.
//
// Lines are kept in a bounded buffer and written by one goroutine. In each second
// only a budget of lines is accepted for each event, so that a frequent event
// does not crowd out a rare one. Beyond it, up to twice the budget, only the lines
// of a sample of ids are accepted. The log of these ids is complete as long as no
// event exceeds twice its budget and the buffer has space. The number of lines
// that were left out is logged. Warnings and errors are accepted as long as the
// buffer has space.
//
// # Usage
//
//	w := logger.New(os.Stdout)
//	defer w.Close()
//	log := slog.New(w.Handler(slog.LevelInfo))
//	log.Info("job accepted", "id", id)
package logger

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
	// defaultBudget is the number of lines per event and second that are
	// accepted whatever their id. In a typical workload, about 100 starts per
	// second are logged.
	defaultBudget = 200
	// sampleOneIn sets the size of the sample: of one in sampleOneIn ids, lines
	// are accepted beyond the budget.
	sampleOneIn = 8
	// bufferSize bounds the buffered lines, in bytes.
	bufferSize = 1 << 20
	// flushInterval is the interval at which buffered lines are written.
	flushInterval = 100 * time.Millisecond
	// idKey is the key of the attribute by which lines are sampled.
	idKey = "id"
)

// Writer buffers log lines and writes them. It is safe for concurrent use.
type Writer struct {
	out    io.Writer
	budget int

	mu  sync.Mutex
	buf []byte
	// spare is an empty buffer that replaces buf while buf is written.
	spare []byte
	// second is the current second as Unix time, and lineCounts holds the number
	// of lines of each event in it.
	second     int64
	lineCounts map[string]int
	skipped    int
	wake       chan struct{}
	done       chan struct{}
	closing    bool
}

// Option changes a setting of a [Writer].
type Option func(*Writer)

// WithBudget sets the number of lines per event and second that are accepted
// whatever their id.
func WithBudget(lines int) Option { return func(w *Writer) { w.budget = lines } }

// New returns a writer and starts its goroutine, which Close ends.
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

// Close writes the buffered lines and ends the writer.
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

// Write implements [io.Writer] for the handler. It buffers one line.
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

// admit reports whether a line is accepted. level, event and id are those of the
// line.
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

// run writes the buffered lines at intervals until the writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(flushInterval)
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
			_ = r.Handle(context.Background(), record) // There is nowhere else to report an error.
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

// maxWrite bounds one write, in bytes. A write consists of whole lines, so that
// lines of processes that share a pipe do not mix.
const maxWrite = 4096

// write writes lines, at most maxWrite bytes at a time.
func (w *Writer) write(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWrite {
			if i := bytes.LastIndexByte(lines[:maxWrite], '\n'); i >= 0 {
				n = i + 1
			}
		}
		_, _ = w.out.Write(lines[:n]) // There is nowhere else to report an error.
		lines = lines[n:]
	}
}

// Handler returns a handler that logs events at or above a level.
func (w *Writer) Handler(level slog.Leveler) slog.Handler {
	return &handler{w: w, Handler: slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})}
}

// handler drops events that the writer does not admit before it formats a line.
type handler struct {
	slog.Handler
	w *Writer
}

// Handle implements [slog.Handler].
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

// WithAttrs implements [slog.Handler].
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{w: h.w, Handler: h.Handler.WithAttrs(attrs)}
}

// WithGroup implements [slog.Handler].
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{w: h.w, Handler: h.Handler.WithGroup(name)}
}
