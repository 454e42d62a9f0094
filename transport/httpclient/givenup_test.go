package httpclient_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestGivenUpIsNotDelivered guards against DRAIN: the system goes on sending a request
// that was given up, and the target gets it seconds later.
func TestRequestGivenUpIsNotDelivered(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		call := newCall("a")
		call.Body = make([]byte, 64<<20) // more than the buffers of both ends
		_, err := newClient().Do(ctx, l.Addr().String(), call)
		ended <- err
	}()
	target, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = target.Close() }()
	_, err = io.ReadFull(target, make([]byte, 1<<10))
	c.Assert(err, qt.IsNil)
	time.Sleep(100 * time.Millisecond) // the buffers fill up
	cancel()
	c.Assert(<-ended, qt.IsNotNil)
	_, err = io.Copy(io.Discard, target)
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
}
