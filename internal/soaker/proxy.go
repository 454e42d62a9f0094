package soaker

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Link is the state of a proxied way.
type Link struct {
	Delay time.Duration // of each piece of bytes, both ways

	// There and Back withhold bytes towards the server or from it. They are
	// delivered when the link is sound again.
	There, Back bool

	Refuse bool // new connections are reset
}

// proxy passes connections on to a server. It is a TCP proxy on loopback that
// can be made to fail.
type proxy struct {
	listener net.Listener
	server   string

	mu      sync.Mutex
	link    Link
	changed chan struct{} // closed when link changes
	conns   map[net.Conn]bool
	muted   time.Time // when bytes were withheld or delayed last
}

func newProxy(address, server string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: l, server: server, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		c, err := p.listener.Accept()
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
		go p.pass(c)
	}
}

// pass carries one connection.
func (p *proxy) pass(c net.Conn) {
	s, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	var tasks sync.WaitGroup
	tasks.Go(func() { p.copy(s, c, func(l Link) bool { return l.There }) })
	tasks.Go(func() { p.copy(c, s, func(l Link) bool { return l.Back }) })
	tasks.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
}

const copyBuffer = 16 << 10 // bytes

// copy carries bytes one way until an end of the connection closes.
func (p *proxy) copy(to, from net.Conn, withheld func(Link) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.wait(withheld)
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

// wait holds bytes back as long as the link says so.
func (p *proxy) wait(withheld func(Link) bool) {
	for {
		p.mu.Lock()
		l, changed := p.link, p.changed
		p.mu.Unlock()
		if !withheld(l) {
			time.Sleep(l.Delay)
			return
		}
		<-changed
	}
}

// set changes the link. With reset set, all connections are reset, too.
func (p *proxy) set(l Link, resets bool) {
	p.mu.Lock()
	if p.link != (Link{}) || l != (Link{}) {
		p.muted = time.Now()
	}
	p.link = l
	close(p.changed)
	p.changed = make(chan struct{})
	var conns []net.Conn
	if resets {
		for c := range p.conns {
			conns = append(conns, c)
		}
	}
	p.mu.Unlock()
	for _, c := range conns {
		reset(c)
	}
}

// sound tells whether the link was whole for as long as that.
func (p *proxy) sound(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link == (Link{}) && time.Since(p.muted) > d
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(Link{}, true)
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
