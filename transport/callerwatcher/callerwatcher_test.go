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

// serve starts a server with a handler, whose callers it looks for. It returns its address.
func serve(c *qt.C, deaf bool, h http.HandlerFunc) string {
	server := httptest.NewUnstartedServer(h)
	l := &fake.DeafListener{Listener: server.Listener}
	l.Deaf.Store(deaf)
	server.Listener = l
	w := callerwatcher.New(recorder.New())
	w.Watch(server.Config)
	go w.Run(c.Context(), ticker.New(ticker.BootClock{}))
	server.Start()
	c.Cleanup(server.Close)
	return l.Addr().String()
}

// TestCallerLeavesDuringWork guards against GONE of issue 66: work goes on after a caller has left,
// as bytes that it sent after its request keep the server from noticing.
func TestCallerLeavesDuringWork(t *testing.T) {
	for _, k := range []struct {
		name, after string
		leave       func(*net.TCPConn) error
		notices     []callerwatcher.Notice
	}{
		{"close", "", (*net.TCPConn).Close, []callerwatcher.Notice{callerwatcher.ByServer, callerwatcher.ByLook}},
		{"reset", "", reset, []callerwatcher.Notice{callerwatcher.ByServer, callerwatcher.ByLook}},
		{"end of sending", "", (*net.TCPConn).CloseWrite, []callerwatcher.Notice{callerwatcher.ByServer, callerwatcher.ByLook}},
		{"close after one byte", "P", (*net.TCPConn).Close, []callerwatcher.Notice{callerwatcher.ByLook}},
		{"close after two bytes", "PO", (*net.TCPConn).Close, []callerwatcher.Notice{callerwatcher.ByLook}},
		{"close after another request", request, (*net.TCPConn).Close, []callerwatcher.Notice{callerwatcher.ByLook}},
		{"reset after another request", request, reset, []callerwatcher.Notice{callerwatcher.ByLook}},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			working, ended := make(chan struct{}), make(chan callerwatcher.Notice, 2)
			address := serve(c, false, func(_ http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body) // the request is whole
				close(working)
				select {
				case <-q.Context().Done():
				case <-c.Context().Done(): // the test has failed
				}
				notice, _ := callerwatcher.Left(q.Context())
				ended <- notice
				panic(http.ErrAbortHandler)
			})
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(conn, request)
			c.Assert(err, qt.IsNil)
			<-working
			_, err = io.WriteString(conn, k.after)
			c.Assert(err, qt.IsNil)
			c.Assert(k.leave(conn.(*net.TCPConn)), qt.IsNil)
			select {
			case notice := <-ended:
				c.Assert(k.notices, qt.Contains, notice)
			case <-time.After(2 * time.Second):
				t.Fatal("the work goes on")
			}
		})
	}
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return fmt.Errorf("set linger time: %w", err)
	}
	return c.Close()
}

// TestCheck checks that nothing may be sent for a request whose caller has left, and that anything
// may be for one whose caller is there, also if it has sent more.
func TestCheck(t *testing.T) {
	for _, k := range []struct {
		name, after string
		leaves      bool
	}{{"there", "", false}, {"there, another request", request, false}, {"left", "", true}, {"left, another request", request, true}} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			working, checked := make(chan struct{}), make(chan error, 2)
			address := serve(c, true, func(_ http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body)
				<-working
				err := callerwatcher.Check(q.Context())
				if err != nil {
					c.Check(context.Cause(q.Context()), qt.ErrorIs, callerwatcher.ErrLeft)
				}
				checked <- err
				panic(http.ErrAbortHandler)
			})
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, request+k.after)
			c.Assert(err, qt.IsNil)
			if k.leaves {
				c.Assert(conn.Close(), qt.IsNil)
			}
			time.Sleep(10 * time.Millisecond) // the close arrives
			close(working)
			err = <-checked
			if k.leaves {
				c.Assert(err, qt.ErrorIs, callerwatcher.ErrLeft)
				c.Assert(err, qt.ErrorIs, context.Canceled)
			} else {
				c.Assert(err, qt.IsNil)
			}
		})
	}
}

// TestCheckWithoutRequest checks contexts that belong to no request.
func TestCheckWithoutRequest(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(c.Context())
	c.Assert(callerwatcher.Check(ctx), qt.IsNil)
	cancel()
	c.Assert(callerwatcher.Check(ctx), qt.ErrorIs, context.Canceled)
}
