package listener

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"radishspoke/protocol/encoder"
	"radishspoke/protocol/wire"
	"radishspoke/transport/batcher"
	"radishspoke/transport/connector"
)

// Answer makes the reply to a probe.
type Answer func(*wire.Probe) *wire.ProbeReply

// Server serves the sessions of one process.
type Server struct {
	methods encoder.Methods
	answer  Answer
	silence time.Duration
	log     *slog.Logger

	mu     sync.Mutex
	closed bool
	muxes  map[*yamux.Session]struct{}
	group  sync.WaitGroup
}

const silentProbes = 3 // probe timeouts after which a session is closed

// New returns a Server. Methods must not change afterwards; probes are served
// beside them.
func New(m encoder.Methods, probeTimeout time.Duration, answer Answer, log *slog.Logger) *Server {
	return &Server{
		methods: m,
		answer:  answer,
		silence: silentProbes * probeTimeout,
		log:     log,
		muxes:   map[*yamux.Session]struct{}{},
	}
}

// Serve accepts sessions until l is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept session: %w", err)
		}
		s.group.Add(1)
		go func() {
			defer s.group.Done()
			s.serveConn(ctx, c)
		}()
	}
}

// Close ends every session and waits for its streams.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for m := range s.muxes {
		_ = m.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	m, err := yamux.Server(batcher.New(c), connector.MuxConfig())
	if err != nil {
		_ = c.Close()
		return
	}
	if !s.track(m) {
		_ = m.Close()
		return
	}
	defer s.untrack(m)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	guard := time.AfterFunc(s.silence, func() { _ = m.Close() })
	defer guard.Stop()
	for {
		st, err := m.AcceptStream()
		if err != nil {
			return
		}
		s.group.Add(1)
		go func() {
			defer s.group.Done()
			s.serveStream(ctx, m, encoder.New(st), guard)
		}()
	}
}

func (s *Server) serveStream(ctx context.Context, m *yamux.Session, e *encoder.Stream, guard *time.Timer) {
	defer func() { _ = e.Close() }()
	var o wire.Open
	if err := e.Read(&o); err != nil {
		return
	}
	if o.Method == connector.ProbeMethod {
		s.probes(e, guard)
		_ = m.Close()
		return
	}
	h, ok := s.methods[o.Method]
	if !ok {
		s.log.Warn("stream refused", "method", o.Method)
		return
	}
	if err := h(ctx, e); err != nil {
		s.log.Debug("stream ended", "method", o.Method, "error", err)
	}
}

// probes answers probes until the stream ends.
func (s *Server) probes(e *encoder.Stream, guard *time.Timer) {
	for {
		q := &wire.Probe{}
		if err := e.Read(q); err != nil {
			return
		}
		guard.Reset(s.silence)
		if err := e.Write(s.answer(q)); err != nil {
			return
		}
	}
}

func (s *Server) track(m *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.muxes[m] = struct{}{}
	return true
}

func (s *Server) untrack(m *yamux.Session) {
	s.mu.Lock()
	delete(s.muxes, m)
	s.mu.Unlock()
	_ = m.Close()
}
