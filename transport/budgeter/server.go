package budgeter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"radishspoke"
)

// Port describes a port that clients can reach.
type Port struct {
	Name string // for metrics and the log

	// Share is the part of the descriptors for the connections of the port.
	Share float64

	// Reserved is set if the port has a reserve of memory, and counts what an address holds
	// apart from other ports.
	Reserved bool

	// Limits returns the stated limits of requests. The default is that nothing is stated.
	Limits func() radishspoke.CallerLimits
}

// Shares of the descriptors.
const (
	MainShare  = 0.5  // for the port of callers, and at sidecars for that of entries
	OtherShare = 0.05 // for each other port
)

// port is the state of a Port. The number of connections is guarded by Budget.mu.
type port struct {
	name     string
	limits   func() radishspoke.CallerLimits
	reserved bool
	maxConns int
	conns    int
}

const (
	// requestCost is the memory of a request that runs, in bytes: goroutines, the connection
	// to a target, the handles of its KV cache, and bytes in the receive buffer.
	requestCost = 48 << 10

	// bodyTime limits the time in which a body must arrive if the handler sets no limit.
	bodyTime = 10 * time.Second

	// drainTime limits the time for which the server reads the rest of a body that the
	// handler has not read, before it sends the answer.
	drainTime = 500 * time.Millisecond

	// maxHeadBytes is the limit of the HTTP server itself, in bytes. That of the
	// configuration applies first.
	maxHeadBytes = 1 << 20

	// RetryAfter is the time after which a refused client may try again.
	RetryAfter = 500 * time.Millisecond
)

// Protect makes an HTTP server charge its clients to the budget. The server must serve the
// listener that Protect returns, and no other one.
func (b *Budget) Protect(s *http.Server, l net.Listener, p Port) net.Listener {
	if p.Limits == nil {
		p.Limits = func() radishspoke.CallerLimits { return radishspoke.CallerLimits{} }
	}
	state := &port{name: p.Name, limits: p.Limits, reserved: p.Reserved, maxConns: max(1, int(p.Share*float64(b.sockets)))}
	s.Handler = b.handler(s.Handler)
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = 0, 0, maxHeadBytes // a Conn keeps the times
	next := s.ConnState
	s.ConnState = func(n net.Conn, st http.ConnState) {
		if c, ok := n.(*Conn); ok {
			c.setState(st)
		}
		if next != nil {
			next(n, st)
		}
	}
	inner := s.ConnContext
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, n)
		}
		return context.WithValue(ctx, connKey{}, n)
	}
	b.gauge(fmt.Sprintf("client_connections{port=%q}", p.Name), func() float64 { return float64(state.conns) })
	return &listener{Listener: l, budget: b, port: state}
}

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// From returns the connection of a request, or nil if it is not charged to a budget.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// listener returns Conns.
type listener struct {
	net.Listener
	budget *Budget
	port   *port
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: n, budget: l.budget, port: l.port, address: hostOf(n.RemoteAddr()), list: noList}
		if l.port.reserved {
			c.address = l.port.name + " " + c.address
		}
		if !l.budget.begin(c) {
			_ = n.Close() // nothing was sent
			continue
		}
		if t, ok := n.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(receiveBuffer) // fails if the client has closed it
			_ = t.SetWriteBuffer(sendBuffer)
		}
		c.setWaitDeadline(Limits(l.port.limits()).IdleTime)
		return c, nil
	}
}

// handler returns a handler that charges a request before it calls next.
func (b *Budget) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := From(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer c.finish(r)
		if reason := c.start(r); reason != "" {
			b.reporter.count(reason, c.address)
			c.abandon()
			for k, v := range b.settings.Refusal {
				w.Header()[k] = v
			}
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var rest *body
		if r.Body != nil && r.Body != http.NoBody {
			_ = c.SetReadDeadline(time.Now().Add(bodyTime)) // fails if it is closed
			rest = &body{ReadCloser: r.Body, conn: c}
			r.Body = rest
		}
		next.ServeHTTP(w, r)
		if rest != nil && !rest.ended.Load() {
			_ = c.SetReadDeadline(time.Now().Add(drainTime))
		}
	})
}

// start charges what a request costs from its head on, instead of what was charged while the
// head was read. It returns the reason if the request is refused.
func (c *Conn) start(r *http.Request) string {
	size, lines := len(r.RequestURI), 0
	for k, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			size += len(k) + len(v)
		}
	}
	b := c.budget
	b.mu.Lock()
	switch {
	case c.evicted:
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	case b.running >= b.maxRunning:
		b.mu.Unlock()
		return reasonRunning
	}
	b.running++
	c.counted = true
	change := connCost + requestCost + headCost(size, lines) - c.held
	if change <= 0 {
		b.credit(c, -change)
		b.mu.Unlock()
		return ""
	}
	b.mu.Unlock()
	if err := b.charge(c, change); err != nil {
		return reasonMemory
	}
	return ""
}

// finish releases what a request costs when its handler has returned. The server may keep the
// connection and the request for another half second, so that the client can read the answer.
func (c *Conn) finish(r *http.Request) {
	r.Header = nil
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopRunning(c)
	b.setOwner(c, c.address)
	b.credit(c, max(0, c.held-connCost)) // it holds nothing if it is closed
	b.settle(c)
}

// abandon ends the reading of a body, so that the server does not wait for the rest of it.
func (c *Conn) abandon() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.evicted = true
	_ = c.Conn.SetReadDeadline(past) // fails if it is closed
}

// body is the body of a request. At its end it removes the deadline, which would otherwise end
// the request, as the server goes on reading to see whether the client leaves.
type body struct {
	io.ReadCloser
	conn  *Conn
	ended atomic.Bool
}

// Read implements io.Reader.
func (d *body) Read(p []byte) (int, error) {
	n, err := d.ReadCloser.Read(p)
	if err == io.EOF && !d.ended.Swap(true) {
		_ = d.conn.SetReadDeadline(time.Time{}) // fails if it is closed
	}
	return n, err
}
