package httpclient

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

var errEOF = io.EOF

// isReusable returns whether an idle connection is still open and has no unread
// bytes. It peeks at the socket without blocking. For connections that are not
// of type *net.TCPConn it returns true.
func isReusable(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// Close closes the connection. If the target has not acknowledged all that was sent, the
// connection is reset, as the system would otherwise go on sending the rest of a request that was
// given up.
func (c *connection) Close() error {
	if t, ok := c.Conn.(*net.TCPConn); ok && isUnacknowledged(t) {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
	return c.Conn.Close()
}

// isUnacknowledged returns whether bytes that were written to a connection have not been
// acknowledged by the other end.
func isUnacknowledged(t *net.TCPConn) bool {
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	bytes := 0
	if raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil {
		return false
	}
	return err == nil && bytes > 0
}
