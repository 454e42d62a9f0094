package callerwatcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
	"radishspoke/state/recorder"
	"radishspoke/transport/callerwatcher"
	"radishspoke/transport/ticker"
)

const request = "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody"

var (
	byAny  = []callerwatcher.Notice{callerwatcher.ByServer, callerwatcher.ByLook}
	byLook = []callerwatcher.Notice{callerwatcher.ByLook}
	byCall = []callerwatcher.Notice{callerwatcher.ByCall}
	none   = []callerwatcher.Notice{""}
)

// TestCallerLeaves guards against GONE of issue 66: work goes on after a caller has left, as bytes
// that it sent after its request keep the server from noticing; or a call is made for its request, as
// the server is late. A caller that is there is never taken for one that has left.
func TestCallerLeaves(t *testing.T) {
	for _, k := range []struct {
		name, after string                   // bytes after the request
		leave       func(*net.TCPConn) error // nil if the caller stays
		late        bool                     // the server and the looks notice nothing before the call
		notices     []callerwatcher.Notice
	}{
		{"close", "", (*net.TCPConn).Close, false, byAny},
		{"reset", "", reset, false, byAny},
		{"end of sending", "", (*net.TCPConn).CloseWrite, false, byAny},
		{"close after one byte", "P", (*net.TCPConn).Close, false, byLook},
		{"close after two bytes", "PO", (*net.TCPConn).Close, false, byLook},
		{"close after another request", request, (*net.TCPConn).Close, false, byLook},
		{"reset after another request", request, reset, false, byLook},
		{"close before a call", "", (*net.TCPConn).Close, true, byCall},
		{"close after another request before a call", request, (*net.TCPConn).Close, true, byCall},
		{"stays", "", nil, true, none},
		{"stays after another request", request, nil, true, none},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			working, arrived := make(chan struct{}), make(chan struct{})
			checked, notices := make(chan error, 2), make(chan callerwatcher.Notice, 2)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body) // the request is whole
				close(working)
				if <-arrived; !k.late {
					select {
					case <-q.Context().Done():
					case <-time.After(2 * time.Second): // the work goes on
					}
				}
				notice, _ := callerwatcher.Left(q.Context())
				if k.late {
					c.Check(notice, qt.Equals, callerwatcher.Notice(""))
				}
				checked <- callerwatcher.Check(q.Context())
				if k.late {
					notice, _ = callerwatcher.Left(q.Context())
				}
				if k.late && k.leave != nil {
					c.Check(context.Cause(q.Context()), qt.ErrorIs, callerwatcher.ErrLeft)
				}
				notices <- notice
				panic(http.ErrAbortHandler)
			}))
			l := &fake.DeafListener{Listener: server.Listener}
			l.Deaf.Store(k.late)
			server.Listener = l
			w := callerwatcher.New(recorder.New())
			w.Watch(server.Config)
			if !k.late {
				go w.Run(c.Context(), ticker.New(ticker.BootClock{}))
			}
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, request)
			c.Assert(err, qt.IsNil)
			<-working
			_, err = io.WriteString(conn, k.after)
			c.Assert(err, qt.IsNil)
			if k.leave != nil {
				c.Assert(k.leave(conn.(*net.TCPConn)), qt.IsNil)
			}
			time.Sleep(10 * time.Millisecond) // it arrives
			close(arrived)
			if err = <-checked; k.leave == nil {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(err, qt.ErrorIs, callerwatcher.ErrLeft)
				c.Assert(err, qt.ErrorIs, context.Canceled)
			}
			c.Assert(k.notices, qt.Contains, <-notices)
		})
	}
	ctx, cancel := context.WithCancel(t.Context()) // of no request
	qt.Assert(t, callerwatcher.Check(ctx), qt.IsNil)
	cancel()
	qt.Assert(t, callerwatcher.Check(ctx), qt.ErrorIs, context.Canceled)
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return fmt.Errorf("set linger time: %w", err)
	}
	return c.Close()
}
