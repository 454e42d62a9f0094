package printer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
)

// capacity is the number of lines in the ring: a second's at the peak of one
// entry.
const capacity = 4096

// Printer is a slog.Handler that writes lines of key=value pairs. Make it with
// New.
type Printer struct {
	slog.Handler
	ring *ring
}

// ring is shared by a Printer and those derived from it.
type ring struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a Printer that writes lines of at least level to w. Close must be
// called to write out the last ones.
func New(w io.Writer, level slog.Level) *Printer {
	r := &ring{lines: make(chan []byte, capacity), stop: make(chan struct{}), done: make(chan struct{})}
	go r.run(w)
	return &Printer{Handler: slog.NewTextHandler(r, &slog.HandlerOptions{Level: level}), ring: r}
}

// Handle implements slog.Handler. It never waits.
func (p *Printer) Handle(ctx context.Context, l slog.Record) error {
	if l.Level < slog.LevelWarn && len(p.ring.lines) > capacity/2 {
		p.ring.dropped.Add(1)
		return nil
	}
	return p.Handler.Handle(ctx, l)
}

// WithAttrs implements slog.Handler.
func (p *Printer) WithAttrs(a []slog.Attr) slog.Handler {
	return &Printer{Handler: p.Handler.WithAttrs(a), ring: p.ring}
}

// WithGroup implements slog.Handler.
func (p *Printer) WithGroup(name string) slog.Handler {
	return &Printer{Handler: p.Handler.WithGroup(name), ring: p.ring}
}

// Dropped returns the number of lines dropped so far that no line tells of yet.
func (p *Printer) Dropped() int64 { return p.ring.dropped.Load() }

// Close writes out what is in the ring. Later lines are lost.
func (p *Printer) Close() {
	close(p.ring.stop)
	<-p.ring.done
}

// Write takes one line. It implements io.Writer and never fails.
func (r *ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- bytes.Clone(line):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

func (r *ring) run(w io.Writer) {
	defer close(r.done)
	for {
		select {
		case l := <-r.lines:
			r.write(w, l)
		case <-r.stop:
			for len(r.lines) > 0 {
				r.write(w, <-r.lines)
			}
			return
		}
	}
}

// write writes one line, and how many were dropped once the ring has room. A
// failed write can't be told anywhere.
func (r *ring) write(w io.Writer, l []byte) {
	_, _ = w.Write(l)
	if n := r.dropped.Load(); n > 0 && len(r.lines) == 0 {
		r.dropped.Add(-n)
		_, _ = fmt.Fprintf(w, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
	}
}
