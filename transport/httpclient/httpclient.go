package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/transport"
	"radishspoke/transport/callerwatcher"
	"radishspoke/transport/eventreader"
)

// Errors returned by Do.
var (
	// ErrNotSent is returned if no byte of the request can have reached the
	// target.
	ErrNotSent = errors.New("request was not sent")

	// ErrNoResponse is returned if the request may have reached the target, but
	// no response was received.
	ErrNoResponse = errors.New("no answer from the target")

	// ErrClosed is returned together with ErrNoResponse if the target closed the
	// connection, without a reset, before any byte of a response arrived.
	ErrClosed = errors.New("target closed the connection")
)

// Settings configures a Client.
type Settings struct {
	// IdleTimeout is the time for which an idle connection is kept open if the
	// target's response has no Keep-Alive timeout. If zero, it is 2 s.
	IdleTimeout time.Duration

	// MaxIdle is the maximum number of idle connections to one target. If zero,
	// it is 16.
	MaxIdle int

	// DialTimeout is the timeout for opening a connection. If zero, it is
	// 700 ms, which is less than the 1 s after which TCP retransmits a lost
	// SYN packet.
	DialTimeout time.Duration

	// OnSend, if it is not nil, is called before each call is sent on a connection.
	OnSend func(c *Call)

	// OnAnswer, if it is not nil, is called with the status and headers of each
	// response that belongs to a call, informational ones included, before Do returns.
	OnAnswer func(c *Call, status int, h http.Header)
}

const (
	defaultIdleTimeout = 2 * time.Second
	defaultMaxIdle     = 16
	defaultDialTimeout = 700 * time.Millisecond

	// idleMargin is subtracted from the Keep-Alive timeout of a target,
	// because the timeout starts at the target before the response arrives here.
	idleMargin = 500 * time.Millisecond

	// maxIdleTimeout bounds the Keep-Alive timeout of a target, which may be gone long
	// before.
	maxIdleTimeout = time.Hour

	// maxDirectBody is the maximum length, in bytes, of a body that is written
	// completely before the response is read. It fits into the socket buffers,
	// so the write does not wait for the target to read.
	maxDirectBody = 8 << 10

	readBufferSize = 4 << 10 // bytes
	maxStrays      = 2       // responses to other requests that are skipped, per call
	maxInterims    = 4       // informational (1xx) responses, per call

	// maxHeadBytes is the maximum number of bytes that are read for the head of one
	// response. The bound keeps a target that sends bytes without end from filling
	// the memory.
	maxHeadBytes = 64 << 10
)

// setDefaults replaces zero values by the defaults.
func (s *Settings) setDefaults() {
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	if s.MaxIdle == 0 {
		s.MaxIdle = defaultMaxIdle
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
}

// Call is one request to a target.
type Call struct {
	Method     string
	RequestURI string // encoded path and query, sent unchanged
	Host       string
	Header     http.Header
	Body       []byte

	// Instance is the id of the target's instance, for the callbacks in Settings. It is empty if
	// the call is not for a particular instance.
	Instance string

	// OnInterim is called with the status and headers of each informational (1xx)
	// response, if it is not nil.
	OnInterim func(status int, h http.Header)

	// Matches reports whether a response belongs to this call. If it is nil,
	// every response does. The argument first is set for the first response on a
	// connection, which can't be a late one to an earlier call.
	Matches func(status int, h http.Header, first bool) bool
}

// Client sends requests to targets and keeps idle connections for reuse.
// Create one with New. Its methods may be called concurrently.
type Client struct {
	settings Settings
	network  radishspoke.Network
	clock    radishspoke.Clock

	mu     sync.Mutex
	idle   map[string][]*connection // by address, most recently used last
	dialed int64
}

// New returns a client that dials through n and has no open connections.
func New(s Settings, n radishspoke.Network, c radishspoke.Clock) *Client {
	s.setDefaults()
	return &Client{settings: s, network: n, clock: c, idle: map[string][]*connection{}}
}

// connection is a connection to a target. It is used by one call at a time.
type connection struct {
	net.Conn
	address string
	source  *boundedReader
	reader  *bufio.Reader // reads from source
	expires time.Duration // time of the client's clock after which it is not reused
	used    bool          // a response has arrived on it
}

// Framing tells how the end of the body of a response is known.
type Framing string

// Ways of framing a body.
const (
	ByLength   Framing = "length" // the header has the length
	ByChunks   Framing = "chunks" // an empty chunk follows the body
	UntilClose Framing = "close"  // the body ends with the connection
)

// Response is the response of a target. It implements io.ReadCloser for the
// body, which must be read to the end or closed.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing

	client    *Client
	conn      *connection
	response  *http.Response
	writeDone <-chan error // result of writing the request; nil if written before the response was read
	release   func() bool  // detaches the connection from the call's context
	finished  bool         // whether finish has been called
}

// DialCount returns the number of connections that c has opened.
func (c *Client) DialCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// Do sends a request to the target at address and returns its response. The
// connection is closed when ctx ends, also while the body is being read, so that
// the target stops working on the request. Nothing is sent if ctx has ended, or if it belongs to a
// request whose caller has left, see package callerwatcher. The error wraps ErrNotSent or ErrNoResponse,
// and in the second case also ErrClosed if no byte of a response arrived.
func (c *Client) Do(ctx context.Context, address string, call *Call) (*Response, error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := callerwatcher.Check(ctx); err != nil {
		c.putBack(conn)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if c.settings.OnSend != nil {
		c.settings.OnSend(call)
	}
	r, err := c.exchange(conn, call)
	if err != nil {
		release()
		_ = conn.Close()
		return nil, err
	}
	r.client, r.release = c, release
	return r, nil
}

// connect returns an idle connection to address that can be reused, or opens a
// new one.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	for {
		conn := c.takeIdle(address)
		if conn == nil {
			break
		}
		if isReusable(conn.Conn) && conn.reader.Buffered() == 0 {
			return conn, nil
		}
		_ = conn.Close()
	}
	return c.dial(ctx, address)
}

// dial opens a connection to address.
func (c *Client) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.DialTimeout)
	defer cancel()
	n, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	source := &boundedReader{Reader: n}
	return &connection{Conn: n, address: address, source: source, reader: bufio.NewReaderSize(source, readBufferSize)}, nil
}

// Probe opens a connection to address and keeps it for a later call. The error wraps
// syscall.ECONNREFUSED if no process listens there.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	c.putIdle(conn, c.settings.IdleTimeout)
	return nil
}

// takeIdle removes the most recently used idle connection to address from the
// pool and returns it, or nil if there is none. It closes the expired ones that it
// finds.
func (c *Client) takeIdle(address string) *connection {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for len(conns) > 0 {
		conn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		c.idle[address] = conns
		if now < conn.expires {
			return conn
		}
		_ = conn.Close()
	}
	delete(c.idle, address)
	return nil
}

// putBack adds a connection on which nothing was sent to the pool.
func (c *Client) putBack(conn *connection) {
	timeout := c.settings.IdleTimeout
	if conn.expires > 0 { // it was idle before
		timeout = conn.expires - c.clock.Now()
	}
	c.putIdle(conn, timeout)
}

// putIdle adds a connection to the pool for the given time, or closes it if the
// pool holds the maximum number of connections to its address.
func (c *Client) putIdle(conn *connection, timeout time.Duration) {
	conn.expires = c.clock.Now() + timeout
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[conn.address]
	if len(conns) >= c.settings.MaxIdle {
		_ = conn.Close()
		return
	}
	c.idle[conn.address] = append(conns, conn)
}

// CloseIdle closes the idle connections to address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	conns := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// CloseExpired closes the idle connections that have expired. It must be
// called periodically, because nothing else closes connections to addresses
// that are no longer used.
func (c *Client) CloseExpired() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idle {
		n := 0
		for _, conn := range conns {
			if now < conn.expires {
				conns[n] = conn
				n++
			} else {
				_ = conn.Close()
			}
		}
		clear(conns[n:])
		c.idle[address] = conns[:n]
		if n == 0 {
			delete(c.idle, address)
		}
	}
}

// exchange writes a request and reads the status line and headers of its
// response. A longer body is written by a goroutine, because the target may
// respond before it has read the body. Informational responses and responses to
// other requests are skipped.
func (c *Client) exchange(conn *connection, call *Call) (*Response, error) {
	head := encodeHead(call)
	var writeDone chan error
	if len(call.Body) <= maxDirectBody {
		n, err := conn.Write(append(head, call.Body...))
		if err != nil && n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
	} else {
		writeDone = make(chan error, 1)
		go func() {
			b := net.Buffers{head, call.Body}
			_, err := b.WriteTo(conn.Conn)
			writeDone <- err
		}()
	}
	if err := conn.awaitResponse(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	for strays, interims := 0, 0; strays <= maxStrays && interims <= maxInterims; {
		conn.source.limit(maxHeadBytes)
		r, err := http.ReadResponse(conn.reader, &http.Request{Method: call.Method})
		conn.source.limit(noLimit)
		if err == nil {
			err = transport.CheckHead(r)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
		}
		if r.StatusCode >= http.StatusContinue && r.StatusCode < http.StatusOK {
			c.observe(call, r)
			if call.OnInterim != nil {
				call.OnInterim(r.StatusCode, r.Header)
			}
			interims++
			continue
		}
		first := !conn.used
		conn.used = true
		if call.Matches == nil || call.Matches(r.StatusCode, r.Header, first) {
			c.observe(call, r)
			eventreader.Check(r)
			return &Response{Status: r.StatusCode, Header: r.Header, Framing: framingOf(r), conn: conn, response: r, writeDone: writeDone}, nil
		}
		if err := discard(r); err != nil {
			return nil, fmt.Errorf("%w: skip an answer to another request: %w", ErrNoResponse, err)
		}
		strays++
	}
	return nil, fmt.Errorf("%w: only answers to other requests, or interim ones", ErrNoResponse)
}

// awaitResponse waits for the first byte of a response. It returns ErrClosed if the
// connection ends before it.
func (c *connection) awaitResponse() error {
	_, err := c.reader.Peek(1)
	if errors.Is(err, io.EOF) {
		return ErrClosed
	}
	return err
}

// observe calls Settings.OnAnswer.
func (c *Client) observe(call *Call, r *http.Response) {
	if c.settings.OnAnswer != nil {
		c.settings.OnAnswer(call, r.StatusCode, r.Header)
	}
}

// framingOf returns the framing of the body of a response.
func framingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return ByChunks
	case r.ContentLength >= 0:
		return ByLength
	}
	return UntilClose
}

// maxSkippedBody is the maximum length, in bytes, of the body of a response to
// another request that is read and discarded.
const maxSkippedBody = 1 << 20

// discard reads the body of a response to another request, so that the next
// response can be read from the connection.
func discard(r *http.Response) error {
	if framingOf(r) == UntilClose {
		return errors.New("answer has no length")
	}
	n, err := io.Copy(io.Discard, http.MaxBytesReader(nil, r.Body, maxSkippedBody))
	if err != nil {
		return fmt.Errorf("after %d bytes: %w", n, err)
	}
	return nil
}

// encodeHead returns the encoded request line and headers of a call. The slice
// has capacity for the body.
func encodeHead(call *Call) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 1024+len(call.Body)))
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.RequestURI)
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

// Read reads from the body. It returns io.EOF only at the end of a complete
// response. A body without framing, other than a stream of events, is taken as
// complete if the request was written and the connection was closed and not reset.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, errEOF) && r.Framing == UntilClose {
		err = r.checkUpload()
	}
	r.finish(errors.Is(err, errEOF))
	return n, err
}

// checkUpload returns io.EOF if the request was written, and an error that wraps
// io.ErrUnexpectedEOF otherwise. The system reports a reset of a connection once: if
// a write gets it, a read sees an ordinary end of the connection.
func (r *Response) checkUpload() error {
	if r.writeDone == nil {
		return errEOF
	}
	err := <-r.writeDone // ends with the connection
	r.writeDone = nil
	if err != nil {
		return fmt.Errorf("%w: connection ended before the request was written: %w", io.ErrUnexpectedEOF, err)
	}
	return errEOF
}

// Close releases the response. If its body was not read to the end, the
// connection is closed, so that the target stops working on the request.
func (r *Response) Close() error {
	r.finish(false)
	return nil
}

// finish returns the connection to the pool if another call can use it, and
// closes it otherwise. The argument is whether the body was read to the end.
func (r *Response) finish(complete bool) {
	if r.finished {
		return
	}
	r.finished = true
	sent := r.writeDone == nil
	if !sent {
		select {
		case err := <-r.writeDone:
			sent = err == nil
		default:
		}
	}
	// If release returns false, the context has ended and the connection is
	// being closed.
	if r.release() && complete && sent && r.Framing != UntilClose && !r.response.Close {
		r.client.putIdle(r.conn, r.idleTimeout())
		return
	}
	_ = r.conn.Close()
}

// idleTimeout returns the time for which the connection may be kept idle. It is
// derived from the timeout parameter of the Keep-Alive header, if there is one, up to
// maxIdleTimeout.
func (r *Response) idleTimeout() time.Duration {
	for _, v := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(v), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(max(0, min(n, int(maxIdleTimeout.Seconds()))))*time.Second - idleMargin
		}
	}
	return r.client.settings.IdleTimeout
}
