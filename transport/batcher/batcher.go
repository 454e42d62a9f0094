package batcher

import (
	"net"
	"sync"
)

// maxPending is the length of the buffer, in bytes, at which writes start to block.
const maxPending = 256 << 10

// Conn is a net.Conn with buffered, asynchronous writes.
type Conn struct {
	net.Conn
	mu      sync.Mutex
	changed sync.Cond // signals a change of pending, err or closed
	pending []byte    // bytes to write
	spare   []byte    // empty slice whose memory is reused for pending
	err     error     // first error of a write to the connection
	closed  bool
	done    chan struct{} // closed when the writing goroutine has returned
}

// New returns a Conn that writes to c, and starts its writing goroutine, which runs
// until Close is called or a write to c fails.
func New(c net.Conn) *Conn {
	b := &Conn{Conn: c, done: make(chan struct{})}
	b.changed.L = &b.mu
	go b.run()
	return b
}

// Write appends p to the buffer. It blocks while the buffer is full. If an earlier
// write to the connection has failed, it returns that error.
func (b *Conn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) >= maxPending && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	b.pending = append(b.pending, p...)
	b.changed.Broadcast()
	return len(p), nil
}

// Close closes the connection and discards the bytes that have not been written.
func (b *Conn) Close() error {
	b.mu.Lock()
	b.closed = true
	b.changed.Broadcast()
	b.mu.Unlock()
	err := b.Conn.Close()
	<-b.done
	return err
}

// run writes pending bytes to the connection until it is closed or a write fails.
func (b *Conn) run() {
	defer close(b.done)
	for {
		out := b.take()
		if out == nil {
			return
		}
		_, err := b.Conn.Write(out)
		b.mu.Lock()
		b.spare = out[:0]
		if err != nil && b.err == nil {
			b.err = err
		}
		b.changed.Broadcast()
		b.mu.Unlock()
	}
}

// take waits for pending bytes and removes them from the buffer. It returns nil if the
// connection is closed or a write has failed.
func (b *Conn) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) == 0 && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	if b.closed || b.err != nil {
		return nil
	}
	out := b.pending
	b.pending, b.spare = b.spare, nil
	return out
}
