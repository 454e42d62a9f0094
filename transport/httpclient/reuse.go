package httpclient

import (
	"io"
	"net"
	"syscall"
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
