package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

// Errors of calls.
var (
	// ErrNotSent says that no byte of the request can have reached the
	// target.
	ErrNotSent = errors.New("request was not sent")

	// ErrLost says that the request may have reached the target and that no
	// answer came.
	ErrLost = errors.New("no answer from the target")
)

// Settings of a Caller.
type Settings struct {
	// Idle is how long a connection is kept whose target states no time;
	// 2 s if zero.
	Idle time.Duration

	// Kept is the most idle connections to one target; 16 if zero.
	Kept int

	// DialTimeout bounds the opening of a connection; 700 ms if zero: a
	// lost packet is sent again after a second.
	DialTimeout time.Duration
}

const (
	defaultIdle = 2 * time.Second
	defaultKept = 16
	defaultDial = 700 * time.Millisecond

	// idleMargin is taken off the time that a target states, as its clock
	// started earlier.
	idleMargin = 500 * time.Millisecond

	// directBody is the longest body, in bytes, that is written before the
	// answer is read; it fits into the buffers of a connection.
	directBody = 8 << 10

	readBuffer  = 4 << 10 // bytes
	mostStray   = 2       // answers to earlier requests that are passed over
	mostInterim = 4       // interim answers to one request
)

func (s *Settings) fill() {
	if s.Idle == 0 {
		s.Idle = defaultIdle
	}
	if s.Kept == 0 {
		s.Kept = defaultKept
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDial
	}
}

// Call is one request to a target.
type Call struct {
	Method string
	Target string // path and query, as they go on the wire
	Host   string
	Header http.Header
	Body   []byte

	// Interim is called with the status and headers of each interim answer;
	// nil for nobody.
	Interim func(status int, h http.Header)

	// Mine tells whether an answer belongs to this call; nil for any.
	Mine func(status int, h http.Header) bool
}

// Caller keeps connections to targets. Make it with New.
type Caller struct {
	settings Settings
	network  radishspoke.Network
	clock    radishspoke.Clock

	mu     sync.Mutex
	idle   map[string][]*connection // by address, the newest last
	dialed int64
}

// New returns a Caller without connections.
func New(s Settings, n radishspoke.Network, c radishspoke.Clock) *Caller {
	s.fill()
	return &Caller{settings: s, network: n, clock: c, idle: map[string][]*connection{}}
}

// connection is one connection to a target; it carries one call at a time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	until   time.Duration // when it is no longer reused
}

// Answer is a target's answer. Its body must be read to its end or closed.
type Answer struct {
	Status int
	Header http.Header

	caller   *Caller
	conn     *connection
	response *http.Response
	written  <-chan error // nil when the whole request is written
	release  func() bool
	framed   bool
	ended    bool
}

// Dialed returns the number of connections opened so far.
func (c *Caller) Dialed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// Do makes a call. When ctx ends, the connection is closed, which ends the
// target's work, also while the body is read. The error is ErrNotSent or
// ErrLost.
func (c *Caller) Do(ctx context.Context, address string, call *Call) (*Answer, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	a, err := c.exchange(conn, call)
	if err != nil {
		release()
		_ = conn.Close()
		return nil, err
	}
	a.caller, a.release = c, release
	return a, nil
}

// connect takes a kept connection that is still sound, or dials.
func (c *Caller) connect(ctx context.Context, address string) (*connection, error) {
	for {
		conn := c.take(address)
		if conn == nil {
			break
		}
		if sound(conn.Conn) && conn.reader.Buffered() == 0 {
			return conn, nil
		}
		_ = conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.DialTimeout)
	defer cancel()
	n, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	return &connection{Conn: n, address: address, reader: bufio.NewReaderSize(n, readBuffer)}, nil
}

// take removes the newest kept connection to a target and closes those that
// are too old.
func (c *Caller) take(address string) *connection {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	for len(kept) > 0 {
		conn := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		c.idle[address] = kept
		if now < conn.until {
			return conn
		}
		_ = conn.Close()
	}
	delete(c.idle, address)
	return nil
}

// put keeps a connection for later calls.
func (c *Caller) put(conn *connection, idle time.Duration) {
	conn.until = c.clock.Now() + idle
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[conn.address]
	if len(kept) >= c.settings.Kept {
		_ = conn.Close()
		return
	}
	c.idle[conn.address] = append(kept, conn)
}

// Forget closes the kept connections to a target.
func (c *Caller) Forget(address string) {
	c.mu.Lock()
	kept := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range kept {
		_ = conn.Close()
	}
}

// Sweep closes kept connections whose time is over.
func (c *Caller) Sweep() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.idle {
		n := 0
		for _, conn := range kept {
			if now < conn.until {
				kept[n] = conn
				n++
			} else {
				_ = conn.Close()
			}
		}
		clear(kept[n:])
		c.idle[address] = kept[:n]
		if n == 0 {
			delete(c.idle, address)
		}
	}
}

// exchange writes a call and reads the head of its answer.
func (c *Caller) exchange(conn *connection, call *Call) (*Answer, error) {
	head := head(call)
	var written chan error
	if len(call.Body) <= directBody {
		n, err := conn.Write(append(head, call.Body...))
		if err != nil && n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrLost, err)
		}
	} else {
		written = make(chan error, 1)
		go func() {
			b := net.Buffers{head, call.Body}
			_, err := b.WriteTo(conn.Conn)
			written <- err
		}()
	}
	for strays, interims := 0, 0; strays <= mostStray && interims <= mostInterim; {
		r, err := http.ReadResponse(conn.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrLost, err)
		}
		if r.StatusCode >= http.StatusContinue && r.StatusCode < http.StatusOK {
			if call.Interim != nil {
				call.Interim(r.StatusCode, r.Header)
			}
			interims++
			continue
		}
		if call.Mine == nil || call.Mine(r.StatusCode, r.Header) {
			framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
			return &Answer{Status: r.StatusCode, Header: r.Header, conn: conn, response: r, written: written, framed: framed}, nil
		}
		if err := discard(r); err != nil {
			return nil, fmt.Errorf("%w: skip an answer to another request: %w", ErrLost, err)
		}
		strays++
	}
	return nil, fmt.Errorf("%w: only answers to other requests, or interim ones", ErrLost)
}

const mostSkipped = 1 << 20 // bytes of an answer to another request

func discard(r *http.Response) error {
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return errors.New("answer has no length")
	}
	var sink bytes.Buffer
	n, err := sink.ReadFrom(http.MaxBytesReader(nil, r.Body, mostSkipped))
	if err != nil {
		return fmt.Errorf("after %d bytes: %w", n, err)
	}
	return nil
}

// head returns a call's request line and headers.
func head(call *Call) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 1024+len(call.Body)))
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	_ = call.Header.WriteSubset(b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Read implements io.Reader for the body. It returns io.EOF only at the end of
// a whole answer.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	a.finish(errors.Is(err, errEOF))
	return n, err
}

// Close ends the answer. If its body was not read to the end, the connection
// is closed, which ends the target's work.
func (a *Answer) Close() error {
	a.finish(false)
	return nil
}

// finish keeps the connection if another call may use it.
func (a *Answer) finish(whole bool) {
	if a.ended {
		return
	}
	a.ended = true
	sent := a.written == nil
	if !sent {
		select {
		case err := <-a.written:
			sent = err == nil
		default:
		}
	}
	// When release fails, ctx has ended and the connection is being closed.
	if a.release() && whole && sent && a.framed && !a.response.Close {
		a.caller.put(a.conn, a.keep())
		return
	}
	_ = a.conn.Close()
}

// keep returns how long the target lets the connection stay idle.
func (a *Answer) keep() time.Duration {
	for _, v := range strings.Split(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(v), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return a.caller.settings.Idle
}
