package callerwatcher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Notice tells what has noticed that a caller left.
type Notice string

// Ways in which it is noticed that a caller left.
const (
	ByServer Notice = "server" // the HTTP server has read the end of the connection
	ByCall   Notice = "call"   // a call was about to be made for the request
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
}

// New returns a Watcher without servers.
func New(r Recorder) *Watcher {
	return &Watcher{recorder: r}
}

// request is a request in progress.
type request struct {
	conn   syscall.RawConn
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

// handler returns a handler that calls next with a context that belongs to a request.
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
		r := &request{conn: raw, record: w.recorder}
		stop := context.AfterFunc(q.Context(), func() { r.leave(ByServer) })
		defer func() {
			stop()
			r.finish()
		}()
		next.ServeHTTP(rw, q.WithContext(context.WithValue(q.Context(), requestKey{}, r)))
	})
}

// finish records how long the work on a request went on after its caller had left.
func (r *request) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.left.IsZero() {
		r.record.ObserveAbandoned(time.Since(r.left))
	}
}

// leave records that the caller of a request has left.
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
	}
}

// Check records whether the caller of a request has left when a call is about to be made for it. A
// context without a request is fine.
func Check(ctx context.Context) {
	r, ok := ctx.Value(requestKey{}).(*request)
	if !ok {
		return
	}
	closed := hasClosed(r.conn)
	if closed {
		r.leave(ByCall)
	}
	r.record.ObserveCall(closed || ctx.Err() != nil)
}

// Left returns what has noticed that the caller of a request left, and for how long the close had
// not been noticed. The notice is empty if the caller is there, and the time is negative if it is
// not known.
func Left(ctx context.Context) (n Notice, late time.Duration) {
	r, ok := ctx.Value(requestKey{}).(*request)
	if !ok {
		return "", -1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notice, r.late
}
