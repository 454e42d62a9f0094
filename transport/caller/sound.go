package caller

import (
	"io"
	"net"
	"syscall"
)

var errEOF = io.EOF

// sound tells whether an idle connection is open and has nothing to read.
// Connections of other kinds than TCP count as sound.
func sound(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
