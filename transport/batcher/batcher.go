package batcher

import (
	"net"
	"sync"
)

const maxPending = 256 << 10 // bytes that may wait to be written

// Conn is a net.Conn whose writes are joined.
type Conn struct {
	net.Conn
	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	spare   []byte
	err     error
	closed  bool
	done    chan struct{}
}

// New returns a Conn on c and starts its writer.
func New(c net.Conn) *Conn {
	b := &Conn{Conn: c, done: make(chan struct{})}
	b.changed.L = &b.mu
	go b.run()
	return b
}

// Write queues p. It returns the error of an earlier write, if there was one.
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

// Close ends the connection. Bytes that have not been written are lost.
func (b *Conn) Close() error {
	b.mu.Lock()
	b.closed = true
	b.changed.Broadcast()
	b.mu.Unlock()
	err := b.Conn.Close()
	<-b.done
	return err
}

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

// take waits for pending bytes and returns them, or nil at the end.
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
