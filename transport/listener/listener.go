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

// ProbeHandler returns the reply to a probe.
type ProbeHandler func(*wire.Probe) *wire.ProbeReply

// Server serves the sessions that other processes open. Create one with New.
type Server struct {
	methods     encoder.Methods
	handleProbe ProbeHandler
	idleTimeout time.Duration // time without a probe after which a session is closed
	log         *slog.Logger

	mu       sync.Mutex
	closed   bool
	sessions map[*yamux.Session]struct{}
	group    sync.WaitGroup
}

const idleTimeoutFactor = 3 // idle timeout of a session, in probe timeouts

// New returns a Server that serves streams with the handlers in m and answers probes
// with handleProbe. The map m must not be modified afterwards.
func New(m encoder.Methods, probeTimeout time.Duration, handleProbe ProbeHandler, log *slog.Logger) *Server {
	return &Server{
		methods:     m,
		handleProbe: handleProbe,
		idleTimeout: idleTimeoutFactor * probeTimeout,
		log:         log,
		sessions:    map[*yamux.Session]struct{}{},
	}
}

// Serve accepts and serves sessions until l is closed, and then returns nil. It
// returns an error if l fails. The contexts of the handlers are derived from ctx.
// The end of ctx does not end Serve.
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

// Close closes all sessions and waits until their handlers have returned.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for m := range s.sessions {
		_ = m.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// serveConn serves the session on a connection until it ends.
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
	idle := time.AfterFunc(s.idleTimeout, func() { _ = m.Close() })
	defer idle.Stop()
	for {
		st, err := m.AcceptStream()
		if err != nil {
			return
		}
		s.group.Add(1)
		go func() {
			defer s.group.Done()
			s.serveStream(ctx, m, encoder.New(st), idle)
		}()
	}
}

// serveStream calls the handler for the method of a stream. The end of the stream
// for probes closes the session.
func (s *Server) serveStream(ctx context.Context, m *yamux.Session, e *encoder.Stream, idle *time.Timer) {
	defer func() { _ = e.Close() }()
	var o wire.Open
	if err := e.Read(&o); err != nil {
		return
	}
	if o.Method == connector.ProbeMethod {
		s.serveProbes(e, idle)
		_ = m.Close()
		return
	}
	h, ok := s.methods[o.Method]
	if !ok {
		s.log.Warn("stream rejected: unknown method", "method", o.Method)
		return
	}
	if err := h(ctx, e); err != nil {
		s.log.Debug("stream ended", "method", o.Method, "error", err)
	}
}

// serveProbes answers probes until the stream ends, and restarts the idle timer of
// the session at each.
func (s *Server) serveProbes(e *encoder.Stream, idle *time.Timer) {
	for {
		q := &wire.Probe{}
		if err := e.Read(q); err != nil {
			return
		}
		idle.Reset(s.idleTimeout)
		if err := e.Write(s.handleProbe(q)); err != nil {
			return
		}
	}
}

// track adds a session to those that Close closes. It returns false if the server is
// closed.
func (s *Server) track(m *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[m] = struct{}{}
	return true
}

// untrack removes a session and closes it.
func (s *Server) untrack(m *yamux.Session) {
	s.mu.Lock()
	delete(s.sessions, m)
	s.mu.Unlock()
	_ = m.Close()
}
