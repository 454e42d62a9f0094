package fake

import (
	"context"
	"net"
	"strings"
	"sync"

	"radishspoke"
)

// Endless is a network on which each connection leads to a server that answers a request with
// Start and then repeats a text until the connection is closed. Nothing is buffered on the
// way. It implements Dial of radishspoke.Network.
type Endless struct {
	radishspoke.Network
	Start, Repeated string

	servers sync.WaitGroup

	mu         sync.Mutex
	open, peak int64
}

// maxEndless ends a server that nobody stops reading from, in bytes.
const maxEndless = 64 << 20

// Dial implements radishspoke.Network.
func (e *Endless) Dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	e.servers.Go(func() { e.serve(server) })
	return client, nil
}

func (e *Endless) serve(c net.Conn) {
	sent := 0
	defer func() {
		_ = c.Close()
		e.add(-sent)
	}()
	if _, err := c.Read(make([]byte, 64<<10)); err != nil {
		return
	}
	text := e.Start
	for sent < maxEndless {
		n, err := c.Write([]byte(text))
		sent += n
		e.add(n)
		if err != nil {
			return
		}
		text = strings.Repeat(e.Repeated, 1+4096/len(e.Repeated))
	}
}

// add adds bytes to those that were sent on open connections.
func (e *Endless) add(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open += int64(n)
	e.peak = max(e.peak, e.open)
}

// Wait waits until all connections are closed, and returns the largest number of bytes that had
// been read from those that were open at one time.
func (e *Endless) Wait() int64 {
	e.servers.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peak
}
