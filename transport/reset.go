package transport

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ResetOnClose makes TCP reset a connection when it is closed, also by the end of the process.
// Otherwise it goes on sending what was written before, and the bytes that a partition has held
// up arrive after the partition. Connections of other kinds are left as they are.
func ResetOnClose(c net.Conn) error {
	t, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	if err := t.SetLinger(0); err != nil {
		return fmt.Errorf("set linger time: %w", err)
	}
	return nil
}

// ExpireUnacknowledged returns a function that is ResetOnClose and also makes TCP end a connection
// if the other end has not acknowledged bytes within a time, in which case it sends them no
// more. Unlike a time limit of a call, this holds while the process is suspended.
func ExpireUnacknowledged(after time.Duration) func(net.Conn) error {
	return func(c net.Conn) error {
		if t, ok := c.(syscall.Conn); ok {
			if err := setUserTimeout(t, after); err != nil {
				return fmt.Errorf("set time limit of unacknowledged bytes: %w", err)
			}
		}
		return ResetOnClose(c)
	}
}

func setUserTimeout(c syscall.Conn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("access connection: %w", err)
	}
	var failure error
	if err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); err != nil {
		return fmt.Errorf("access connection: %w", err)
	}
	return failure
}
