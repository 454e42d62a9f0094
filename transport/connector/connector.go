package connector

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"radishspoke"
	"radishspoke/protocol/encoder"
	"radishspoke/protocol/wire"
	"radishspoke/transport/batcher"
)

// ProbeMethod is the method name of the stream that carries the probes.
const ProbeMethod = "probe"

// ErrClosed is returned by Open and Call after the pool has been closed.
var ErrClosed = errors.New("connector closed")

// Settings configures a Pool.
type Settings struct {
	// ProbeInterval is the time between probes. If zero, it is 1 s.
	ProbeInterval time.Duration

	// ProbeTimeout is the timeout for starting a session, including its first
	// probe, and for the reply to each later probe. If zero, it is 2 s.
	ProbeTimeout time.Duration
}

// setDefaults replaces zero values by the defaults.
func (s *Settings) setDefaults() {
	if s.ProbeInterval == 0 {
		s.ProbeInterval = time.Second
	}
	if s.ProbeTimeout == 0 {
		s.ProbeTimeout = 2 * time.Second
	}
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Address string           // of the peer
	Message *wire.ProbeReply // the reply; nil if the session could not be started or was lost
	RTT     time.Duration    // time from sending the probe to receiving the reply
}

// ProbeFunc returns the next probe to send.
type ProbeFunc func() *wire.Probe

// ResultFunc handles the result of a probe.
type ResultFunc func(ProbeResult)

// Pool holds the sessions of a process to its peers. Create one with New. Its
// methods may be called concurrently.
type Pool struct {
	network  radishspoke.Network
	settings Settings
	newProbe ProbeFunc
	onResult ResultFunc

	mu       sync.Mutex
	closed   bool
	sessions map[string]*session
	group    sync.WaitGroup
}

// New returns a Pool that dials through n and has no sessions. It sends the probes
// that newProbe returns, and calls onResult with each result. The function onResult
// must not call the pool.
func New(n radishspoke.Network, s Settings, newProbe ProbeFunc, onResult ResultFunc) *Pool {
	s.setDefaults()
	return &Pool{network: n, settings: s, newProbe: newProbe, onResult: onResult, sessions: map[string]*session{}}
}

// session is a session to one peer. The fields mux, err and incarnation must not be
// read before ready is closed.
type session struct {
	address string
	ready   chan struct{} // closed when the session has started or failed to
	mux     *yamux.Session
	err     error

	// incarnation is the incarnation of the peer, as in its reply to the
	// first probe.
	incarnation uint64
}

// Stream is an open stream to a peer.
type Stream struct {
	*encoder.Stream
	Incarnation uint64 // of the peer
}

// Open opens a stream to the process at address. If there is no session to it, Open
// dials one first.
func (p *Pool) Open(ctx context.Context, address, method string) (Stream, error) {
	s, err := p.get(ctx, address)
	if err != nil {
		return Stream{}, fmt.Errorf("session to %s: %w", address, err)
	}
	c, err := s.mux.OpenStream()
	if err != nil {
		p.drop(s)
		return Stream{}, fmt.Errorf("open stream to %s: %w", address, err)
	}
	e := encoder.New(c)
	if err := e.Write(&wire.Open{Method: method}); err != nil {
		_ = e.Close()
		return Stream{}, fmt.Errorf("open %s at %s: %w", method, address, err)
	}
	return Stream{Stream: e, Incarnation: s.incarnation}, nil
}

// Call sends one request on a new stream to the process at address and returns its
// reply, a message of type Reply. It fails if ctx ends before the reply has been
// received.
func Call[Reply any, ReplyPtr encoder.Message[Reply]](ctx context.Context, p *Pool, address, method string, q proto.Message) (ReplyPtr, error) {
	s, err := p.Open(ctx, address, method)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	defer func() { _ = s.Close() }()
	if err := s.Write(q); err != nil {
		return nil, fmt.Errorf("send %s to %s: %w", method, address, err)
	}
	r := ReplyPtr(new(Reply))
	if err := s.Read(r); err != nil {
		return nil, fmt.Errorf("reply to %s from %s: %w", method, address, err)
	}
	return r, nil
}

// EnsureSessions starts dialling a session to each address that has none. It
// does not close the sessions to other addresses. It must be called
// periodically to restore lost sessions.
func (p *Pool) EnsureSessions(addresses []string) {
	for _, a := range addresses {
		p.mu.Lock()
		_, ok := p.sessions[a]
		if !ok && !p.closed {
			p.dial(a)
		}
		p.mu.Unlock()
	}
}

// dial starts a session in the background and returns it. The caller must hold p.mu.
func (p *Pool) dial(address string) *session {
	s := &session{address: address, ready: make(chan struct{})}
	p.sessions[address] = s
	p.group.Add(1)
	go p.start(s)
	return s
}

// CloseSession closes the session to address, so that the next Open dials a new one.
func (p *Pool) CloseSession(address string) {
	p.mu.Lock()
	s := p.sessions[address]
	p.mu.Unlock()
	if s != nil {
		p.drop(s)
	}
}

// Close closes all sessions and waits for their goroutines to return.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	all := make([]*session, 0, len(p.sessions))
	for _, s := range p.sessions {
		all = append(all, s)
	}
	p.mu.Unlock()
	for _, s := range all {
		<-s.ready
		p.drop(s)
	}
	p.group.Wait()
}

// get returns the session to address once it is ready, and dials one if there is
// none.
func (p *Pool) get(ctx context.Context, address string) (*session, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	s, ok := p.sessions[address]
	if !ok {
		s = p.dial(address)
	}
	p.mu.Unlock()
	select {
	case <-s.ready:
		return s, s.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// start connects a session and then sends probes until the session ends.
func (p *Pool) start(s *session) {
	defer p.group.Done()
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.ProbeTimeout)
	probes, err := p.connect(ctx, s)
	cancel()
	if err != nil {
		s.err = err
		p.remove(s)
		close(s.ready)
		p.onResult(ProbeResult{Address: s.address})
		return
	}
	close(s.ready)
	p.probe(s, probes)
}

// connect dials the peer of a session and exchanges the first probe. It returns the
// stream for the further probes.
func (p *Pool) connect(ctx context.Context, s *session) (*encoder.Stream, error) {
	c, err := p.network.Dial(ctx, s.address)
	if err != nil {
		return nil, err
	}
	m, err := yamux.Client(batcher.New(c), MuxConfig())
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("start session: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = m.Close() })
	defer stop()
	sent := time.Now()
	probes, reply, err := p.firstProbe(m)
	if err != nil {
		_ = m.Close()
		return nil, fmt.Errorf("first probe: %w", err)
	}
	s.mux, s.incarnation = m, reply.Incarnation
	p.onResult(ProbeResult{Address: s.address, Message: reply, RTT: time.Since(sent)})
	return probes, nil
}

// firstProbe opens the stream for probes and exchanges the first one.
func (p *Pool) firstProbe(m *yamux.Session) (*encoder.Stream, *wire.ProbeReply, error) {
	c, err := m.OpenStream()
	if err != nil {
		return nil, nil, fmt.Errorf("open stream: %w", err)
	}
	e := encoder.New(c)
	r, err := encoder.Call[wire.ProbeReply](e, ProbeMethod, p.newProbe())
	return e, r, err
}

// probe sends a probe on e at each interval. It returns when a probe fails or the
// session is closed, and then removes the session from the pool.
func (p *Pool) probe(s *session, e *encoder.Stream) {
	defer p.drop(s)
	t := time.NewTicker(p.settings.ProbeInterval)
	defer t.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			p.onResult(ProbeResult{Address: s.address})
			return
		case <-t.C:
		}
		timeout := time.AfterFunc(p.settings.ProbeTimeout, func() { _ = s.mux.Close() })
		sent := time.Now()
		r := &wire.ProbeReply{}
		err := e.Write(p.newProbe())
		if err == nil {
			err = e.Read(r)
		}
		timeout.Stop()
		if err != nil {
			p.onResult(ProbeResult{Address: s.address})
			return
		}
		p.onResult(ProbeResult{Address: s.address, Message: r, RTT: time.Since(sent)})
	}
}

// remove removes a session from the pool, unless another one has replaced it.
func (p *Pool) remove(s *session) {
	p.mu.Lock()
	if p.sessions[s.address] == s {
		delete(p.sessions, s.address)
	}
	p.mu.Unlock()
}

// drop removes a session from the pool and closes it if it has started.
func (p *Pool) drop(s *session) {
	p.remove(s)
	select {
	case <-s.ready:
	default:
		return
	}
	if s.mux != nil {
		_ = s.mux.Close()
	}
}

// MuxConfig returns the yamux configuration for both ends of a session. The
// keepalive of the library is off, because the probes replace it.
func MuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.LogOutput = io.Discard
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = streamCloseTimeout
	c.ConnectionWriteTimeout = writeTimeout
	c.AcceptBacklog = acceptBacklog
	return c
}

const (
	streamCloseTimeout = 10 * time.Second
	writeTimeout       = 10 * time.Second
	acceptBacklog      = 4096 // streams
)
