package fake

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

// Errors returned by connections of a Network.
var (
	ErrRefused = errors.New("connection refused")
	ErrReset   = errors.New("connection reset by peer")
)

// Network is an in-memory network that connects hosts and can be partitioned. It
// is safe for concurrent use. Create it with NewNetwork.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cuts      map[link]bool
}

// link is the link from one host to another, in this direction only.
type link struct{ from, to string }

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, cuts: map[link]bool{}}
}

// Host returns the network as seen by the host of the given name.
func (n *Network) Host(name string) radishspoke.Network { return &hostNetwork{network: n, name: name} }

// Cut cuts the link from one host to another until Heal. All bytes sent over it on
// open connections are lost, and a Dial between the hosts, in either direction, fails
// when its context ends.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = true
	for c := range n.conns {
		if c.local == from && c.remote == to {
			c.out.blackhole()
		}
	}
}

// Isolate cuts the links between a host and each of the others, in both
// directions.
func (n *Network) Isolate(host string, others ...string) {
	for _, o := range others {
		n.Cut(host, o)
		n.Cut(o, host)
	}
}

// Heal restores all links for new connections. Connections that were open at a cut
// continue to lose all bytes in its direction.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[link]bool{}
}

// Blackhole makes the open connections between two hosts lose all bytes in
// both directions permanently. New connections work.
func (n *Network) Blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local == a && c.remote == b || c.local == b && c.remote == a {
			c.out.blackhole()
		}
	}
}

// Reset resets the open connections between two hosts. Reads and writes at both
// ends then return ErrReset.
func (n *Network) Reset(a, b string) {
	for _, c := range n.connsBetween(a, b) {
		c.out.fail(ErrReset)
		c.in.fail(ErrReset)
	}
}

// Connections returns the number of open connections between two hosts.
func (n *Network) Connections(a, b string) int { return len(n.connsBetween(a, b)) / 2 }

// connsBetween returns both ends of each open connection between two hosts.
func (n *Network) connsBetween(a, b string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*conn
	for c := range n.conns {
		if c.local == a && c.remote == b || c.local == b && c.remote == a {
			out = append(out, c)
		}
	}
	return out
}

// hostNetwork is the network as seen by one host.
type hostNetwork struct {
	network *Network
	name    string
}

// Listen implements radishspoke.Network. It returns an error if the address is in
// use.
func (h *hostNetwork) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, errors.Errorf("listen at %s: address in use", address)
	}
	l := &listener{network: n, host: h.name, address: address, queue: make(chan *conn, acceptQueue), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

const acceptQueue = 1024 // maximum number of connections that wait for Accept

// Dial implements radishspoke.Network. If the link is cut in either direction, it
// waits until ctx ends and returns an error that wraps that of ctx. The error wraps
// ErrRefused if no host listens at the address.
func (h *hostNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l, ok := n.listeners[address]
	if !ok {
		n.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrRefused}
	}
	if n.cuts[link{h.name, l.host}] || n.cuts[link{l.host, h.name}] {
		n.mu.Unlock()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	a, b := n.newConnPair(h.name, l.host, address)
	n.mu.Unlock()
	select {
	case l.queue <- b:
		return a, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrRefused}
	}
}

// newConnPair returns the two ends of a new connection. The network must be
// locked.
func (n *Network) newConnPair(from, to, address string) (*conn, *conn) {
	out, back := newPipe(), newPipe()
	a := &conn{network: n, local: from, remote: to, address: address, in: back, out: out}
	b := &conn{network: n, local: to, remote: from, address: address, in: out, out: back}
	n.conns[a], n.conns[b] = struct{}{}, struct{}{}
	return a, b
}

type listener struct {
	network *Network
	host    string
	address string
	queue   chan *conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections not yet accepted are closed.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.queue:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote string
	address       string // of the listener
	in, out       *pipe
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.out.closeWrite()
	c.in.fail(net.ErrClosed)
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.address) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.address) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

const pipeSize = 256 << 10 // a write waits while at least this many bytes are in transit

// pipe is one direction of a connection.
type pipe struct {
	mu            sync.Mutex
	changed       sync.Cond // signals a change of any field
	data          []byte    // in transit
	err           error     // returned to both ends
	writeClosed   bool      // the writing end is closed
	blackholed    bool      // all bytes written are lost, and the reader sees no end of the stream
	readDeadline  deadline
	writeDeadline deadline
}

// deadline is the time from which on reads or writes fail. At that time, the timer
// wakes the calls that wait.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newPipe() *pipe {
	p := &pipe{}
	p.changed.L = &p.mu
	return p
}

// read waits for bytes, the end of the stream, an error or the read deadline.
func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case p.err != nil:
			return 0, p.err
		case len(p.data) > 0:
			n := copy(b, p.data)
			p.data = p.data[n:]
			p.changed.Broadcast()
			return n, nil
		case p.writeClosed && !p.blackholed:
			return 0, io.EOF
		}
		p.changed.Wait()
	}
}

// write waits for room in the pipe, an error or the write deadline.
func (p *pipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.writeDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case p.err != nil:
			return 0, p.err
		case p.writeClosed:
			return 0, net.ErrClosed
		case p.blackholed:
			return len(b), nil
		case len(p.data) < pipeSize:
			p.data = append(p.data, b...)
			p.changed.Broadcast()
			return len(b), nil
		}
		p.changed.Wait()
	}
}

// blackhole drops the bytes in transit and all that are written later.
func (p *pipe) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = true
	p.data = nil
	p.changed.Broadcast()
}

// fail makes reads and writes at both ends return err, unless they already return an
// earlier error.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
	p.changed.Broadcast()
}

// closeWrite closes the writing end. The reader still receives the bytes in transit.
func (p *pipe) closeWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeClosed = true
	p.changed.Broadcast()
}

func (p *pipe) setReadDeadline(t time.Time) { p.setDeadline(&p.readDeadline, t) }

func (p *pipe) setWriteDeadline(t time.Time) { p.setDeadline(&p.writeDeadline, t) }

func (p *pipe) setDeadline(d *deadline, t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = t
	// A timer for a deadline that has passed would run at once on this
	// goroutine, which crashes the race detector in a synctest bubble (Go
	// 1.26).
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		d.timer = time.AfterFunc(wait, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.changed.Broadcast()
		})
	}
	p.changed.Broadcast()
}
