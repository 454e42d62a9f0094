package budgeter

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// connCost is the memory of a connection without a request, in bytes: buffers, the
	// goroutine and its stack.
	connCost = 12 << 10

	// A head costs headFactor bytes for each of its bytes, as it is copied, and lineCost for
	// each line, which becomes an element of a map that is copied for the target.
	headFactor = 2
	lineCost   = 512

	// headSlack is the excess over the stated size of a head that is accepted. It covers the
	// request line, and the begin of the body that is read with the head.
	headSlack = 4 << 10 // bytes

	// timeSlack is added to the stated times, for scheduling delays.
	timeSlack = 500 * time.Millisecond

	// receiveBuffer bounds the bytes that wait to be read while no long body is expected,
	// bodyBuffer the same while one arrives, and sendBuffer what waits for a reader. With a
	// quarter of these sizes, bodies of 4 MiB took 0.4 s over the loopback interface instead
	// of 15 ms.
	receiveBuffer = 64 << 10  // bytes
	bodyBuffer    = 256 << 10 // bytes
	sendBuffer    = 128 << 10 // bytes

	// writePiece is the number of bytes that a reader must take within writeTime, or up to
	// writeExtra later.
	writePiece = 64 << 10
	writeTime  = 30 * time.Second
	writeExtra = 5 * time.Second

	refusalTime = 100 * time.Millisecond // limits the time to write a refusal
)

// Conn is a connection that a client has opened, whose memory is charged to a Budget.
type Conn struct {
	net.Conn
	budget  *Budget
	port    *port
	address string // IP address of the client, after the name of the port if that has a reserve

	running atomic.Bool // a request is being served; its head has been parsed

	// The fields below are guarded by budget.mu.
	held       int64 // bytes
	owner      *owner
	evicted    bool          // the connection is being closed, or its body given up
	pending    int64         // part of budget.pending
	wake       chan struct{} // closed when the connection is evicted while it waits; nil if it does not wait
	closed     bool
	counted    bool          // in budget.running
	list       int           // in budget.lists, or noList
	element    *list.Element // in that list
	receiving  bool          // in budget.bodies
	progressAt time.Time     // time at which minProgress bytes of the body had arrived

	// The fields below belong to the goroutine that reads.
	charged              bool // connCost
	headBytes, headLines int
	progress             int // bytes of the body since progressAt
	wide                 bool

	ownDeadline atomic.Bool  // the handler has set the deadline for writes
	writeUntil  atomic.Int64 // deadline for writes otherwise, in ns since the start of Unix time
}

// begin puts an accepted connection under the budget. It returns false if there are too many.
// The memory is charged by the first Read, which may wait.
func (b *Budget) begin(c *Conn) bool {
	b.mu.Lock()
	b.setOwner(c, c.address)
	var victims []victim
	if c.port.conns >= c.port.maxConns {
		if v := b.replaceable(c.port); v != nil {
			b.evict(v, reasonConnections)
			victims = append(victims, victim{v, reasonConnections})
		} else {
			b.setClosed(c)
			b.reporter.count(reasonConnections, c.address)
			b.mu.Unlock()
			return false
		}
	}
	c.port.conns++
	b.setWaiting(c, headList)
	b.mu.Unlock()
	b.end(victims)
	return true
}

// replaceable returns the connection of a port that is closed for a new one: of those that have
// sent no whole head, the oldest of those with the most memory, or else the one that has been
// idle for the longest time. The budget must be locked.
func (b *Budget) replaceable(p *port) *Conn {
	for l := lastList; l >= idleList; l-- {
		for e := b.lists[l].Front(); e != nil; e = e.Next() {
			if v := e.Value.(*Conn); v.port == p {
				return v
			}
		}
	}
	return nil
}

// setWaiting puts a connection into a list, or moves it there. The budget must be locked.
func (b *Budget) setWaiting(c *Conn, l int) {
	b.unlist(c)
	if !c.closed && !c.evicted {
		c.element, c.list = b.lists[l].PushBack(c), l
	}
}

// unlist removes a connection from its list. The budget must be locked.
func (b *Budget) unlist(c *Conn) {
	if c.list != noList {
		b.lists[c.list].Remove(c.element)
	}
	c.element, c.list = nil, noList
}

// setClosed releases all that a connection holds. The budget must be locked.
func (b *Budget) setClosed(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	b.unlist(c)
	b.stopRunning(c)
	b.settle(c)
	b.credit(c, c.held)
	if c.owner.conns--; c.owner.conns == 0 {
		delete(b.owners, c.owner.name)
	}
}

// stopRunning ends the request on a connection. The budget must be locked.
func (b *Budget) stopRunning(c *Conn) {
	if c.counted {
		b.running--
		c.counted = false
	}
	if c.receiving {
		delete(b.bodies, c)
		c.receiving = false
	}
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.budget.mu.Lock()
	if !c.closed {
		c.port.conns--
	}
	c.budget.setClosed(c)
	c.budget.mu.Unlock()
	return c.Conn.Close()
}

// setState follows the states of the HTTP server.
func (c *Conn) setState(s http.ConnState) {
	b := c.budget
	switch s {
	case http.StateActive:
		c.running.Store(true)
		b.mu.Lock()
		b.unlist(c)
		evicted := c.evicted
		b.mu.Unlock()
		if !evicted {
			_ = c.Conn.SetReadDeadline(time.Time{}) // fails if it is closed
		}
	case http.StateIdle:
		b.mu.Lock()
		b.setWaiting(c, idleList)
		evicted := c.evicted
		b.mu.Unlock()
		if evicted {
			_ = c.Conn.Close() // the server closes it once more
			return
		}
		c.headBytes, c.headLines = 0, 0
		c.running.Store(false)
		c.setWaitDeadline(Limits(c.port.limits()).IdleTime)
	}
}

// setWaitDeadline sets the deadline for the next bytes of a head.
func (c *Conn) setWaitDeadline(d time.Duration) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(d + timeSlack)) // fails if it is closed
}

// Read implements net.Conn. While a head arrives, it charges what the head costs, and ends
// the connection if the head is too long or does not fit into the budget.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.charged {
		c.charged = true
		if err := c.budget.charge(c, connCost); err != nil {
			return 0, c.refuse(http.StatusServiceUnavailable, reasonMemory)
		}
	}
	n, err := c.Conn.Read(p)
	if n == 0 || c.running.Load() {
		return n, err
	}
	b := c.budget
	limits := Limits(c.port.limits())
	if c.headBytes == 0 {
		b.mu.Lock()
		if c.list < headList {
			b.setWaiting(c, listOfHead(c.held))
		}
		b.mu.Unlock()
		c.setWaitDeadline(limits.HeaderTime)
	}
	lines := bytes.Count(p[:n], newline)
	c.headBytes, c.headLines = c.headBytes+n, c.headLines+lines
	if c.headBytes > limits.HeaderBytes+headSlack {
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonLongHead)
	}
	if err := b.charge(c, headCost(n, lines)); err != nil {
		return 0, c.refuse(http.StatusServiceUnavailable, reasonMemory)
	}
	return n, err
}

var newline = []byte{'\n'}

// headCost returns the cost of a part of a head.
func headCost(size, lines int) int64 { return int64(size*headFactor + lines*lineCost) }

// refuse answers an incomplete head with a status, and returns the error with which the server
// closes the connection. It reports a time-out, on which the server sends nothing itself.
func (c *Conn) refuse(status int, reason string) error {
	b := c.budget
	b.mu.Lock()
	evicted := c.evicted
	c.evicted = true // no handler may begin
	b.mu.Unlock()
	if evicted {
		return os.ErrDeadlineExceeded
	}
	b.reporter.count(reason, c.address)
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n", status, http.StatusText(status)) // a Buffer returns no errors
	if status == http.StatusServiceUnavailable {
		_ = b.settings.Refusal.Write(&text)
	}
	text.WriteString("\r\n")
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.Conn.Write(text.Bytes()) // a client that does not read it sees the connection close
	return os.ErrDeadlineExceeded
}

// Write implements net.Conn. It fails if the client does not read for writeTime, unless the
// handler has set a deadline.
func (c *Conn) Write(p []byte) (int, error) {
	if c.ownDeadline.Load() {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		// The deadline is kept for a while, as setting it costs more than reading the time.
		if now := time.Now(); c.writeUntil.Load() < now.Add(writeTime).UnixNano() {
			until := now.Add(writeTime + writeExtra)
			if err := c.Conn.SetWriteDeadline(until); err != nil {
				return written, fmt.Errorf("limit the time of a write: %w", err)
			}
			c.writeUntil.Store(until.UnixNano())
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			if os.IsTimeout(err) {
				c.budget.reporter.count(reasonReader, c.address)
			}
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
	}
}

// SetWriteDeadline implements net.Conn. If t is zero, the deadline of Write applies again.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if !c.ownDeadline.Swap(!t.IsZero()) && t.IsZero() {
		return nil
	}
	c.writeUntil.Store(0)
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. While a head is awaited, it has no effect, as the
// connection keeps the stated times itself, nor after the connection was evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if !c.running.Load() {
		return nil
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.evicted && !t.Equal(past) {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending direction, so that the client can read the end of an answer.
func (c *Conn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn. It returns an error if the connection is not of the system.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("access connection of type %T: %w", c.Conn, errors.ErrUnsupported)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("access connection: %w", err)
	}
	return raw, nil
}

// SetLinger sets what happens with unsent bytes when the connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if h, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return h.SetLinger(seconds)
	}
	return nil
}

func (c *Conn) setReceiveBuffer(size int) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(size) // fails if it is closed
	}
}

func hostOf(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return a.String()
}
