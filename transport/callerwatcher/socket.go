package callerwatcher

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// hasClosed reports whether the other end of a TCP connection has closed or reset it, even if there
// are bytes before the close that have not been read. It reads nothing.
func hasClosed(c syscall.RawConn) bool {
	closed := false
	err := c.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		if _, err := unix.Poll(p, 0); err != nil {
			return // interrupted; the next look tells
		}
		events := p[0].Revents
		closed = events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		if !closed && events&unix.POLLIN != 0 { // for systems without POLLRDHUP
			n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
			closed = n == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
		}
	})
	return closed || err != nil // the error tells that this end has closed it
}

// sinceLastSegment returns the time since the other end of a TCP connection last sent anything that
// acknowledges bytes, which a close does. It returns a negative time if the system does not tell.
func sinceLastSegment(c syscall.RawConn) time.Duration {
	since := time.Duration(-1)
	_ = c.Control(func(fd uintptr) { // fails if the connection is closed: the time is not known
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return since
}
