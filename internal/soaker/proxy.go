package soaker

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// linkState holds the faults of a proxied link. The zero value is a link without
// faults.
type linkState struct {
	Delay time.Duration // added to each chunk of bytes, in both directions

	// StallUpstream and StallDownstream hold back the bytes to the server and
	// from the server. The bytes are delivered when the stall is over, as TCP sends them
	// again, unless their sender has reset the connection.
	StallUpstream, StallDownstream bool

	// Repeat delays bytes that are held back until TCP would send them again: it waits for
	// firstRepeat after the first time, and twice as long each further time.
	Repeat bool

	Refuse bool // new connections are reset at once
}

// proxy is a TCP proxy on loopback that forwards connections to a server and
// injects link faults.
type proxy struct {
	address string
	server  string

	mu       sync.Mutex
	listener net.Listener
	link     linkState
	changed  chan struct{} // closed and replaced when link changes
	conns    map[net.Conn]bool
	faultyAt time.Time // last change to or from a faulty link
	healedAt []time.Time
	resetAt  time.Time // last reset of all connections
}

// newProxy starts a proxy that listens at address and forwards to server.
func newProxy(address, server string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{address: l.Addr().String(), listener: l, server: server, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.serve(l)
	return p, nil
}

func (p *proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed
		}
		p.mu.Lock()
		refuse := p.link.Refuse
		p.mu.Unlock()
		if refuse {
			reset(c)
			continue
		}
		go p.forward(c)
	}
}

// forward forwards one connection in both directions until it ends.
func (p *proxy) forward(c net.Conn) {
	s, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	var tasks sync.WaitGroup
	tasks.Go(func() { p.copy(s, c, func(l linkState) bool { return l.StallUpstream }) })
	tasks.Go(func() { p.copy(c, s, func(l linkState) bool { return l.StallDownstream }) })
	tasks.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
}

const copyBuffer = 16 << 10 // size of the largest chunk that is copied at once, in bytes

// copy copies bytes in one direction until either end of the connection closes.
// The function stalled reports whether this direction of a link is stalled. If the
// connection from is reset, the connection to is reset as well.
func (p *proxy) copy(to, from net.Conn, stalled func(linkState) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.awaitLink(stalled, from) {
				reset(from)
				reset(to)
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
				return
			}
			_ = to.Close()
			return
		}
	}
}

// awaitLink returns true when the direction is no longer stalled and the delay of the
// link has passed, and false if the sender resets the connection before that.
func (p *proxy) awaitLink(stalled func(linkState) bool, sender net.Conn) bool {
	sent, repeats := time.Now(), false
	for {
		p.mu.Lock()
		l, changed := p.link, p.changed
		p.mu.Unlock()
		if !stalled(l) {
			if repeats {
				time.Sleep(time.Until(nextRepeat(sent, time.Now())))
			}
			time.Sleep(l.Delay)
			return !isReset(sender)
		}
		repeats = l.Repeat
		select {
		case <-changed:
		case <-time.After(resetPoll):
			if isReset(sender) {
				return false
			}
		}
	}
}

const firstRepeat = 200 * time.Millisecond

// nextRepeat returns the time at or after now at which TCP repeats what it sent at the time sent.
func nextRepeat(sent, now time.Time) time.Time {
	next := sent.Add(firstRepeat)
	for wait := 2 * firstRepeat; next.Before(now); wait *= 2 {
		next = next.Add(wait)
	}
	return next
}

// resetPoll is the interval at which the sender of bytes that are held back is checked.
const resetPoll = 50 * time.Millisecond

// isReset returns whether the other end has reset a connection, also if bytes that arrived
// before have not been read.
func isReset(c net.Conn) bool {
	t, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true // closed from this side
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || i.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || closed
}

// setLink replaces the faults of the link. If resets is set, it also resets all
// open connections.
func (p *proxy) setLink(l linkState, resets bool) {
	p.mu.Lock()
	if p.link != (linkState{}) || l != (linkState{}) {
		p.faultyAt = time.Now()
	}
	if l == (linkState{}) {
		p.healedAt = append(p.healedAt, time.Now())
	}
	p.link = l
	close(p.changed)
	p.changed = make(chan struct{})
	var conns []net.Conn
	if resets {
		p.resetAt = time.Now()
		for c := range p.conns {
			conns = append(conns, c)
		}
	}
	p.mu.Unlock()
	for _, c := range conns {
		reset(c)
	}
}

// healthyFor reports whether the link has had no faults for longer than d.
func (p *proxy) healthyFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link == (linkState{}) && time.Since(p.faultyAt) > d
}

// stopListening stops the listener and resets all connections.
func (p *proxy) stopListening() {
	p.mu.Lock()
	_ = p.listener.Close()
	link := p.link
	p.mu.Unlock()
	p.setLink(link, true)
}

// listenAgain starts a new listener at the same address.
func (p *proxy) listenAgain() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "listen again for a proxy")
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.serve(l)
	return nil
}

// close stops the listener, removes the faults and resets all connections.
func (p *proxy) close() {
	p.stopListening()
	p.setLink(linkState{}, true)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
