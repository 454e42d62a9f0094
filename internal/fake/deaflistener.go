package fake

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// DeafListener is a listener at whose connections an HTTP server does not notice a close while it
// serves a request, as one that is held up. The server reads one byte at a time then; such reads
// wait until the server ends them, or closes the connection.
type DeafListener struct {
	net.Listener
	Deaf atomic.Bool // whether reads wait; the default is that they don't
}

// Accept implements net.Listener.
func (l *DeafListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &deafConn{TCPConn: c.(*net.TCPConn), listener: l, closed: make(chan struct{}), ended: make(chan struct{}, 1)}, nil
}

// deafConn is a connection that a DeafListener has accepted.
type deafConn struct {
	*net.TCPConn
	listener *DeafListener
	closed   chan struct{}
	once     sync.Once
	ended    chan struct{} // receives when the server ends a read
}

// Read implements net.Conn.
func (c *deafConn) Read(b []byte) (int, error) {
	if len(b) == 1 && c.listener.Deaf.Load() {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.ended:
			return 0, os.ErrDeadlineExceeded
		}
	}
	return c.TCPConn.Read(b)
}

// SetReadDeadline implements net.Conn.
func (c *deafConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		select {
		case c.ended <- struct{}{}:
		default:
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *deafConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

var _ syscall.Conn = (*deafConn)(nil)
