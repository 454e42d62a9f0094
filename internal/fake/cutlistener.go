package fake

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// CutListener is a listener whose accepted connections can be cut while the process
// that listens writes to them. Create it with NewCutListener.
type CutListener struct {
	net.Listener

	mu      sync.Mutex
	limited bool
	left    int // bytes that pass before the cut, over all connections, if limited
	cut     bool
}

// NewCutListener returns a listener that accepts the connections of l and cuts none.
func NewCutListener(l net.Listener) *CutListener { return &CutListener{Listener: l} }

// CutAfter lets n further bytes pass and then closes each connection to which more are
// written.
func (l *CutListener) CutAfter(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited, l.left, l.cut = true, n, false
}

// Heal ends the effect of CutAfter on further writes. It reports whether a connection
// was cut.
func (l *CutListener) Heal() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = false
	return l.cut
}

// Accept implements net.Listener.
func (l *CutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: c, listener: l}, nil
}

// pass returns how many of n bytes may be written.
func (l *CutListener) pass(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited {
		return n
	}
	l.cut = l.cut || n > l.left
	n = min(n, l.left)
	l.left -= n
	return n
}

// cutConn is a connection that a CutListener has accepted.
type cutConn struct {
	net.Conn
	listener *CutListener
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	n := c.listener.pass(len(b))
	if n == len(b) {
		return c.Conn.Write(b)
	}
	written, err := c.Conn.Write(b[:n])
	_ = c.Close()
	if err == nil {
		err = net.ErrClosed
	}
	return written, err
}

// SyscallConn implements syscall.Conn for connections of the system.
func (c *cutConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("access connection of type %T: %w", c.Conn, errors.ErrUnsupported)
	}
	return s.SyscallConn()
}

// SetLinger is that of net.TCPConn. It has no effect on other connections.
func (c *cutConn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return t.SetLinger(seconds)
	}
	return nil
}
