//go:build review

package harness

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// link passes connections on to an address and shares a rate among all bytes that come from
// there, as the link of a host does.
type link struct {
	target string
	rate   float64 // bytes a second

	mu   sync.Mutex
	free time.Time // time at which all bytes so far have passed
}

// chunk is the number of bytes that pass at a time.
const chunk = 4 << 10

// newLink listens on a free port and returns the address of the link.
func newLink(target string, mbps float64) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen as link: %w", err)
	}
	k := &link{target: target, rate: mbps * 1e6 / 8}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return l.Addr().String(), nil
}

// serve passes one connection on.
func (k *link) serve(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close() // the host has closed the connection
	}()
	b := make([]byte, chunk)
	for {
		n, err := far.Read(b)
		if n > 0 {
			k.wait(n)
			if _, err := near.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns when n further bytes have passed.
func (k *link) wait(n int) {
	k.mu.Lock()
	if now := time.Now(); k.free.Before(now) {
		k.free = now
	}
	k.free = k.free.Add(time.Duration(float64(n) / k.rate * float64(time.Second)))
	until := k.free
	k.mu.Unlock()
	time.Sleep(time.Until(until))
}
