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

// ProbeMethod is the method of the stream that carries probes.
const ProbeMethod = "probe"

// ErrClosed says that the pool has been closed.
var ErrClosed = errors.New("connector closed")

// Settings of a Pool.
type Settings struct {
	// ProbeInterval is the time between probes; 1 s if zero.
	ProbeInterval time.Duration

	// ProbeTimeout bounds dialling and the wait for a probe's reply; 2 s if
	// zero.
	ProbeTimeout time.Duration
}

func (s *Settings) fill() {
	if s.ProbeInterval == 0 {
		s.ProbeInterval = time.Second
	}
	if s.ProbeTimeout == 0 {
		s.ProbeTimeout = 2 * time.Second
	}
}

// Reply is what a probe brought back.
type Reply struct {
	Address string
	Message *wire.ProbeReply
	RTT     time.Duration
}

// Self makes the probe that is sent.
type Self func() *wire.Probe

// Observe takes each reply. Its Message is nil when the session was lost.
type Observe func(Reply)

// Pool holds the sessions of one process.
type Pool struct {
	network  radishspoke.Network
	settings Settings
	self     Self
	observe  Observe

	mu       sync.Mutex
	closed   bool
	sessions map[string]*session
	group    sync.WaitGroup
}

// New returns a Pool. Observe must not call the pool.
func New(n radishspoke.Network, s Settings, self Self, observe Observe) *Pool {
	s.fill()
	return &Pool{network: n, settings: s, self: self, observe: observe, sessions: map[string]*session{}}
}

type session struct {
	address string
	ready   chan struct{} // closed when mux and err are set
	mux     *yamux.Session
	err     error

	// incarnation is the peer's, from the first probe's reply.
	incarnation uint64
}

// Stream is an open stream and the incarnation of the process that it leads
// to.
type Stream struct {
	*encoder.Stream
	Incarnation uint64
}

// Open opens a stream to the process at address, dialling if need be.
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

// Call sends one request and waits for its reply, until ctx ends.
func Call[P any, MP encoder.Message[P]](ctx context.Context, p *Pool, address, method string, q proto.Message) (MP, error) {
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
	r := MP(new(P))
	if err := s.Read(r); err != nil {
		return nil, fmt.Errorf("reply to %s from %s: %w", method, address, err)
	}
	return r, nil
}

// Keep holds a session to each address: those that are missing are dialled
// anew each probe interval. Sessions to other addresses stay while they work.
func (p *Pool) Keep(addresses []string) {
	for _, a := range addresses {
		p.mu.Lock()
		_, ok := p.sessions[a]
		if !ok && !p.closed {
			p.dial(a)
		}
		p.mu.Unlock()
	}
}

// dial starts a session. The pool must be locked.
func (p *Pool) dial(address string) *session {
	s := &session{address: address, ready: make(chan struct{})}
	p.sessions[address] = s
	p.group.Add(1)
	go p.start(s)
	return s
}

// Forget closes the session to address, so that the next Open dials anew.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	s := p.sessions[address]
	p.mu.Unlock()
	if s != nil {
		p.drop(s)
	}
}

// Close ends every session and waits for its goroutines.
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

// get returns the live session to address, or makes one.
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

// start dials and exchanges the first probe, then probes until the end.
func (p *Pool) start(s *session) {
	defer p.group.Done()
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.ProbeTimeout)
	prober, err := p.connect(ctx, s)
	cancel()
	if err != nil {
		s.err = err
		p.remove(s)
		close(s.ready)
		p.observe(Reply{Address: s.address})
		return
	}
	close(s.ready)
	p.probe(s, prober)
}

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
	prober, reply, err := p.greet(m)
	if err != nil {
		_ = m.Close()
		return nil, fmt.Errorf("first probe: %w", err)
	}
	s.mux, s.incarnation = m, reply.Incarnation
	p.observe(Reply{Address: s.address, Message: reply, RTT: time.Since(sent)})
	return prober, nil
}

func (p *Pool) greet(m *yamux.Session) (*encoder.Stream, *wire.ProbeReply, error) {
	c, err := m.OpenStream()
	if err != nil {
		return nil, nil, fmt.Errorf("open stream: %w", err)
	}
	e := encoder.New(c)
	r, err := encoder.Call[wire.ProbeReply](e, ProbeMethod, p.self())
	return e, r, err
}

// probe sends a probe each interval and closes the session when one fails.
func (p *Pool) probe(s *session, e *encoder.Stream) {
	defer p.drop(s)
	t := time.NewTicker(p.settings.ProbeInterval)
	defer t.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			p.observe(Reply{Address: s.address})
			return
		case <-t.C:
		}
		guard := time.AfterFunc(p.settings.ProbeTimeout, func() { _ = s.mux.Close() })
		sent := time.Now()
		r := &wire.ProbeReply{}
		err := e.Write(p.self())
		if err == nil {
			err = e.Read(r)
		}
		guard.Stop()
		if err != nil {
			p.observe(Reply{Address: s.address})
			return
		}
		p.observe(Reply{Address: s.address, Message: r, RTT: time.Since(sent)})
	}
}

func (p *Pool) remove(s *session) {
	p.mu.Lock()
	if p.sessions[s.address] == s {
		delete(p.sessions, s.address)
	}
	p.mu.Unlock()
}

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

// MuxConfig returns the settings of the yamux sessions at both ends. The
// library's own keepalive is off: probes take its place.
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
