package assembler

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// drainWait is the time that a draining listener waits for each further
	// connection.
	drainWait = 5 * time.Millisecond

	// maxDrainTime limits the total time of draining, from the first Accept on,
	// because callers that ignore readiness may keep connecting.
	maxDrainTime = 50 * time.Millisecond
)

// drainListener is a TCP listener that accepts the connections in its backlog
// before it closes. When a listener closes, the kernel resets the connections
// that were not accepted, and the requests on them are lost.
type drainListener struct {
	*net.TCPListener
	drained chan struct{} // closed after the listener has been drained and closed

	mu       sync.Mutex
	draining bool
	deadline time.Time // end of draining; zero before the first Accept that drains
}

func newDrainListener(l *net.TCPListener) *drainListener {
	return &drainListener{TCPListener: l, drained: make(chan struct{})}
}

// Accept implements net.Listener. While the listener drains, Accept returns the
// connections in the backlog, then closes the listener and returns
// net.ErrClosed.
func (d *drainListener) Accept() (net.Conn, error) {
	for backlogEmpty := false; ; {
		d.mu.Lock()
		if d.draining && d.deadline.IsZero() {
			d.deadline = time.Now().Add(maxDrainTime)
		}
		deadline := d.deadline
		if !deadline.IsZero() {
			// With a deadline in the past, Accept would fail without
			// checking the backlog.
			if err := d.SetDeadline(time.Now().Add(drainWait)); err != nil {
				d.mu.Unlock()
				return nil, err
			}
		}
		d.mu.Unlock()
		if !deadline.IsZero() && (backlogEmpty || time.Now().After(deadline)) {
			err := d.Close()
			close(d.drained)
			if err != nil {
				return nil, err
			}
			return nil, net.ErrClosed
		}
		c, err := d.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		backlogEmpty = !deadline.IsZero()
	}
}

// Drain closes the listener after the connections in its backlog have been
// accepted. It requires that Accept is being called, and blocks until the
// listener is closed. It returns an error if the Accept in progress cannot be
// interrupted.
func (d *drainListener) Drain() error {
	d.mu.Lock()
	d.draining = true
	err := d.SetDeadline(time.Now()) // interrupts the Accept in progress
	d.mu.Unlock()
	if err != nil {
		return err
	}
	<-d.drained
	return nil
}

// arrivalTime is the time after its acceptance, or after the end of a response, for
// which a connection without data counts as one on which a request may be arriving. It
// allows for a round trip to the caller and for scheduling delays.
const arrivalTime = 300 * time.Millisecond

// connTracker tracks the connections of an http.Server on which a request may be
// arriving or in progress.
type connTracker struct {
	mu     sync.Mutex
	quiet  map[net.Conn]time.Time // connections without a request in progress, and since when
	active map[net.Conn]bool
}

func newConnTracker() *connTracker {
	return &connTracker{quiet: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
}

// SetState records the new state of a connection. It is the ConnState callback
// of an http.Server.
func (a *connTracker) SetState(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.quiet, c)
	delete(a.active, c)
	switch s {
	case http.StateNew, http.StateIdle:
		a.quiet[c] = time.Now()
	case http.StateActive:
		a.active[c] = true
	}
}

// Count returns the number of connections on which a request may be arriving or
// in progress.
func (a *connTracker) Count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.active) + a.arriving()
}

// Arriving returns the number of connections without a request in progress on which one
// may be arriving.
func (a *connTracker) Arriving() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.arriving()
}

// arriving is Arriving for callers that hold the lock.
func (a *connTracker) arriving() int {
	n := 0
	for _, since := range a.quiet {
		if time.Since(since) < arrivalTime {
			n++
		}
	}
	return n
}
