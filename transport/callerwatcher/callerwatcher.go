package callerwatcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// ErrLeft is the cause with which the context of a request ends if its caller has left.
var ErrLeft = fmt.Errorf("caller has left: %w", context.Canceled)

// interval is the time between two looks at the connections of requests in progress.
const interval = 100 * time.Millisecond

// Notice tells what has noticed that a caller left.
type Notice string

// Ways in which it is noticed that a caller left.
const (
	ByServer Notice = "server" // the HTTP server has read the end of the connection
	ByCall   Notice = "call"   // a call was about to be made for the request
	ByLook   Notice = "look"   // a periodic look at the connection
)

// Recorder records the requests whose callers have left.
type Recorder interface {
	// ObserveLeft records that a caller has left, what has noticed it, and for how long the
	// close had not been noticed; negative if that is not known.
	ObserveLeft(notice string, late time.Duration)

	// ObserveAbandoned records the time from then to the end of the work on the request.
	ObserveAbandoned(d time.Duration)

	// ObserveCall records that a call is about to be made for a request, and whether its
	// caller has left.
	ObserveCall(left bool)
}

// Watcher looks at the connections of the callers of HTTP servers. Create it with New.
type Watcher struct {
	recorder Recorder

	mu       sync.Mutex
	requests map[*request]struct{} // in progress
}

// New returns a Watcher without servers.
func New(r Recorder) *Watcher {
	return &Watcher{recorder: r, requests: map[*request]struct{}{}}
}

// request is a request in progress.
type request struct {
	server context.Context // of the HTTP server; it ends when the server has noticed that the caller left
	conn   syscall.RawConn
	began  time.Time
	end    context.CancelCauseFunc
	record Recorder

	mu     sync.Mutex
	left   time.Time // time at which it was noticed that the caller had left; zero before
	notice Notice
	late   time.Duration
}

type (
	connKey    struct{} // of the connection in the context of a request
	requestKey struct{} // of the request in its context
)

// Watch makes a server's requests known to the Watcher. It must be called before the server
// serves, and before its connections are wrapped by ones that are not of type syscall.Conn.
// Requests on connections of other types end as the server decides.
func (w *Watcher) Watch(s *http.Server) {
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Handler = w.handler(s.Handler)
}

// handler returns a handler that calls next with a context that ends when the caller has left.
func (w *Watcher) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
		c, ok := q.Context().Value(connKey{}).(syscall.Conn)
		if !ok {
			next.ServeHTTP(rw, q)
			return
		}
		raw, err := c.SyscallConn()
		if err != nil {
			next.ServeHTTP(rw, q)
			return
		}
		ctx, cancel := context.WithCancelCause(q.Context())
		r := &request{server: q.Context(), conn: raw, began: time.Now(), end: cancel, record: w.recorder}
		w.add(r)
		stop := context.AfterFunc(q.Context(), func() { r.leave(ByServer) })
		defer func() {
			stop()
			w.remove(r)
			cancel(nil)
		}()
		next.ServeHTTP(rw, q.WithContext(context.WithValue(ctx, requestKey{}, r)))
	})
}

func (w *Watcher) add(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[r] = struct{}{}
}

func (w *Watcher) remove(r *request) {
	w.mu.Lock()
	delete(w.requests, r)
	w.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.left.IsZero() {
		w.recorder.ObserveAbandoned(time.Since(r.left))
	}
}

// leave records that the caller of a request has left and ends its context.
func (r *request) leave(n Notice) {
	r.mu.Lock()
	first := r.left.IsZero()
	if first {
		r.left, r.notice, r.late = time.Now(), n, sinceLastSegment(r.conn)
	}
	late := r.late
	r.mu.Unlock()
	if first {
		r.record.ObserveLeft(string(n), late)
		r.end(ErrLeft)
	}
}

// Run looks at the connections of the requests in progress until ctx ends.
func (w *Watcher) Run(ctx context.Context, t radishspoke.Timers) {
	ticker.Each(ctx, t, interval, func() {
		for _, r := range w.lasting() {
			if hasClosed(r.conn) {
				r.leave(ByLook)
			}
		}
	})
}

// lasting returns the requests that have been in progress for an interval.
func (w *Watcher) lasting() []*request {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*request
	for r := range w.requests {
		if time.Since(r.began) >= interval {
			out = append(out, r)
		}
	}
	return out
}

// Check returns an error if ctx has ended, or if it belongs to a request whose caller has left; it
// ends the context of that request. The error wraps ErrLeft if the caller has left, and the cause
// otherwise. Check must be called before anything is sent for a request. A context without a request
// is fine.
func Check(ctx context.Context) error {
	if r, ok := ctx.Value(requestKey{}).(*request); ok {
		left := r.hasLeft()
		r.record.ObserveCall(left)
		if left {
			return fmt.Errorf("check connection of the request: %w", ErrLeft)
		}
	}
	if ctx.Err() != nil {
		return fmt.Errorf("context has ended: %w", context.Cause(ctx))
	}
	return nil
}

// hasLeft reports whether the caller of a request has left.
func (r *request) hasLeft() bool {
	switch {
	case r.server.Err() != nil:
		r.leave(ByServer)
	case hasClosed(r.conn):
		r.leave(ByCall)
	default:
		return false
	}
	return true
}

// Left returns what has noticed that the caller of a request left, and for how long the close had
// not been noticed. The notice is empty if the caller is there, and the time is negative if it is
// not known.
func Left(ctx context.Context) (n Notice, late time.Duration) {
	r, ok := ctx.Value(requestKey{}).(*request)
	if !ok {
		return "", -1
	}
	if r.server.Err() != nil {
		r.leave(ByServer)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notice, r.late
}
