package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke/internal/fake"
	"radishspoke/platform"
	"radishspoke/transport"
	"radishspoke/transport/caller"
	"radishspoke/transport/ticker"
)

// serve runs a target on loopback.
func serve(c *qt.C, answer func(r *http.Request, body []byte) *fake.TargetAnswer) (*fake.Target, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t := fake.NewTarget("t", answer)
	go t.Serve(l)
	c.Cleanup(func() { _ = l.Close() })
	return t, l.Addr().String()
}

func newCaller() *caller.Caller {
	return caller.New(caller.Settings{}, &transport.TCP{}, ticker.BootClock{})
}

func call(id string) *caller.Call {
	return &caller.Call{
		Method: http.MethodPost, Target: "/p%2F/x?q=1", Host: "h.example", Header: platform.EncodeRequest(platform.Incoming{ID: id}), Body: []byte("body"),
		Mine: func(_ int, h http.Header) bool { return platform.RequestID(h) == id },
	}
}

func do(p *caller.Caller, address string, k *caller.Call) (int, string, error) {
	a, err := p.Do(context.Background(), address, k)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Close() }()
	b, err := io.ReadAll(a)
	return a.Status, string(b), err
}

func TestKept(t *testing.T) {
	c := qt.New(t)
	target, address := serve(c, func(r *http.Request, body []byte) *fake.TargetAnswer {
		return &fake.TargetAnswer{Status: 200, Body: r.RequestURI + " " + r.Host + " " + string(body)}
	})
	p := newCaller()
	for range 5 {
		status, body, err := do(p, address, call("a"))
		c.Assert(err, qt.IsNil)
		c.Assert(status, qt.Equals, 200)
		c.Assert(body, qt.Equals, "/p%2F/x?q=1 h.example body")
	}
	c.Assert(target.Connections(), qt.Equals, 1)
	c.Assert(p.Dialed(), qt.Equals, int64(1))
}

// TestStray sends the answer to another request where this one's is due, and
// bytes behind an answer.
func TestStray(t *testing.T) {
	c := qt.New(t)
	stray := fake.Stray("other", http.StatusOK)
	target, address := serve(c, func(r *http.Request, _ []byte) *fake.TargetAnswer {
		a := &fake.TargetAnswer{Status: 200, Body: "mine"}
		switch platform.RequestID(r.Header) {
		case "before":
			a.Before = stray
		case "after":
			a.After = stray
		}
		return a
	})
	p := newCaller()
	_, body, err := do(p, address, call("before"))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "mine")
	_, body, err = do(p, address, call("after"))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "mine")
	// The connection with unread bytes is not used again.
	_, body, err = do(p, address, call("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "mine")
	c.Assert(target.Connections() <= 2, qt.IsTrue)
}

func TestNeverMine(t *testing.T) {
	c := qt.New(t)
	_, address := serve(c, func(*http.Request, []byte) *fake.TargetAnswer {
		return &fake.TargetAnswer{Status: 200, Header: platform.EncodeAnswer(platform.Answering{ID: "other"}, ""), Body: "WRONG", Unframed: true}
	})
	_, _, err := do(newCaller(), address, call("a"))
	c.Assert(err, qt.ErrorIs, caller.ErrLost)
}

// TestEnds has answers that end early, or with their connection.
func TestEnds(t *testing.T) {
	c := qt.New(t)
	target, address := serve(c, func(r *http.Request, _ []byte) *fake.TargetAnswer {
		switch platform.RequestID(r.Header) {
		case "cut":
			return &fake.TargetAnswer{Status: 200, Body: "whole", Cut: 2}
		case "unframed":
			return &fake.TargetAnswer{Status: 200, Body: "whole", Unframed: true}
		case "none":
			return nil
		}
		return &fake.TargetAnswer{Status: 200, Body: "whole"}
	})
	p := newCaller()
	_, _, err := do(p, address, call("cut"))
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	_, body, err := do(p, address, call("unframed"))
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "whole")
	_, _, err = do(p, address, call("none"))
	c.Assert(err, qt.ErrorIs, caller.ErrLost)
	before := len(target.Requests())
	_, _, err = do(p, address, call("none"))
	c.Assert(err, qt.ErrorIs, caller.ErrLost)
	c.Assert(target.Requests(), qt.HasLen, before+1) // never sent twice
}

func TestNotSent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	_, _, err = do(newCaller(), address, call("a"))
	c.Assert(err, qt.ErrorIs, caller.ErrNotSent)
}

// TestCancel leaves while a target is silent: the call ends at once.
func TestCancel(t *testing.T) {
	c := qt.New(t)
	reached, hold := make(chan struct{}), make(chan struct{})
	_, address := serve(c, func(*http.Request, []byte) *fake.TargetAnswer {
		close(reached)
		<-hold
		return nil
	})
	defer close(hold)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-reached; cancel() }()
	_, err := newCaller().Do(ctx, address, call("a"))
	c.Assert(err, qt.ErrorIs, caller.ErrLost)
}

// TestEarly answers a long request before it is read: what is left of it must
// not be taken for the next request.
func TestEarly(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	conns := make(chan net.Conn, 4)
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			conns <- n
			_, _ = n.Write([]byte(fake.Stray("a", http.StatusServiceUnavailable)))
		}
	}()
	p := newCaller()
	k := call("a")
	k.Body = []byte(strings.Repeat("x", 32<<20))
	status, _, err := do(p, l.Addr().String(), k)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, 503)
	_, _, err = do(p, l.Addr().String(), call("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(p.Dialed(), qt.Equals, int64(2))
	for range 2 {
		_ = (<-conns).Close()
	}
}

// TestIdle keeps a connection for less than the time that the target states.
func TestIdle(t *testing.T) {
	c := qt.New(t)
	target, address := serve(c, func(*http.Request, []byte) *fake.TargetAnswer {
		return &fake.TargetAnswer{Status: 200, Header: http.Header{"Keep-Alive": {"timeout=0"}}}
	})
	p := newCaller()
	for range 3 {
		_, _, err := do(p, address, call("a"))
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Millisecond)
	}
	c.Assert(target.Connections(), qt.Equals, 3)
	p.Sweep()
	p.Forget(address)
}
