package logwriter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
)

// capacity is the maximum number of lines in the queue. One entry logs about this
// number of lines per second at peak load.
const capacity = 4096

// QueueHandler is a slog.Handler that writes lines of key=value pairs. Use New to
// create one.
type QueueHandler struct {
	slog.Handler
	queue *queue
}

// queue is the bounded queue of lines that a QueueHandler shares with those
// derived from it.
type queue struct {
	lines   chan []byte
	dropped atomic.Int64 // number of dropped lines that has not been logged yet
	stop    chan struct{}
	done    chan struct{}
}

// New returns a QueueHandler that writes lines of at least the given level to w.
// Close must be called to write the lines that are still queued.
func New(w io.Writer, level slog.Level) *QueueHandler {
	q := &queue{lines: make(chan []byte, capacity), stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return &QueueHandler{Handler: slog.NewTextHandler(q, &slog.HandlerOptions{Level: level}), queue: q}
}

// Handle implements slog.Handler. It does not block.
func (h *QueueHandler) Handle(ctx context.Context, l slog.Record) error {
	if l.Level < slog.LevelWarn && len(h.queue.lines) > capacity/2 {
		h.queue.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, l)
}

// WithAttrs implements slog.Handler.
func (h *QueueHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return &QueueHandler{Handler: h.Handler.WithAttrs(a), queue: h.queue}
}

// WithGroup implements slog.Handler.
func (h *QueueHandler) WithGroup(name string) slog.Handler {
	return &QueueHandler{Handler: h.Handler.WithGroup(name), queue: h.queue}
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (h *QueueHandler) Dropped() int64 { return h.queue.dropped.Load() }

// Close writes the queued lines and stops the writer. Later lines are lost.
func (h *QueueHandler) Close() {
	close(h.queue.stop)
	<-h.queue.done
}

// Write implements io.Writer. It queues one line, or drops it if the queue is full,
// and never returns an error.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines to w until stop is closed and the queue is empty.
func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case l := <-q.lines:
			q.write(w, l)
		case <-q.stop:
			for len(q.lines) > 0 {
				q.write(w, <-q.lines)
			}
			return
		}
	}
}

// write writes one line to w and, if the queue is empty, the number of dropped
// lines. Errors are ignored, as there is nowhere to report them.
func (q *queue) write(w io.Writer, l []byte) {
	_, _ = w.Write(l)
	if n := q.dropped.Load(); n > 0 && len(q.lines) == 0 {
		q.dropped.Add(-n)
		_, _ = fmt.Fprintf(w, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
	}
}
