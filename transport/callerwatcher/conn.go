package callerwatcher

import (
	"net"
	"sync"
)

// listener returns connections that tell when a caller sends bytes beyond its request.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: t}, nil
	}
	return c, nil
}

// conn is a connection of a caller.
type conn struct {
	*net.TCPConn

	mu     sync.Mutex
	beyond bool   // bytes beyond the request in progress have been read
	notify func() // called then; nil if no request is in progress
}

// Read implements net.Conn. An HTTP server reads one byte at a time only to notice that a caller
// leaves. If it gets that byte, it does not read on until the request has ended.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 1 && len(b) == 1 {
		c.mu.Lock()
		c.beyond = true
		f := c.notify
		c.mu.Unlock()
		if f != nil {
			f()
		}
	}
	return n, err
}

// OnBeyond sets the function that is called when bytes beyond the request in progress have been
// read, also if they have been already. A nil function ends the request.
func (c *conn) OnBeyond(f func()) {
	c.mu.Lock()
	c.notify = f
	beyond := c.beyond
	c.beyond = c.beyond && f != nil
	c.mu.Unlock()
	if beyond && f != nil {
		f()
	}
}
