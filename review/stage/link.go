//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// link is the path from one machine to an address. While it is cut, nothing passes, and
// connections can't be opened. As on a real link, the machine's TCP repeats what it has sent
// at growing intervals: what was held up arrives with the first repetition after the cut. It
// is lost if the machine resets the connection meanwhile.
type link struct {
	site *site
	name string
	to   string

	mu     sync.Mutex
	cut    bool
	healed chan struct{} // closed at the end of a cut
}

// firstRepeat is the time after which TCP repeats what was not acknowledged. Each further
// interval is twice as long.
const firstRepeat = 200 * time.Millisecond

// newLink returns a link to an address, and the address at which it listens.
func newLink(s *site, name, to string) (*link, string, error) {
	listener, err := net.Listen("tcp", s.address()+":0")
	if err != nil {
		return nil, "", err
	}
	l := &link{site: s, name: name, to: to, healed: make(chan struct{})}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(c)
		}
	}()
	return l, listener.Addr().String(), nil
}

// setCut cuts the link or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.healed = make(chan struct{})
		l.site.note("link %s cut", l.name)
		return
	}
	close(l.healed)
	l.site.note("link %s healed", l.name)
}

// state reports whether the link is cut, and returns a channel that is closed when it is
// healed.
func (l *link) state() (cut bool, healed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.healed
}

// pass carries one connection of the machine.
func (l *link) pass(c net.Conn) {
	defer func() { _ = c.Close() }()
	if cut, _ := l.state(); cut {
		_, _ = io.Copy(io.Discard, c) // the connection was never opened: nothing of it arrives
		return
	}
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() {
		defer func() { _ = c.Close() }()
		l.carry(far, c, nil)
	}()
	if l.carry(c, far, c) == nil {
		_ = far.(*net.TCPConn).CloseWrite()                  // the machine has closed the connection
		_ = far.SetReadDeadline(time.Now().Add(time.Second)) // its answer, if there is one, goes nowhere
		_, _ = io.Copy(io.Discard, far)
	}
}

// carry copies bytes from one end to the other. During a cut it holds them up until the first
// repetition after the cut. It returns an error if the sender resets the connection: what is
// held up is lost then.
func (l *link) carry(from, to net.Conn, sender net.Conn) error {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		cut, healed := l.state()
		if n > 0 && cut {
			sent := time.Now()
			if sender != nil {
				l.site.note("link %s holds %d bytes up", l.name, n)
			}
			reset := make(chan struct{})
			rest := make(chan []byte, 1)
			go func() {
				data, err := io.ReadAll(from)
				if errors.Is(err, syscall.ECONNRESET) {
					close(reset)
				}
				rest <- data
			}()
			select {
			case <-healed:
			case <-reset:
				l.site.note("link %s: the sender has reset the connection, %d bytes are lost", l.name, n)
				return syscall.ECONNRESET
			}
			at := firstRepeat
			for wait := firstRepeat; sent.Add(at).Before(time.Now()); {
				wait *= 2
				at += wait
			}
			select {
			case <-time.After(time.Until(sent.Add(at))):
			case <-reset:
				return syscall.ECONNRESET
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
			if sender != nil {
				l.site.note("link %s: %d bytes arrive, %v after they were sent", l.name, n, time.Since(sent).Round(time.Millisecond))
			}
			_, err := to.Write(<-rest)
			return err
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
